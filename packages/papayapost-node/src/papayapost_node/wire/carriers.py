"""Messages that carry the heads and bodies of requests and answers.

The systems neither read nor send these messages. A small body is sent in the
same message as its head. A larger body follows in parts; the sender may have
no more bytes in flight than the flow-control credit that the receiver granted.
"""

from papayapost.define import define
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


@define
class RequestHead:
    """Request line and headers, without the hop-by-hop headers."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]


@define
class OfferCarrier:
    """Entry node to owner node: an offer with the request to run.

    Parameters
    ----------
    body
        The part of the request's body that the entry node has received.
    is_ended
        Whether `body` is the complete body. If not, `RequestPart` messages
        carry the rest as the owner node grants credit.
    answer_window_bytes
        Flow-control credit for the answer's body at the start.
    """

    sender: NodeId
    offer: AttemptOffer
    head: RequestHead
    body: bytes
    is_ended: bool
    answer_window_bytes: int


@define
class RequestPart:
    """Entry node to owner node: the next part of the request's body.

    Parameters
    ----------
    offset
        Number of bytes of the body before this part; None from nodes that do
        not send it. A part that was lost with a connection shows by it.
    """

    sender: NodeId
    attempt_id: AttemptId
    data: bytes
    is_ended: bool
    trailers: list[tuple[bytes, bytes]]
    offset: int | None = None


@define
class RequestCredit:
    """Owner node to entry node: credit for more of the request's body.

    Parameters
    ----------
    size_bytes
        Number of bytes that the entry node may send in addition.
    """

    sender: NodeId
    attempt_id: AttemptId
    size_bytes: int


@define
class InterimAnswer:
    """Owner node to entry node: an informational (1xx) answer."""

    sender: NodeId
    attempt_id: AttemptId
    status: int
    headers: list[tuple[bytes, bytes]]


@define
class AnswerCarrier:
    """Owner node to entry node: the backend server's answer.

    Parameters
    ----------
    body
        The part of the answer's body that the owner node has received.
    is_ended
        Whether no `AnswerPart` messages follow.
    is_whole
        Whether the backend server sent the complete body; False if the answer
        was cut off. It counts only if `is_ended`.
    free_slots
        Number of free slots of the backend server.
    trailers
        Trailer fields of the answer.
    link_wait_ms
        Time in ms for which large answers keep the owner node's link busy;
        None if they don't.
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
    link_wait_ms: int | None = None


@define
class AnswerPart:
    """Owner node to entry node: the next part of the answer's body.

    Parameters
    ----------
    is_ended, is_whole
        Same meaning as the fields of `AnswerCarrier`.
    offset
        Same meaning as the field of `RequestPart`.
    """

    sender: NodeId
    attempt_id: AttemptId
    data: bytes
    is_ended: bool
    is_whole: bool
    trailers: list[tuple[bytes, bytes]]
    offset: int | None = None


@define
class AnswerCredit:
    """Entry node to owner node: credit for more of the answer's body.

    Parameters
    ----------
    size_bytes
        Number of bytes that the owner node may send in addition.
    """

    sender: NodeId
    attempt_id: AttemptId
    size_bytes: int
