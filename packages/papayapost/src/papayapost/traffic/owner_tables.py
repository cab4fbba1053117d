"""Tables of the owner node: attempts that wait for or hold a slot."""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from papayapost.ids import AttemptId, Micros
from papayapost.kernel import Table
from papayapost.traffic.messages import AttemptOffer

__all__ = ["OwnedRow", "OwnedState", "OwnerTables"]


class OwnedState(Enum):
    """An attempt as its owner node sees it."""

    QUEUED = "queued"
    RUNNING = "running"


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
