"""Tables of the backend server stand-in: behaviour, runs and counts."""

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
"""Number of a request, unique within the stand-in."""


@dataclass(slots=True)
class BehaviourRow:
    """Behaviour of the backend server; it may change while the server runs.

    Parameters
    ----------
    slots
        Number of requests that run at the same time; further requests are
        refused with 503.
    service_time_ms
        Time in ms for which a request holds its slot.
    cold_ms
        Time in ms, from the first request, in which a request takes
        `cold_factor` times as long.
    is_draining
        Whether new requests are refused with 503.
    is_shedding
        Whether every other request is refused with 503.
    health_lag_ms
        Largest age in ms of the state that the health endpoint shows.
    answer_bytes
        Size of each answer's body in bytes. The body is the method and the
        target of the request, padded with dots; 0 for no padding.
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
    """Counts of requests so far.

    Attributes
    ----------
    started, served
        Requests that got a slot, and those of them that were answered.
    shed
        Requests that were refused while draining, shedding or full.
    cancelled
        Requests whose client closed the connection while they ran.
    expired
        Requests that were refused because their time budget was shorter than
        the service time.
    repeated_keys
        Runs of an idempotency key that had run before.
    started_while_draining
        Always 0, because a draining stand-in starts no request.
    """

    started: int = 0
    served: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    repeated_keys: int = 0
    started_while_draining: int = 0


@dataclass(slots=True)
class HealthRow:
    """State that the health endpoint shows."""

    is_ready: bool = True
    free_slots: int = 0


class BackendTables:
    """All tables of the stand-in.

    Attributes
    ----------
    runs_by_key
        Number of runs for each idempotency key.
    started_us
        Monotonic time in µs of the first request, or None before it.
    """

    def __init__(self, behaviour: BehaviourRow):
        self.behaviour = behaviour
        self.runs: Table[RunNumber, RunRow] = Table("runs")
        self.runs_by_key: dict[IdempotencyKey, int] = {}
        self.counts = CountsRow()
        self.health = HealthRow(free_slots=behaviour.slots)
        self.started_us: Micros | None = None
