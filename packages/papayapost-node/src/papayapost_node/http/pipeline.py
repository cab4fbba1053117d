"""Keeps the pipelined requests of one connection and orders their answers."""

from collections import deque

import h11

from papayapost_node.http.exchange import ServerExchange
from papayapost_node.http.framing import AnswerFraming

__all__ = ["SAFE_METHODS", "Pipeline", "PipelineSlot"]

SAFE_METHODS = frozenset([b"GET", b"HEAD"])

_HEAD_COPIES = 2
_FIELD_BYTES = 256
"""Memory of one header field beyond its bytes: two objects for name and value,
one for the pair, and places in the lists of parser and handler."""


class PipelineSlot:
    """A place in the pipeline, for one request and its answer.

    Attributes
    ----------
    http
        The parser of this request. Each place has its own, as a parser can
        hold only one request.
    framing
        Encodes the answer.
    exchange
        The request and its answer; None until the request's head has arrived
        and after the answer is complete.
    is_safe
        Whether the caller may repeat the request. Only then may the next
        request start before this one's answer: if the connection breaks, the
        caller has to send both again.
    is_body_ended, is_answered
        Whether the whole request has arrived, and whether the whole answer
        has been encoded.
    unsent_output
        Encoded answer that waits until the answers before it have been sent.
    head_held_bytes
        Estimated memory that the request's head takes.
    body_received_bytes
        Length of the part of the request's body that has been parsed.
    """

    __slots__ = (
        "body_received_bytes",
        "exchange",
        "framing",
        "head_held_bytes",
        "http",
        "is_answered",
        "is_body_ended",
        "is_safe",
        "unsent_output",
    )

    def __init__(self, head_bytes: int):
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)
        self.framing = AnswerFraming(self.http)
        self.exchange: ServerExchange | None = None
        self.is_safe = False
        self.is_body_ended = True
        self.is_answered = False
        self.unsent_output = bytearray()
        self.head_held_bytes = 0
        self.body_received_bytes = 0

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that arrived behind the request."""
        return len(self.http.trailing_data[0])

    @property
    def is_waiting(self) -> bool:
        """Whether the whole request has arrived, but not its whole answer."""
        return self.is_body_ended and self.exchange is not None

    @property
    def may_be_followed(self) -> bool:
        """Whether the next request may start before this one's answer."""
        is_kept_alive = self.http.their_state is h11.DONE
        return self.is_safe and self.is_body_ended and is_kept_alive

    def held_bytes(self, max_body_bytes: int) -> int:
        """Return the estimated memory that the request and its answer take.

        Parameters
        ----------
        max_body_bytes
            Most bytes of a body that its handler keeps.
        """
        size = len(self.unsent_output)
        if self.exchange is not None:
            size += self.head_held_bytes
            size += min(self.body_received_bytes, max_body_bytes)
        return size

    def begin(
        self, exchange: ServerExchange, method: bytes, head_bytes: int = 0
    ) -> None:
        """Store the exchange of a request whose head has arrived.

        Parameters
        ----------
        head_bytes
            Size of the head.
        """
        self.exchange = exchange
        fields = len(exchange.headers)
        self.head_held_bytes = _HEAD_COPIES * head_bytes + _FIELD_BYTES * fields
        self.body_received_bytes = 0
        self.is_body_ended = self.is_answered = False
        self.is_safe = method in SAFE_METHODS and exchange.body_bytes == 0

    def reset(self) -> None:
        """Prepare for the next request of the connection."""
        self.http.start_next_cycle()
        self.is_answered = False
        self.exchange = None
        self.body_received_bytes = 0


class Pipeline:
    """The requests that one connection serves at once, in order of arrival.

    Answers are sent in that order: only the answer in the first slot is
    written to the connection, and the other slots hold theirs until they are
    first. Received bytes belong to the last slot. There is always a slot,
    which is empty while the connection is idle.

    Parameters
    ----------
    head_bytes
        Largest head of a request.
    max_slots
        Largest number of slots.
    """

    def __init__(self, head_bytes: int, max_slots: int):
        self._head_bytes = head_bytes
        self._max_slots = max_slots
        self._slots: deque[PipelineSlot] = deque([PipelineSlot(head_bytes)])

    def __len__(self) -> int:
        return len(self._slots)

    @property
    def first(self) -> PipelineSlot:
        """The slot whose answer is being sent."""
        return self._slots[0]

    @property
    def last(self) -> PipelineSlot:
        """The slot whose request is being received."""
        return self._slots[-1]

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served."""
        return len(self._slots) == 1 and self.first.exchange is None

    def slot_of(self, exchange: ServerExchange) -> PipelineSlot | None:
        """Return the slot of an exchange, or None if it is complete."""
        for slot in self._slots:
            if slot.exchange is exchange:
                return slot
        return None

    def open_next(self) -> bool:
        """Add a slot for the bytes behind the last request.

        Returns False if all slots are in use or if the last request does not
        allow another one to start.
        """
        last = self.last
        if len(self._slots) >= self._max_slots or not last.may_be_followed:
            return False
        slot = PipelineSlot(self._head_bytes)
        trailing = last.http.trailing_data[0]
        if trailing:
            # Without data, the call would mean the end of the connection.
            slot.http.receive_data(trailing)
        self._slots.append(slot)
        return True

    def held_bytes(self, max_body_bytes: int) -> int:
        """Return the estimated memory that all requests and answers take."""
        if len(self._slots) == 1:
            return self._slots[0].held_bytes(max_body_bytes)
        return sum(slot.held_bytes(max_body_bytes) for slot in self._slots)

    def advance(self) -> PipelineSlot:
        """Remove the first slot and return the new first one."""
        self._slots.popleft()
        return self.first

    def drop_all(self) -> list[ServerExchange]:
        """Remove and return the exchanges that are not complete."""
        dropped = []
        for slot in self._slots:
            if slot.exchange is not None:
                dropped.append(slot.exchange)
                slot.exchange = None
        return dropped
