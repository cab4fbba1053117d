"""Messages and effects that concern calls and attempts.

Types whose first field is ``sender`` travel between nodes. Bodies of requests
and answers are not part of a tick: the process that runs the tick stores them
under the id of the call or the attempt. `owner_messages` holds the messages
between an owner node and its backend server.
"""

from enum import Enum

from papayapost.define import define
from papayapost.ids import (
    AccountName,
    Address,
    AttemptId,
    CallId,
    ConnectionEpoch,
    IdempotencyKey,
    Incarnation,
    KeyDigest,
    Micros,
    NodeId,
    RequestName,
    RouteId,
    RuleVersion,
    ServiceName,
)
from papayapost.states import LinkClass, Outcome, Rank

__all__ = [
    "NO_INCARNATION",
    "AnswerBegun",
    "AnswerEnded",
    "AnswerGivenUp",
    "AnswerOverdue",
    "AttemptCancel",
    "AttemptFailed",
    "AttemptOffer",
    "AttemptRefused",
    "CallArrived",
    "CallExpired",
    "CallRefusal",
    "CallerGone",
    "ChoiceBasis",
    "CutAnswer",
    "DropAnswer",
    "ForwardAnswer",
    "GiveUpAnswer",
    "LossCause",
    "OfferSend",
    "OfferUndelivered",
    "OwnerConnectionLost",
    "RefusalCode",
]

NO_INCARNATION = Incarnation(0)


class RefusalCode(Enum):
    """Reason for which a call or an attempt was refused.

    The values are sent between nodes.
    """

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
    EVICTED = "evicted"
    STALE_EPOCH = "stale-epoch"
    DUPLICATE = "duplicate"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    WRONG_SERVICE = "wrong-service"
    NO_FREE_SLOT = "no-free-slot"
    SERVER_FAILING = "server-failing"
    UNKNOWN_KEY = "unknown-key"
    KEYS_UNCERTAIN = "keys-uncertain"
    QUOTA = "quota"
    QUOTA_UNKNOWN = "quota-unknown"
    VERSION_CLOSED = "version-closed"


class LossCause(Enum):
    """How an entry node learned that an owner node may be gone."""

    CONNECTION = "connection"
    DIRECTORY = "directory"


@define
class CallArrived:
    """Input at the entry node: the head of a caller's request.

    Parameters
    ----------
    host
        Host without port, in lower case.
    path
        Path without query.
    budget_us
        Time in µs that the caller will still wait, or None to use the timeout
        of the rule.
    content_bytes
        Length of the body in bytes, or None if the caller did not give it.
    name
        The caller's own name for the request, written to the log.
    key_digest
        Digest of the secret key that the caller sent, or None.
    """

    call_id: CallId
    method: str
    host: str
    path: str
    budget_us: Micros | None = None
    idempotency_key: IdempotencyKey | None = None
    content_bytes: int | None = 0
    name: RequestName = RequestName("")
    key_digest: KeyDigest | None = None


@define
class CallerGone:
    """Input at the entry node: the caller left before the answer was sent."""

    call_id: CallId


@define
class CallExpired:
    """Timer at the entry node: the deadline of the call has passed."""

    call_id: CallId


@define
class CallRefusal:
    """Effect at the entry node: refuse the call with an error answer.

    The answer does not come from a backend server.

    Parameters
    ----------
    status
        HTTP status of the answer.
    outcome
        Whether the request certainly did not run, or may have run.
    retry_after_ms
        Time in ms after which the caller may try again, or None if the answer
        gives no such time.
    name
        The caller's own name for the request, written to the log.
    """

    call_id: CallId
    status: int
    code: RefusalCode
    outcome: Outcome
    retry_after_ms: int | None = None
    name: RequestName = RequestName("")


@define
class ChoiceBasis:
    """Facts on which an upstream was chosen, written to the log.

    Parameters
    ----------
    name
        The caller's own name for the request.
    line, version
        Line of the matching rule, and version of the rules.
    distance
        Distance from the entry node to the upstream.
    outstanding
        Number of other attempts of this entry node that are outstanding at the
        upstream.
    free_slots, report_age_us
        Number of free slots that the owner node last reported, and the age of
        that report in µs; the age is None if there is no report.
    """

    name: RequestName
    line: int
    version: RuleVersion
    distance: LinkClass
    outstanding: int
    free_slots: int
    report_age_us: int | None


@define
class OfferSend:
    """Effect at the entry node: send a call's request to its owner node.

    The process that runs the tick stores the request under the id of the
    attempt. It does so also where `address` belongs to this node; the entry
    node's system then posts the offer itself.
    """

    address: Address
    call_id: CallId
    offer: "AttemptOffer"
    is_local: bool
    basis: ChoiceBasis | None = None


@define
class ForwardAnswer:
    """Effect at the entry node: send the answer of an attempt to the caller.

    Parameters
    ----------
    until_whole
        Whether to wait until the answer is whole, if its length allows it,
        because its rest may be lost when a node stops.
    """

    call_id: CallId
    attempt_id: AttemptId
    until_whole: bool = False


