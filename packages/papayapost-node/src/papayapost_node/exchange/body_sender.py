"""Sends a body to another node under flow control."""

from collections import deque
from collections.abc import Callable

from papayapost_node.exchange.windows import SendWindow
from papayapost_node.http import Headers

__all__ = ["BodySender", "SendPart"]

MAX_PART_BYTES = 64 << 10

SendPart = Callable[[bytes, bool, Headers], None]


class BodySender:
    """Splits a body into parts and sends them as far as credit allows.

    Parameters
    ----------
    window
        Credit that the receiver has granted.
    send_part
        Sends one part; its arguments are the data, whether this is the last
        part, and the trailers.
    pause, resume
        Stop and restart reading from the source of the body.

    Attributes
    ----------
    is_ended
        Whether the last part has been sent.
    unsent_bytes
        Length of the data that waits for credit.
    """

    def __init__(
        self,
        window: SendWindow,
        send_part: SendPart,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ):
        self._window = window
        self._send_part = send_part
        self._pause = pause
        self._resume = resume
        self._unsent: deque[bytes] = deque()
        self._is_source_ended = False
        self._is_sending = False
        self._trailers: Headers = []
        self.is_ended = False
        self.unsent_bytes = 0

    @property
    def is_blocked(self) -> bool:
        """Whether data waits for credit."""
        return bool(self._unsent)

    def add(self, data: bytes) -> None:
        """Send a piece of the body, or queue it and pause the source."""
        if not data:
            return
        self._unsent.append(data)
        self.unsent_bytes += len(data)
        self._send_unsent()
        if self._unsent:
            self._pause()

    def end(self, trailers: Headers) -> None:
        """Mark the end of the body; queued data is still sent before it."""
        self._is_source_ended = True
        self._trailers = trailers
        self._send_unsent()

    def drop_unsent(self) -> None:
        """Discard the data that waits for credit."""
        self._unsent.clear()
        self.unsent_bytes = 0

    def grant(self, size_bytes: int) -> None:
        """Add credit and send queued data.

        If no queued data is left, resume the source.
        """
        was_blocked = bool(self._unsent)
        self._window.grant(size_bytes)
        self._send_unsent()
        if was_blocked and not self._unsent and not self._is_source_ended:
            self._resume()

    def _send_unsent(self) -> None:
        # Within this node, a part may be answered with credit at once. The
        # loop that sent it goes on, so that the stack stays flat.
        if self._is_sending:
            return
        self._is_sending = True
        try:
            self._send_while_possible()
        finally:
            self._is_sending = False

    def _send_while_possible(self) -> None:
        unsent = self._unsent
        while unsent:
            piece = unsent.popleft()
            size = self._window.take(min(len(piece), MAX_PART_BYTES))
            if size < len(piece):
                unsent.appendleft(piece[size:])
            if not size:
                return
            self.unsent_bytes -= size
            is_last = self._is_source_ended and not unsent
            self._send(piece[:size] if size < len(piece) else piece, is_last)
        if self._is_source_ended and not self.is_ended:
            self._send(b"", True)

    def _send(self, data: bytes, is_last: bool) -> None:
        self.is_ended = is_last
        self._send_part(data, is_last, self._trailers if is_last else [])
