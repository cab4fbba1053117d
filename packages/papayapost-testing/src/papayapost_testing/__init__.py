"""Stand-ins of outside systems, the demo and the benchmarks."""

from papayapost_testing.backend import BackendServerStandIn, BehaviourRow
from papayapost_testing.store import FaultsRow, ObjectStoreStandIn

__all__ = [
    "BackendServerStandIn",
    "BehaviourRow",
    "FaultsRow",
    "ObjectStoreStandIn",
]
