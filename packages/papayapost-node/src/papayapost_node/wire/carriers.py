"""Messages that carry heads and bodies beside the decisions' messages."""

from dataclasses import dataclass

from papayapost.ids import AttemptId, NodeId
from papayapost.traffic import AttemptOffer

__all__ = ["AnswerCarrier", "OfferCarrier", "RequestHead"]


@dataclass(slots=True)
class RequestHead:
    """Request line and headers as the caller sent them."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]


@dataclass(slots=True)
class OfferCarrier:
    """An offer with the request that it is about."""

    sender: NodeId
    offer: AttemptOffer
    head: RequestHead
    body: bytes


@dataclass(slots=True)
class AnswerCarrier:
    """A backend server's answer on its way to the entry node."""

    sender: NodeId
    attempt_id: AttemptId
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    is_whole: bool
    free_slots: int
