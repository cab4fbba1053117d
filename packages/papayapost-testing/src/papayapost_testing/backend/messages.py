"""Messages of the backend server stand-in's world."""

from dataclasses import dataclass

from papayapost.ids import IdempotencyKey, Micros
from papayapost_testing.backend.tables import BehaviourRow, RunNumber

__all__ = [
    "AnswerRequest",
    "BehaviourSet",
    "HealthUpdateDue",
    "RefuseRequest",
    "RequestCancelled",
    "RequestReceived",
    "ServiceTimeElapsed",
]


@dataclass(slots=True)
class RequestReceived:
    """Input: a complete request was received.

    Parameters
    ----------
    budget_us
        Time budget that the request carries, in µs, or None.
    """

    number: RunNumber
    key: IdempotencyKey | None
    budget_us: Micros | None


@dataclass(slots=True)
class RequestCancelled:
    """Input: the client closed its connection before the answer."""

    number: RunNumber


@dataclass(slots=True)
class BehaviourSet:
    """Input: use this behaviour from now on."""

    behaviour: BehaviourRow


@dataclass(slots=True)
class ServiceTimeElapsed:
    """Timer: the service time of the request is over."""

    number: RunNumber


@dataclass(slots=True)
class HealthUpdateDue:
    """Input and timer: update the state that the health endpoint shows."""


@dataclass(slots=True)
class AnswerRequest:
    """Effect: answer the request with status 200.

    Parameters
    ----------
    answer_bytes
        Size to which the body is padded with dots, in bytes; 0 for no
        padding.
    """

    number: RunNumber
    answer_bytes: int


@dataclass(slots=True)
class RefuseRequest:
    """Effect: refuse the request with status 503."""

    number: RunNumber
