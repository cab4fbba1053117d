"""Tables of the entry node: calls, attempts and counters."""

from dataclasses import dataclass, field
from enum import Enum

from papayapost.ids import AttemptId, CallId, Micros, NodeId, RuleVersion, ServiceName
from papayapost.kernel import Table
from papayapost.rules import Route
from papayapost.traffic.entry.upstreams import UpstreamRow
from papayapost.traffic.messages import CallArrived, RefusalCode

__all__ = [
    "AttemptRow",
    "AttemptState",
    "CallRow",
    "CallStep",
    "HeldRow",
    "TrafficCounters",
    "TrafficTables",
]


class AttemptState(Enum):
    """An attempt as its entry node sees it."""

    OFFERED = "offered"
    ANSWERING = "answering"


class CallStep(Enum):
    """What a call does when its timer is due before its deadline."""

    NONE = "none"
    HEDGE = "hedge"
    GIVE_UP_ATTEMPT = "give-up-attempt"
    RETRY = "retry"


@dataclass(slots=True)
class CallRow:
    """A caller's request at its entry node.

    Parameters
    ----------
    deadline_us
        Time of the tick clock by which the caller must have an answer.
    tried
        Owner nodes that were tried, in order.
    live
        Attempts that may still be answered.
    refused
        Attempts that were refused as not run.
    retries, redirects
        Further attempts so far that count against the rule's limit, and
        those that do not because a draining owner sent the call on.
    is_maybe_run
        Whether an attempt that is no longer waited for may have run.
    arrived_us
        When its head came in.
    spent_us
        Estimate of what its caller had waited before, with earlier calls.
    version
        Version of the rules that decided.
    part
        Which of the route's services takes the call; None for its only one.
    """

    call_id: CallId
    arrived: CallArrived
    route: Route
    deadline_us: Micros
    tried: list[NodeId] = field(default_factory=list)
    live: list[AttemptId] = field(default_factory=list)
    refused: list[AttemptId] = field(default_factory=list)
    retries: int = 0
    redirects: int = 0
    is_hedged: bool = False
    is_maybe_run: bool = False
    step: CallStep = CallStep.NONE
    last_code: RefusalCode = RefusalCode.NO_BACKEND_SERVER
    retry_after_ms: int | None = None
    arrived_us: Micros = Micros(0)  # noqa: RUF009
    spent_us: Micros = Micros(0)  # noqa: RUF009
    version: RuleVersion = RuleVersion(0)  # noqa: RUF009
    part: ServiceName | None = None

    @property
    def service(self) -> ServiceName:
        """The service whose backend servers may take the call."""
        return self.part or self.route.service


@dataclass(slots=True)
class AttemptRow:
    """One attempt at its entry node."""

    attempt_id: AttemptId
    call_id: CallId
    upstream: UpstreamRow
    offered_us: Micros
    state: AttemptState


@dataclass(slots=True)
class TrafficCounters:
    """Totals of the entry side since the process started."""

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


@dataclass(slots=True)
class HeldRow:
    """A call that waits for rules, or for a backend server to be known.

    Parameters
    ----------
    code
        What the caller is told if nothing comes.
    """

    arrived: CallArrived
    arrived_us: Micros
    code: RefusalCode


class TrafficTables:
    """Calls and attempts of the entry side."""

    def __init__(self):
        self.calls: Table[CallId, CallRow] = Table("calls")
        self.held: Table[CallId, HeldRow] = Table("held calls")
        self.attempts: Table[AttemptId, AttemptRow] = Table("attempts")
        self.counters = TrafficCounters()
