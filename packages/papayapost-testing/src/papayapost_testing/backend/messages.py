"""Messages of the backend server stand-in."""

from dataclasses import dataclass

from papayapost.ids import IdempotencyKey, Micros
from papayapost_testing.backend.tables import BehaviourRow, RunNumber

__all__ = [
    "BehaviourSet",
    "HealthDue",
    "Refusal",
    "RequestCancelled",
    "RequestTaken",
    "RunDone",
    "RunFinished",
]


@dataclass(slots=True)
class RequestTaken:
    """Input: a request came in whole."""

    number: RunNumber
    key: IdempotencyKey | None
    budget_us: Micros | None


@dataclass(slots=True)
class RequestCancelled:
    """Input: the client closed before its answer."""

    number: RunNumber


@dataclass(slots=True)
class BehaviourSet:
    """Input: behave like this from now on."""

    behaviour: BehaviourRow


@dataclass(slots=True)
class RunDone:
    """Timer: the request has held its slot long enough."""

    number: RunNumber


@dataclass(slots=True)
class HealthDue:
    """Timer: the health endpoint catches up."""


@dataclass(slots=True)
class RunFinished:
    """Effect: answer the request with this many bytes; 0 echoes it."""

    number: RunNumber
    answer_bytes: int


@dataclass(slots=True)
class Refusal:
    """Effect: answer the request with 503."""

    number: RunNumber
