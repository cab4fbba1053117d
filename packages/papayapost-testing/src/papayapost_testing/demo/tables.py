"""Tables of the demo's director."""

from dataclasses import dataclass, field
from enum import Enum

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import Table
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.store import FaultsRow

__all__ = [
    "ApplicationRow",
    "AttemptRow",
    "DemoTables",
    "NodeRow",
    "NodeRun",
    "StepKind",
    "StepRow",
    "StepState",
]


_NO_VERSION = RuleVersion(0)
_START = Micros(0)


class StepKind(Enum):
    """What a step of the script does."""

    START_PLATFORM = "start the object store and the backend servers"
    APPLY = "apply the rules file"
    START_NODES = "start the nodes"
    LOAD = "callers send"
    REST = "let it run"
    IDLE = "measure idle nodes"
    KILL = "kill a node"
    DRAIN = "drain a node"
    RESTART_WAVE = "drain nodes and start them again"
    PAUSE = "pause a node"
    RESUME = "let the paused node go on"
    SET_FAULTS = "set the store's faults"
    TRY_APPLY = "apply the rules file under faults"
    CUT_STORE = "cut a data centre from the store"
    SLOW_STORE = "slow the object store down"
    HEAL_STORE = "heal the object store"
    RESTART = "start the killed node again"
    FINISH = "stop the callers and wait for their last answers"
    FLOOD = "flood with calls of one rank"
    MEASURE = "stop the flood and measure it"
    SHOW = "follow one call and the newest rule with papaya timeline"
    COLLECT = "collect what the backend servers ran"
    STOP = "stop all processes"


class StepState(Enum):
    """Progress of a step."""

    WAITING = "waiting"
    RUNNING = "running"
    SETTLING = "settling"
    DONE = "done"
    LATE = "late"


class NodeRun(Enum):
    """State of a node's process."""

    ABSENT = "absent"
    RUNNING = "running"
    KILLED = "killed"
    PAUSED = "paused"
    DRAINING = "draining"
    EXITED = "exited"


@dataclass(slots=True)
class NodeRow:
    """A node's process as the director sees it."""

    node_id: NodeId
    data_centre: DataCentreId
    run: NodeRun = NodeRun.ABSENT
    version: RuleVersion = _NO_VERSION
    in_force_us: Micros = _START
    started_us: Micros = _START
    joined_us: Micros | None = None
    exit_code: int | None = None


@dataclass(slots=True)
class StepRow:
    """One step of the script.

    Parameters
    ----------
    subject
        Node or data centre that the step is about, or empty.
    rest_ms
        Time that the step goes on after it was carried out.
    limit_ms
        Time within which the step's effect must be seen.
    nodes
        Nodes that are restarted at the same time.
    faults
        Faults that the object store has from this step on.
    """

    kind: StepKind
    subject: str = ""
    rest_ms: int = 0
    limit_ms: int = 15_000
    nodes: tuple[NodeId, ...] = ()
    faults: FaultsRow | None = None
    state: StepState = StepState.WAITING


@dataclass(slots=True)
class ApplicationRow:
    """One version on its way to all nodes.

    Parameters
    ----------
    expected
        Nodes that ran when the version was applied.

    Attributes
    ----------
    delays_us
        Time from the store's write to force, by node.
    """

    version: RuleVersion
    applied_us: Micros
    title: str
    expected: frozenset[NodeId]
    delays_us: dict[NodeId, Micros] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptRow:
    """What ``papaya apply`` said of an edit that it wrote under faults."""

    line: str
    outcome: ApplyOutcome


class DemoTables:
    """All tables of the director."""

    def __init__(self, steps: list[StepRow]):
        self.steps = steps
        self.position = 0
        self.nodes: Table[NodeId, NodeRow] = Table(
            "nodes", {"data_centre": lambda row: row.data_centre}
        )
        self.applications: Table[RuleVersion, ApplicationRow] = Table("applications")
        self.attempts: list[AttemptRow] = []
        self.rejoin_us: dict[NodeId, Micros] = {}
        self.offers_to_leavers = 0
        self.broken: list[str] = []

    @property
    def step(self) -> StepRow | None:
        """The step that is carried out, or None after the last."""
        if self.position < len(self.steps):
            return self.steps[self.position]
        return None

    @property
    def newest(self) -> ApplicationRow | None:
        """The version that was applied last."""
        rows = list(self.applications)
        return rows[-1] if rows else None

    def serving(self) -> list[NodeRow]:
        """Return the nodes that have to hold the newest version."""
        return [row for row in self.nodes if row.run is NodeRun.RUNNING]
