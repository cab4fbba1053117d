"""Messages from the director of the flood benchmark to its system."""

from collections.abc import Mapping
from dataclasses import dataclass

from papayapost.ids import NodeId
from papayapost_testing.floods.tables import FloodName, NodeReading
from papayapost_testing.load.tables import LoadTables

__all__ = ["FloodEnded", "FloodStarted"]


@dataclass(slots=True)
class FloodStarted:
    """Input: a flood starts; none of its calls was sent yet.

    Parameters
    ----------
    readings
        Counters of each running node before the flood.
    """

    name: FloodName
    readings: Mapping[NodeId, NodeReading]


@dataclass(slots=True)
class FloodEnded:
    """Input: the last call of a flood has ended.

    Parameters
    ----------
    readings
        Counters of each running node after the flood.
    load
        Results of the load generator.
    runs_by_key
        Number of runs for each idempotency key since the start of the
        benchmark, over all backend servers.
    """

    name: FloodName
    readings: Mapping[NodeId, NodeReading]
    load: LoadTables
    runs_by_key: Mapping[str, int]
