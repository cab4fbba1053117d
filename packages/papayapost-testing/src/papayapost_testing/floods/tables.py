"""Table of the floods of the benchmark."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from papayapost.ids import Micros, NodeId
from papayapost.kernel import Table
from papayapost.states import Rank
from papayapost_testing.load import TallyRow

__all__ = [
    "FloodFault",
    "FloodName",
    "FloodRow",
    "FloodTables",
    "NodeReading",
]

_TIME_ZERO = Micros(0)

FloodName = NewType("FloodName", str)
"""Name of a flood, unique within a run of the benchmark."""


class FloodFault(Enum):
    """Faults that the benchmark causes during a flood."""

    NONE = "no fault"
    KILL_AND_SLOW_STORE = "killed node and slow store"


@dataclass(frozen=True, slots=True)
class NodeReading:
    """Counters of one node since its start.

    Parameters
    ----------
    calls
        Calls that arrived at the node as their entry node.
    attempts
        Attempts that the node offered to owner nodes.
    cpu_s
        CPU time of the process in s.
    """

    calls: int = 0
    attempts: int = 0
    cpu_s: float = 0.0

    def since(self, before: "NodeReading") -> "NodeReading":
        """Return the difference between this reading and an earlier one."""
        return NodeReading(
            self.calls - before.calls,
            self.attempts - before.attempts,
            self.cpu_s - before.cpu_s,
        )


@dataclass(slots=True)
class FloodRow:
    """One flood and its results.

    Parameters
    ----------
    rank
        Rank of the calls that are added to the base load.
    load
        Load of all ranks together, as a multiple of the capacity.
    duration_ms
        Time in ms for which calls arrive.
    base_load
        Part of `load` that is the base load of the deployment, with all of
        its ranks; as a multiple of the capacity.

    Attributes
    ----------
    started_us, ended_us
        Monotonic times in µs before the first call was sent and after the
        last call ended.
    before
        Counters of the nodes that ran when the flood started.
    counter_increase
        Increase of the counters during the flood, summed over the nodes that
        ran from its start to its end.
    tallies
        Results of the calls by rank.
    wrong_refusals
        Number of keys that ran although their calls were refused as not run.
    missing_runs
        Number of keys that never ran although their calls were answered.
    """

    rank: Rank
    load: float
    duration_ms: int
    fault: FloodFault = FloodFault.NONE
    base_load: float = 0.4
    started_us: Micros = _TIME_ZERO
    ended_us: Micros = _TIME_ZERO
    before: Mapping[NodeId, NodeReading] = field(default_factory=dict)
    counter_increase: NodeReading = NodeReading()
    tallies: Mapping[Rank, TallyRow] = field(default_factory=dict)
    wrong_refusals: int = 0
    missing_runs: int = 0

    @property
    def name(self) -> FloodName:
        """Name made of the rank, the load and the fault."""
        text = f"{self.rank.name.lower()} {self.load:g}x"
        if not self.base_load:
            text += " alone"
        if self.fault is not FloodFault.NONE:
            text += ", kill and slow store"
        return FloodName(text)


class FloodTables:
    """All tables of the flood benchmark.

    Attributes
    ----------
    repeated_keys
        Number of idempotency keys that ran more than once.
    """

    def __init__(self, floods: Sequence[FloodRow]):
        self.floods: Table[FloodName, FloodRow] = Table("floods")
        for flood in floods:
            self.floods.put(flood.name, flood)
        self.repeated_keys = 0
