"""Messages of the flood benchmark."""

from collections.abc import Mapping
from dataclasses import dataclass

from papayapost.ids import NodeId
from papayapost_testing.floods.tables import FloodName, NodeReading
from papayapost_testing.load.tables import LoadTables

__all__ = ["FloodBegun", "FloodEnded"]


@dataclass(slots=True)
class FloodBegun:
    """Input: the flood's first call is about to leave."""

    name: FloodName
    readings: Mapping[NodeId, NodeReading]


@dataclass(slots=True)
class FloodEnded:
    """Input: the flood's last call has ended.

    Parameters
    ----------
    keys
        How often each idempotency key ran since the start of the run, over
        all backend servers.
    """

    name: FloodName
    readings: Mapping[NodeId, NodeReading]
    load: LoadTables
    keys: Mapping[str, int]
