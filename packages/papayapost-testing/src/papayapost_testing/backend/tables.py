"""Tables of the backend server stand-in."""

from dataclasses import dataclass
from typing import NewType

from papayapost.ids import IdempotencyKey, Micros
from papayapost.kernel import Table

__all__ = [
    "BackendTables",
    "BehaviourRow",
    "CountsRow",
    "HealthRow",
    "RunNumber",
    "RunRow",
]

RunNumber = NewType("RunNumber", int)
"""One request, unique within the stand-in."""


@dataclass(slots=True)
class BehaviourRow:
    """How the backend server behaves; changed while it runs.

    Parameters
    ----------
    slots
        Requests that run at once; more are shed with 503.
    service_time_ms
        Time that a request holds its slot.
    cold_ms
        Time after the start during which a request takes `cold_factor` times
        as long.
    is_draining
        New requests are refused with 503.
    is_shedding
        Every other request is refused with 503.
    health_lag_ms
        Age of what the health endpoint tells.
    answer_bytes
        Size of each answer's body; 0 echoes the request line.
    """

    slots: int = 9
    service_time_ms: float = 2.0
    cold_ms: int = 0
    cold_factor: float = 5.0
    is_draining: bool = False
    is_shedding: bool = False
    health_lag_ms: int = 3_000
    answer_bytes: int = 0


@dataclass(slots=True)
class RunRow:
    """One request that holds a slot."""

    number: RunNumber
    key: IdempotencyKey | None
    started_us: Micros


@dataclass(slots=True)
class CountsRow:
    """What happened so far."""

    started: int = 0
    served: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    doubled_keys: int = 0
    started_while_draining: int = 0


@dataclass(slots=True)
class HealthRow:
    """What the health endpoint tells."""

    is_ready: bool = True
    free_slots: int = 0


class BackendTables:
    """All tables of the stand-in."""

    def __init__(self, behaviour: BehaviourRow):
        self.behaviour = behaviour
        self.runs: Table[RunNumber, RunRow] = Table("runs")
        self.keys: dict[IdempotencyKey, int] = {}
        self.counts = CountsRow()
        self.health = HealthRow(free_slots=behaviour.slots)
        self.started_us: Micros | None = None
