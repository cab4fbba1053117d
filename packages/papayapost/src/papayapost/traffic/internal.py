"""Timers and internal messages that the traffic systems send each other."""

from dataclasses import dataclass

from papayapost.ids import AttemptId, CallId, NodeId

__all__ = [
    "AnnouncementDue",
    "AttemptDoubted",
    "AttemptLost",
    "CallStepDue",
    "DrainCheck",
    "DrainFinished",
    "DrainLimitPassed",
    "EjectionEnded",
    "GracePeriodEnded",
    "HoldExpired",
    "LastAnswersDue",
    "TrafficStarted",
]


@dataclass(slots=True)
class CallStepDue:
    """Timer: the next step of a call is due; `CallStep` lists the steps."""

    call_id: CallId


@dataclass(slots=True)
class HoldExpired:
    """Timer: a held call has waited for the longest time allowed."""

    call_id: CallId


@dataclass(slots=True)
class AttemptLost:
    """Internal: the owner node is gone and the attempt may have run."""

    attempt_id: AttemptId


@dataclass(slots=True)
class AttemptDoubted:
    """Internal: the owner node is silent; it may still answer the attempt."""

    attempt_id: AttemptId


@dataclass(slots=True)
class EjectionEnded:
    """Timer: the ejection of an upstream ends and calls may use it again."""

    node_id: NodeId


@dataclass(slots=True)
class TrafficStarted:
    """First message of a node: the process has just started."""


@dataclass(slots=True)
class AnnouncementDue:
    """Timer: this node must ask other nodes to send no more attempts."""


@dataclass(slots=True)
class LastAnswersDue:
    """Timer: answers still missing from a node that exited are lost."""

    attempt_ids: tuple[AttemptId, ...]


@dataclass(slots=True)
class GracePeriodEnded:
    """Timer: the grace period in which other nodes learn of a drain ended."""


@dataclass(slots=True)
class DrainLimitPassed:
    """Timer: the time limit of the drain passed, so the process must exit."""


@dataclass(slots=True)
class DrainCheck:
    """Internal: check once more that no work is left before a drain ends."""


@dataclass(slots=True)
class DrainFinished:
    """Internal: the drain is over.

    Parameters
    ----------
    is_clean
        False when the time limit passed with work left.
    """

    is_clean: bool
