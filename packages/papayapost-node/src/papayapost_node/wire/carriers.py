"""Messages that carry heads and bodies beside the decisions' messages.

A body that is small travels with its head. A larger one follows in parts, of
which no more are under way than the receiver has granted credit for.
"""

from dataclasses import dataclass

from papayapost.ids import AttemptId, NodeId
from papayapost.traffic import AttemptOffer

__all__ = [
    "AnswerCarrier",
    "AnswerCredit",
    "AnswerPart",
    "InterimAnswer",
    "OfferCarrier",
    "RequestCredit",
    "RequestHead",
    "RequestPart",
]


@dataclass(slots=True)
class RequestHead:
    """Request line and headers, less those of one connection alone."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class OfferCarrier:
    """An offer with the request that it is about.

    Parameters
    ----------
    body
        The request's body as far as it was there.
    is_ended
        Whether that is all of it; else `RequestPart` follow on credit.
    answer_window_bytes
        Credit for the answer's body.
    """

    sender: NodeId
    offer: AttemptOffer
    head: RequestHead
    body: bytes
    is_ended: bool
    answer_window_bytes: int


@dataclass(slots=True)
class RequestPart:
    """Entry node to owner node: a further piece of the request's body."""

    sender: NodeId
    attempt_id: AttemptId
    data: bytes
    is_ended: bool
    trailers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class RequestCredit:
    """Owner node to entry node: so much more of the request may be sent."""

    sender: NodeId
    attempt_id: AttemptId
    size_bytes: int


@dataclass(slots=True)
class InterimAnswer:
    """An informational answer that precedes the final one."""

    sender: NodeId
    attempt_id: AttemptId
    status: int
    headers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class AnswerCarrier:
    """A backend server's answer on its way to the entry node.

    Parameters
    ----------
    body
        The answer's body as far as it was there.
    is_ended
        Whether nothing follows.
    is_whole
        Whether the body, if ended, is all that the backend server meant.
    """

    sender: NodeId
    attempt_id: AttemptId
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    is_ended: bool
    is_whole: bool
    free_slots: int
    trailers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class AnswerPart:
    """Owner node to entry node: a further piece of the answer's body."""

    sender: NodeId
    attempt_id: AttemptId
    data: bytes
    is_ended: bool
    is_whole: bool
    trailers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class AnswerCredit:
    """Entry node to owner node: so much more of the answer may be sent."""

    sender: NodeId
    attempt_id: AttemptId
    size_bytes: int
