"""Tables of the demo's director: steps, node processes and rollouts."""

from dataclasses import dataclass, field
from enum import Enum

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import Table
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.store import FaultsRow

__all__ = [
    "ApplyAttemptRow",
    "DemoTables",
    "NodeRow",
    "ProcessState",
    "RolloutRow",
    "StepKind",
    "StepRow",
    "StepState",
]


_NO_VERSION = RuleVersion(0)
_TIME_ZERO = Micros(0)


class StepKind(Enum):
    """Kind of a script step; the value is the text that the demo prints."""

    START_PLATFORM = "start the object store and the backend servers"
    APPLY = "apply the rules file"
    START_NODES = "start the nodes"
    START_LOAD = "start the callers"
    WAIT = "wait"
    MEASURE_IDLE = "measure the CPU time of idle nodes"
    KILL = "kill node"
    DRAIN = "drain node"
    RESTART_WAVE = "drain and restart nodes"
    PAUSE = "pause node"
    RESUME = "resume node"
    SET_FAULTS = "set the object store faults to"
    TRY_APPLY = "try to apply the rules file:"
    CUT_STORE = "cut off the object store for data centre"
    SLOW_STORE = "slow the object store down"
    HEAL_STORE = "end the faults of the object store"
    RESTART = "restart killed node"
    STOP_LOAD = "stop the callers and wait for their last answers"
    START_FLOOD = "start flood"
    MEASURE_FLOOD = "stop and measure flood"
    SHOW_TIMELINE = "show one call and the newest rules version with papaya timeline"
    COLLECT = "collect metrics, memory use and idempotency keys"
    STOP_PROCESSES = "stop all processes"


class StepState(Enum):
    """Progress of a step."""

    PENDING = "pending"
    RUNNING = "running"
    AWAITING_EFFECT = "awaiting effect"
    DONE = "done"
    TIMED_OUT = "timed out"


class ProcessState(Enum):
    """State of a node's process."""

    ABSENT = "absent"
    RUNNING = "running"
    KILLED = "killed"
    PAUSED = "paused"
    DRAINING = "draining"
    EXITED = "exited"


@dataclass(slots=True)
class NodeRow:
    """State of a node's process, as the director observed it.

    Attributes
    ----------
    version
        Rules version that the node logged as active last; 0 for none.
    activated_us, started_us, joined_us
        Monotonic times in µs at which the director learned that the rules
        version became active, the process started and the node found its
        first parent after the start.
    exit_code
        Exit code of the process that ended last, or None.
    """

    node_id: NodeId
    data_centre: DataCentreId
    process_state: ProcessState = ProcessState.ABSENT
    version: RuleVersion = _NO_VERSION
    activated_us: Micros = _TIME_ZERO
    started_us: Micros = _TIME_ZERO
    joined_us: Micros | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class StepRow:
    """One step of the script.

    Parameters
    ----------
    subject
        Node or data centre that the step acts on, or a title for the
        progress line. Empty if the step needs neither.
    wait_ms
        Time in ms that the director waits after the handler of the step has
        returned.
    limit_ms
        Time in ms, on top of `wait_ms`, after which a step without its
        effect counts as a violation.
    nodes
        Nodes that a restart step restarts at the same time.
    faults
        Faults that the object store simulates from this step on.
    """

    kind: StepKind
    subject: str = ""
    wait_ms: int = 0
    limit_ms: int = 15_000
    nodes: tuple[NodeId, ...] = ()
    faults: FaultsRow | None = None
    state: StepState = StepState.PENDING


@dataclass(slots=True)
class RolloutRow:
    """One rules version that is rolled out to all nodes.

    Parameters
    ----------
    applied_us
        Monotonic time at which the store wrote the version, in µs.
    title
        Circumstances of the change, shown in the summary.
    expected
        Nodes whose delay is measured: those that ran when the version was
        applied, or all nodes if none ran.

    Attributes
    ----------
    delays_us
        Time from the write in the store to the activation, by node, in µs.
    """

    version: RuleVersion
    applied_us: Micros
    title: str
    expected: frozenset[NodeId]
    delays_us: dict[NodeId, Micros] = field(default_factory=dict)


@dataclass(slots=True)
class ApplyAttemptRow:
    """Outcome that ``papaya apply`` reported while the store had faults.

    Parameters
    ----------
    line
        Line that the command tried to add to the rules.
    """

    line: str
    outcome: ApplyOutcome


class DemoTables:
    """All tables of the director.

    Attributes
    ----------
    position
        Index of the current step in `steps`.
    attempts
        Runs of ``papaya apply`` whose outcome was not yet compared with the
        rules in the store.
    rejoin_delays_us
        For each restarted node, the time in µs from finding its parent to its
        first active rules version.
    offers_to_draining_nodes
        Number of offers that nodes sent to owner nodes known to be draining.
    violations
        One sentence for each guarantee that was violated.
    """

    def __init__(self, steps: list[StepRow]):
        self.steps = steps
        self.position = 0
        self.nodes: Table[NodeId, NodeRow] = Table(
            "nodes", {"data_centre": lambda row: row.data_centre}
        )
        self.rollouts: Table[RuleVersion, RolloutRow] = Table("rollouts")
        self.attempts: list[ApplyAttemptRow] = []
        self.rejoin_delays_us: dict[NodeId, Micros] = {}
        self.offers_to_draining_nodes = 0
        self.violations: list[str] = []

    @property
    def step(self) -> StepRow | None:
        """The current step, or None after the last step."""
        if self.position < len(self.steps):
            return self.steps[self.position]
        return None

    @property
    def newest(self) -> RolloutRow | None:
        """Rules version that was applied last, or None before the first."""
        rows = list(self.rollouts)
        return rows[-1] if rows else None

    def serving(self) -> list[NodeRow]:
        """Return the nodes whose process runs.

        Only these nodes are expected to activate the newest rules version.
        """
        return [row for row in self.nodes if row.process_state is ProcessState.RUNNING]
