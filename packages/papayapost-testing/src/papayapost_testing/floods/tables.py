"""Tables of the flood benchmark."""

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

_START = Micros(0)

FloodName = NewType("FloodName", str)
"""One flood, unique within a run."""


class FloodFault(Enum):
    """What fails during a flood."""

    NONE = "no fault"
    KILL_AND_SLOW_STORE = "a node killed, the store slow"


@dataclass(frozen=True, slots=True)
class NodeReading:
    """What one node has counted since its start."""

    calls: int = 0
    attempts: int = 0
    cpu_s: float = 0.0

    def since(self, before: "NodeReading") -> "NodeReading":
        """Return what was counted after an earlier reading."""
        return NodeReading(
            self.calls - before.calls,
            self.attempts - before.attempts,
            self.cpu_s - before.cpu_s,
        )


@dataclass(slots=True)
class FloodRow:
    """One flood and what became of its calls.

    Parameters
    ----------
    load
        Load of all ranks together, as a multiple of the capacity.
    others_load
        Load of the deployment's usual mix within `load`.

    Attributes
    ----------
    begun_us, ended_us
        Times before the first call left and after the last one ended.
    before
        Readings of the nodes that ran when the flood began.
    used
        Difference of the readings over the flood, summed over the nodes that
        ran from its beginning to its end.
    untrue_refusals
        Keys that were refused as not run, and yet were run.
    missing_runs
        Keys that were answered whole, and yet were not run.
    """

    rank: Rank
    load: float
    duration_ms: int
    fault: FloodFault = FloodFault.NONE
    others_load: float = 0.4
    begun_us: Micros = _START
    ended_us: Micros = _START
    before: Mapping[NodeId, NodeReading] = field(default_factory=dict)
    used: NodeReading = NodeReading()
    tallies: Mapping[Rank, TallyRow] = field(default_factory=dict)
    untrue_refusals: int = 0
    missing_runs: int = 0

    @property
    def name(self) -> FloodName:
        """The rank, the load and the fault."""
        text = f"{self.rank.name.lower()} {self.load:g}x"
        if not self.others_load:
            text += " alone"
        if self.fault is not FloodFault.NONE:
            text += ", kill and slow store"
        return FloodName(text)


class FloodTables:
    """All tables of the flood benchmark."""

    def __init__(self, floods: Sequence[FloodRow]):
        self.floods: Table[FloodName, FloodRow] = Table("floods")
        for flood in floods:
            self.floods.put(flood.name, flood)
        self.doubled_keys = 0
