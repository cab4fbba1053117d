"""Stand-ins for the platform and for backend servers, demo and benchmarks."""

from papayapost_testing.backend_server import BackendServerStandIn
from papayapost_testing.object_store import ObjectStoreStandIn

__all__ = ["BackendServerStandIn", "ObjectStoreStandIn"]