@define
class AttemptOffer:
    """Entry node to owner node: run this request in a slot of the owner.

    Parameters
    ----------
    epoch
        Connection epoch of the entry node. The owner node refuses an offer
        with an epoch lower than one that it has seen.
    budget_us
        Time in µs left for the attempt, counted from the arrival of the offer.
    incarnation, sequence
        Incarnation of the sender, and number of the attempt among all attempts
        of that incarnation. The owner node uses them to recognise an offer
        that is delivered twice.
    content_bytes
        Length of the body in bytes, or None if the caller did not give it.
    refused_attempts
        Earlier attempts of the same call that were refused as not run. This
        attempt may take over their at-most-once claims.
    owner_incarnation
        Incarnation of the owner's process that the offer is meant for. A
        process with another incarnation runs the attempt only if running it
        twice is harmless.
    target_us
        Time in µs, counted from the arrival of the offer, within which an
        answer meets the latency target; None if the rule sets no target.
    rule_target_us
        The whole latency target of the rule in µs, or None. Attempts of one
        rank with the same target are taken for similar work.
    may_queue
        Whether the attempt may wait for a slot. If not, the owner node refuses
        it unless it can start at once.
    despite_failures
        Whether the attempt may reach a backend server that fails, because the
        servers of other owner nodes fail too.
    account
        Client account that the call belongs to, or None.
    route_id
        Route of the call while its service is rolled out, or else None.
    sibling_us
        Time in µs that other backend servers took for such work, as the entry
        node has seen it; None if the backend server of this owner node is not
        starting.
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
    incarnation: Incarnation = NO_INCARNATION
    sequence: int = 0
    content_bytes: int | None = 0
    refused_attempts: tuple[AttemptId, ...] = ()
    owner_incarnation: Incarnation = NO_INCARNATION
    target_us: Micros | None = None
    may_queue: bool = True
    despite_failures: bool = False
    rule_target_us: Micros | None = None
    account: AccountName | None = None
    route_id: RouteId | None = None
    sibling_us: Micros | None = None


@define
class AttemptCancel:
    """Entry node to owner node: the attempt's answer is no longer needed."""

    sender: NodeId
    attempt_id: AttemptId


@define
class AttemptRefused:
    """Owner node to entry node: the request did not run and will not run.

    Parameters
    ----------
    retry_after_ms
        Time in ms after which another attempt may succeed.
    free_slots
        Number of free slots at the owner node.
    """

    sender: NodeId
    attempt_id: AttemptId
    code: RefusalCode
    retry_after_ms: int
    free_slots: int


@define
class AnswerBegun:
    """Input at the entry node: the head of an attempt's answer arrived.

    Parameters
    ----------
    status
        HTTP status of the answer.
    free_slots
        Number of free slots at the owner node.
    """

    sender: NodeId
    attempt_id: AttemptId
    status: int
    free_slots: int


@define
class AnswerEnded:
    """Input at the entry node: no more of the answer's body will arrive.

    Parameters
    ----------
    is_whole
        False when the body was truncated.
    body_bytes
        Number of bytes of the body that arrived.
    """

    sender: NodeId
    attempt_id: AttemptId
    is_whole: bool
    body_bytes: int = 0


@define
class AttemptFailed:
    """Owner node to entry node: the attempt failed and may have run.

    No answer will follow. `free_slots` is the number of free slots at the
    owner node.
    """

    sender: NodeId
    attempt_id: AttemptId
    free_slots: int


@define
class OfferUndelivered:
    """Input at the entry node: the offer certainly never left this node."""

    attempt_id: AttemptId


@define
class OwnerConnectionLost:
    """Input at the entry node: messages sent to an owner node may be lost.

    The process that runs the tick posts it when a connection to a peer ends.
    Later offers to the address carry a higher connection epoch.
    """

    address: Address
    cause: LossCause = LossCause.CONNECTION


@define
class DropAnswer:
    """Effect at the entry node: discard the answer of this attempt.

    The answer arrived too late, or the call uses the answer of another
    attempt. The process that runs the tick discards what it has stored of the
    answer and what still arrives of it.
    """

    attempt_id: AttemptId


@define
class GiveUpAnswer:
    """Effect at the entry node: end a call whose answer comes too late.

    If no part of an answer was sent to the caller, the caller is told that the
    outcome is unknown, and `AnswerGivenUp` follows. If not, nothing happens.
    """

    call_id: CallId


@define
class AnswerGivenUp:
    """Input at the entry node: a call was ended without its answer."""

    call_id: CallId


@define
class AnswerOverdue:
    """Effect at the entry node: the call's deadline has passed midway.

    An answer that still makes progress goes on. One that stalls is cut soon,
    so that its caller is not kept waiting.
    """

    call_id: CallId
    attempt_id: AttemptId


@define
class CutAnswer:
    """Effect at the entry node: the rest of a partly sent answer is lost.

    The process that runs the tick closes the caller's connection, so that the
    caller does not take the answer for a complete one.
    """

    call_id: CallId
    attempt_id: AttemptId
