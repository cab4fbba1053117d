"""Rows of the calls and attempts that bodies flow through."""

from collections import deque
from dataclasses import dataclass, field

from papayapost.ids import Address, AttemptId, CallId
from papayapost_node.deadline import Deadline
from papayapost_node.exchange.inlet import BodyInlet
from papayapost_node.exchange.outlet import BodyOutlet
from papayapost_node.http import Headers, HttpRequest, ServerExchange
from papayapost_node.wire import AnswerCarrier, AnswerPart

__all__ = ["CallerRow", "OfferedRow", "OwnedRequest"]


@dataclass(slots=True, eq=False)
class CallerRow:
    """A caller's request at its entry node.

    Parameters
    ----------
    request
        The head, and the body as far as it is held for a further attempt.
    is_body_over
        Whether the whole body has arrived.
    upload
        The way of the body beyond the held part, once an attempt has asked
        for it; the request cannot be offered again from then on.
    answering
        The attempt whose answer the caller gets, once there is one.
    """

    call_id: CallId
    exchange: ServerExchange
    request: HttpRequest
    is_body_over: bool = False
    is_dispatched: bool = False
    upload: BodyOutlet | None = None
    trailers: Headers = field(default_factory=list)
    attempts: list["OfferedRow"] = field(default_factory=list)
    answering: "OfferedRow | None" = None
    stall: Deadline | None = None


@dataclass(slots=True, eq=False)
class OfferedRow:
    """One attempt at its entry node.

    Parameters
    ----------
    head
        The answer's head, once it is here.
    held
        Parts of the answer that arrived before it was chosen.
    body_bytes
        Body that arrived after the head.
    """

    attempt_id: AttemptId
    address: Address
    call: CallerRow
    inlet: BodyInlet
    upload: BodyOutlet | None = None
    head: AnswerCarrier | None = None
    held: deque[AnswerPart] = field(default_factory=deque)
    body_bytes: int = 0


@dataclass(slots=True, eq=False)
class OwnedRequest:
    """A peer's request at its owner node, until it is started.

    Parameters
    ----------
    entry
        Where its entry node takes the answer.
    """

    attempt_id: AttemptId
    entry: Address
    request: HttpRequest
    is_ended: bool
    answer_window_bytes: int
