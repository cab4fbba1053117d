"""Rows of the running calls and attempts of a node."""

from collections import deque
from dataclasses import field

from papayapost.define import define
from papayapost.ids import AccountName, Address, AttemptId, CallId
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.exchange.body_receiver import BodyReceiver
from papayapost_node.exchange.body_sender import BodySender
from papayapost_node.http import Headers, HttpRequest, ServerExchange
from papayapost_node.wire import AnswerCarrier, AnswerPart

__all__ = ["CallerRow", "OfferedRow", "OwnedRequest"]


STALL_TIMEOUT_S = 30.0
"""Longest time without a part of an answer whose call has time left."""


@define(eq=False)
class CallerRow:
    """A caller's request at its entry node.

    Parameters
    ----------
    exchange
        The request and its answer on the caller's connection.
    request
        The request's head, and the first bytes of its body, which are kept
        for further attempts.
    is_body_ended
        Whether the whole body has arrived.
    is_dispatched
        Whether the request has been posted to the traffic systems.
    upload
        Sender of the rest of the body, behind the first bytes, to the first
        attempt whose owner node granted credit for it; None before that.
        Once it is set, the request cannot be offered again.
    trailers
        Trailers of the request's body.
    attempts
        Attempts that have been offered to owner nodes.
    chosen_attempt
        The attempt whose answer is forwarded to the caller, or None.
    has_begun
        Whether a part of an answer was sent to the caller.
    kept_bytes
        Length of the answer that is kept until it is whole; 0 if it is sent on
        as it arrives.
    stall_deadline
        Deadline for the next part of the forwarded answer.
    stall_timeout_s
        Longest time in s between two parts of that answer.
    """

    call_id: CallId
    exchange: ServerExchange
    request: HttpRequest
    is_body_ended: bool = False
    is_dispatched: bool = False
    upload: BodySender | None = None
    trailers: Headers = field(default_factory=list)
    attempts: list["OfferedRow"] = field(default_factory=list)
    chosen_attempt: "OfferedRow | None" = None
    has_begun: bool = False
    kept_bytes: int = 0
    stall_deadline: DeadlineTimer | None = None
    stall_timeout_s: float = STALL_TIMEOUT_S


@define(eq=False)
class OfferedRow:
    """One offered attempt at its entry node.

    Parameters
    ----------
    address
        Address of the owner node.
    body_receiver
        Flow control of the answer's body.
    upload
        Sender of the request's body; None if the body was in the offer.
    head
        The answer's head, once it has arrived.
    held_parts
        Parts of the answer that arrived before they could be forwarded.
    kept_body
        Body of an answer that is kept until it is whole, without the bytes
        that came with the head.
    body_bytes
        Length of the body parts that arrived after the head.
    is_answer_ended
        Whether the last part has arrived, or a part is missing.
    """

    attempt_id: AttemptId
    address: Address
    call: CallerRow
    body_receiver: BodyReceiver
    upload: BodySender | None = None
    head: AnswerCarrier | None = None
    held_parts: deque[AnswerPart] = field(default_factory=deque)
    kept_body: bytearray = field(default_factory=bytearray)
    body_bytes: int = 0
    is_answer_ended: bool = False


@define(eq=False)
class OwnedRequest:
    """An offered request at its owner node.

    Parameters
    ----------
    entry
        Address of the entry node, which receives the answer.
    request
        The request's head with the body that came in the offer.
    is_ended
        Whether `request` holds the whole body.
    answer_window_bytes
        Credit that the entry node granted for the answer's body.
    is_local
        Whether this node is itself the entry node.
    account
        Client account that the request belongs to, or None.
    """

    attempt_id: AttemptId
    entry: Address
    request: HttpRequest
    is_ended: bool
    answer_window_bytes: int
    is_local: bool = False
    account: AccountName | None = None
