"""A stand-in of a backend server."""

from papayapost_testing.backend.server import BackendServerStandIn
from papayapost_testing.backend.tables import BehaviourRow, CountsRow

__all__ = ["BackendServerStandIn", "BehaviourRow", "CountsRow"]
