"""A stand-in for a backend server, with slots and load shedding."""

from papayapost_testing.backend.server import BackendServerStandIn
from papayapost_testing.backend.tables import BehaviourRow, CountsRow

__all__ = ["BackendServerStandIn", "BehaviourRow", "CountsRow"]
