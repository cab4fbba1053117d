"""Messages and effects of calls and attempts.

Types whose first field is ``sender`` travel between nodes. Request and
answer bodies never pass through a tick: the shell keeps them under the
call's or the attempt's id.
"""

from dataclasses import dataclass
from enum import Enum

from papayapost.ids import (
    Address,
    AttemptId,
    CallId,
    ConnectionEpoch,
    IdempotencyKey,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.states import Outcome, Rank

__all__ = [
    "AnswerBegun",
    "AnswerEnded",
    "AttemptCancel",
    "AttemptExpired",
    "AttemptOffer",
    "AttemptRefused",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "CallArrived",
    "CallExpired",
    "CallRefusal",
    "CallerGone",
    "ForwardAnswer",
    "OfferSend",
    "RefusalCode",
]


class RefusalCode(Enum):
    """Why a call or an attempt was refused; the value is on the wire."""

    NO_RULES = "no-rules"
    NO_ROUTE = "no-route"
    NO_BACKEND_SERVER = "no-backend-server"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    LOST = "lost"


@dataclass(slots=True)
class CallArrived:
    """Input at the entry node: a caller's request head.

    Parameters
    ----------
    host
        Host without port, in lower case.
    path
        Path without query.
    budget_us
        Time the caller still gives, or None to use the rule's timeout.
    content_bytes
        Length of the body, or None if the caller did not say.
    """

    call_id: CallId
    method: str
    host: str
    path: str
    budget_us: Micros | None = None
    idempotency_key: IdempotencyKey | None = None
    content_bytes: int | None = 0


@dataclass(slots=True)
class CallerGone:
    """Input at the entry node: the caller closed before its answer."""

    call_id: CallId


@dataclass(slots=True)
class CallExpired:
    """Timer at the entry node: the call's time is over."""

    call_id: CallId


@dataclass(slots=True)
class CallRefusal:
    """Effect at the entry node: answer the caller without a backend server.

    Parameters
    ----------
    status
        HTTP status.
    outcome
        What is true of the request: not run, or unknown.
    retry_after_ms
        When to come back, or None.
    """

    call_id: CallId
    status: int
    code: RefusalCode
    outcome: Outcome
    retry_after_ms: int | None = None


@dataclass(slots=True)
class OfferSend:
    """Effect at the entry node: carry a call's request to its owner node.

    The shell binds the request to the attempt also where `address` is this
    node's own; the offer itself is then posted by the system.
    """

    address: Address
    call_id: CallId
    offer: "AttemptOffer"
    is_local: bool


@dataclass(slots=True)
class ForwardAnswer:
    """Effect at the entry node: this attempt's answer goes to the caller."""

    call_id: CallId
    attempt_id: AttemptId


@dataclass(slots=True)
class AttemptOffer:
    """Entry node to owner node: run this request in one of your slots.

    Parameters
    ----------
    epoch
        Connection epoch of the entry node; an older one is refused.
    budget_us
        Time left for the attempt, relative to its arrival.
    """

    sender: NodeId
    reply_to: Address
    attempt_id: AttemptId
    epoch: ConnectionEpoch
    service: ServiceName
    rank: Rank
    idempotent: bool
    budget_us: Micros
    idempotency_key: IdempotencyKey | None


@dataclass(slots=True)
class AttemptCancel:
    """Entry node to owner node: nobody waits for this attempt any more."""

    sender: NodeId
    attempt_id: AttemptId


@dataclass(slots=True)
class AttemptRefused:
    """Owner node to entry node: the request was not run and will not be."""

    sender: NodeId
    attempt_id: AttemptId
    code: RefusalCode
    retry_after_ms: int
    free_slots: int


@dataclass(slots=True)
class AnswerBegun:
    """Input at the entry node: the head of an attempt's answer is here."""

    sender: NodeId
    attempt_id: AttemptId
    status: int
    free_slots: int


@dataclass(slots=True)
class AnswerEnded:
    """Input at the entry node: the answer's body is over.

    Parameters
    ----------
    is_whole
        False when the body was cut short.
    """

    sender: NodeId
    attempt_id: AttemptId
    is_whole: bool


@dataclass(slots=True)
class AttemptExpired:
    """Timer at the owner node: the attempt's budget is over."""

    attempt_id: AttemptId


@dataclass(slots=True)
class BackendCallStart:
    """Effect at the owner node: send the request to the backend server."""

    attempt_id: AttemptId
    budget_us: Micros


@dataclass(slots=True)
class BackendCallCancel:
    """Effect at the owner node: stop a call that nobody waits for."""

    attempt_id: AttemptId


@dataclass(slots=True)
class BackendCallBegun:
    """Input at the owner node: the head of the answer is here."""

    attempt_id: AttemptId
    status: int


@dataclass(slots=True)
class BackendCallEnded:
    """Input at the owner node: the call no longer holds a slot.

    Parameters
    ----------
    is_sent
        False only when no byte of the request left this node.
    is_whole
        Whether the whole answer arrived.
    """

    attempt_id: AttemptId
    is_sent: bool
    is_whole: bool
