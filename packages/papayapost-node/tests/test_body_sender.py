"""Tests of a body that a node sends to itself, where credit comes at once."""

import inspect

import pytest

from papayapost_node.exchange.body_sender import BodySender
from papayapost_node.exchange.windows import SendWindow

WINDOW_BYTES = 16 << 10


class ReceiverAtOnce:
    """Takes parts, and grants credit for each before `take` returns.

    Attributes
    ----------
    depths
        Depth of the stack at each part.
    """

    def __init__(self, grants=1):
        self.body = bytearray()
        self.ends = []
        self.depths = []
        self._grants = grants
        window = SendWindow(WINDOW_BYTES)
        self.sender = BodySender(window, self.take, lambda: None, lambda: None)

    def take(self, data, is_last, trailers):
        self.body += data
        self.ends.append(is_last)
        self.depths.append(len(inspect.stack(0)))
        for _ in range(self._grants):
            self.sender.grant(len(data) // self._grants)


@pytest.mark.parametrize("grants", [1, 2])
def test_a_long_body_whose_credit_comes_at_once_needs_no_deep_stack(grants):
    """Guards against a RecursionError that cut answers after 58 parts."""
    receiver = ReceiverAtOnce(grants)
    body = bytes(range(256)) * 8192
    receiver.sender.add(body)
    receiver.sender.end([])
    assert bytes(receiver.body) == body
    assert receiver.ends.count(True) == 1 and receiver.ends[-1]
    assert len(receiver.ends) > 100
    assert max(receiver.depths) - min(receiver.depths) <= 2
