"""Tables of calls at the entry node and attempts at the owner node."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from papayapost.ids import Address, AttemptId, CallId, Micros, NodeId
from papayapost.kernel import Table
from papayapost.rules import Route
from papayapost.traffic.messages import AttemptOffer, CallArrived

__all__ = [
    "AttemptRow",
    "AttemptState",
    "CallRow",
    "OwnedRow",
    "OwnedState",
    "OwnerTables",
    "TrafficTables",
]


class AttemptState(Enum):
    """An attempt as its entry node sees it."""

    OFFERED = "offered"
    ANSWERING = "answering"


class OwnedState(Enum):
    """An attempt as its owner node sees it."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True)
class CallRow:
    """A caller's request at its entry node.

    Parameters
    ----------
    deadline_us
        Time of the tick clock by which the caller must have an answer.
    tried
        Owner nodes that were tried, in order.
    """

    call_id: CallId
    arrived: CallArrived
    route: Route
    deadline_us: Micros
    tried: list[NodeId] = field(default_factory=list)
    attempt_id: AttemptId | None = None


@dataclass(slots=True)
class AttemptRow:
    """One attempt at its entry node."""

    attempt_id: AttemptId
    call_id: CallId
    owner: NodeId
    owner_address: Address
    is_local: bool
    offered_us: Micros
    state: AttemptState


@dataclass(slots=True)
class OwnedRow:
    """One attempt at its owner node."""

    offer: AttemptOffer
    deadline_us: Micros
    state: OwnedState


class OwnerTables:
    """Attempts that wait for or hold a slot of the own backend server.

    Parameters
    ----------
    slots
        Calls that the backend server runs at once.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.attempts: Table[AttemptId, OwnedRow] = Table("owned attempts")
        self.queue: deque[AttemptId] = deque()

    @property
    def free_slots(self) -> int:
        """Slots that neither run nor are waited for."""
        return max(0, self.slots - self.running - len(self.queue))


class TrafficTables:
    """Calls and attempts of the entry side."""

    def __init__(self):
        self.calls: Table[CallId, CallRow] = Table("calls")
        self.attempts: Table[AttemptId, AttemptRow] = Table("attempts")
        self.outstanding: dict[NodeId, int] = {}
