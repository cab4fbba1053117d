"""Stand-ins for the platform and for backend servers, demo and benchmarks."""

from papayapost_testing.backend import BackendServerStandIn, BehaviourRow
from papayapost_testing.store import FaultsRow, ObjectStoreStandIn

__all__ = [
    "BackendServerStandIn",
    "BehaviourRow",
    "FaultsRow",
    "ObjectStoreStandIn",
]
