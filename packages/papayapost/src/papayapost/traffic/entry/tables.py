"""Tables of the entry node: calls, held calls, attempts and counters."""

from dataclasses import field
from enum import Enum

from papayapost.define import define
from papayapost.ids import (
    AccountName,
    AttemptId,
    CallId,
    Micros,
    NodeId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.rules import Route
from papayapost.states import Rank
from papayapost.traffic.entry.upstreams import UpstreamRow
from papayapost.traffic.messages import CallArrived, RefusalCode

__all__ = [
    "AttemptRow",
    "AttemptState",
    "CallRow",
    "CallStep",
    "EntryCounters",
    "EntryTables",
    "HeldCallRow",
]


class AttemptState(Enum):
    """State of an attempt at its entry node."""

    OFFERED = "offered"
    ANSWERING = "answering"


class CallStep(Enum):
    """What to do with a call when its timer fires before the deadline."""

    NONE = "none"
    HEDGE = "hedge"
    GIVE_UP_ATTEMPT = "give-up-attempt"
    RETRY = "retry"


@define
class CallRow:
    """A caller's request at its entry node.

    Parameters
    ----------
    deadline_us
        Time of the tick clock in µs by which the caller must have an answer.
    tried
        Owner nodes that the call was offered to, in order, without those that
        refused because it would have had to wait.
    outstanding
        Attempts that were offered and may still be answered.
    refused
        Attempts that were refused as not run.
    retries, redirects
        Number of further attempts that count against the retry limit of the
        rule, and number of those that follow a refusal which costs no retry,
        but for refusals for want of a free slot.
    failing_servers, despite_failures
        Number of refusals because a backend server fails, and whether the call
        is to be tried all the same.
    link_refusals
        Number of refusals because the link of an owner node is full.
    is_refused_near
        Whether the owner nodes of this region have refused the call and one
        of another region is to be tried.
    is_refused_across
        Whether an owner node of another region had no free slot. A further one
        would cost the time of the way there and back again.
    may_have_run
        Whether an attempt that is no longer outstanding may have run.
    arrived_us
        Time in µs at which the head of the request arrived.
    waited_us
        Estimated time in µs that the caller spent on earlier calls for the
        same request, before this call arrived.
    version
        Version of the rules that the route comes from.
    chosen_service
        Service that takes the call if the route divides its calls among
        several services; None if the route has one service.
    account
        Client account that the call belongs to, or None.
    account_rank
        Rank that the account sets for its calls, or None.
    """

    call_id: CallId
    arrived: CallArrived
    route: Route
    deadline_us: Micros
    tried: list[NodeId] = field(default_factory=list)
    outstanding: list[AttemptId] = field(default_factory=list)
    refused: list[AttemptId] = field(default_factory=list)
    retries: int = 0
    redirects: int = 0
    failing_servers: int = 0
    despite_failures: bool = False
    link_refusals: int = 0
    is_refused_near: bool = False
    is_refused_across: bool = False
    is_hedged: bool = False
    may_have_run: bool = False
    step: CallStep = CallStep.NONE
    last_code: RefusalCode = RefusalCode.NO_BACKEND_SERVER
    retry_after_ms: int | None = None
    arrived_us: Micros = Micros(0)
    waited_us: Micros = Micros(0)
    version: RuleVersion = RuleVersion(0)
    chosen_service: ServiceName | None = None
    account: AccountName | None = None
    account_rank: Rank | None = None

    @property
    def rank(self) -> Rank:
        """Priority of the call."""
        return self.route.rank if self.account_rank is None else self.account_rank

    @property
    def service(self) -> ServiceName:
        """The service whose backend servers may run the call."""
        return self.chosen_service or self.route.service


@define
class AttemptRow:
    """An attempt that is outstanding at an owner node."""

    attempt_id: AttemptId
    call_id: CallId
    upstream: UpstreamRow
    offered_us: Micros
    state: AttemptState


@define
class EntryCounters:
    """Totals of the entry node since its process started.

    Parameters
    ----------
    calls, attempts
        Calls that arrived, and attempts that were offered.
    retries, hedges, redirects
        Attempts beyond the first of a call: retries, hedges, and those after
        a refusal that costs no retry.
    refused_calls, unknown_outcomes
        Calls that were refused as not run, and calls that ended without an
        answer but may have run.
    late_answers
        Answers that were dropped because their attempt had ended.
    budget_denials
        Retries within the limit of the rule that the budget did not allow.
    ejections
        Ejections of upstreams.
    crossings
        Calls that were offered to another region because the owner nodes of
        this one had refused them.
    offers_to_draining
        Offers to nodes that the directory listed as draining or gone.
    """

    calls: int = 0
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    redirects: int = 0
    refused_calls: int = 0
    unknown_outcomes: int = 0
    late_answers: int = 0
    budget_denials: int = 0
    ejections: int = 0
    offers_to_draining: int = 0
    crossings: int = 0


@define
class HeldCallRow:
    """A call that is held until there are rules or a backend server for it.

    Parameters
    ----------
    code
        Code with which the call is refused if it is held for too long.
    """

    arrived: CallArrived
    arrived_us: Micros
    code: RefusalCode


class EntryTables:
    """Tables of calls, held calls and attempts at the entry node."""

    def __init__(self):
        self.calls: Table[CallId, CallRow] = Table("calls")
        self.held: Table[CallId, HeldCallRow] = Table("held calls")
        self.attempts: Table[AttemptId, AttemptRow] = Table("attempts")
        self.counters = EntryCounters()
