"""Timers and messages between the systems of calls and attempts."""

from dataclasses import dataclass

from papayapost.ids import AttemptId, CallId, NodeId

__all__ = [
    "AnnounceDue",
    "AttemptLost",
    "CallDue",
    "DrainCheck",
    "DrainFinished",
    "DrainLimitPassed",
    "EjectionOver",
    "GraceOver",
    "HoldOver",
    "TrafficStarted",
]


@dataclass(slots=True)
class CallDue:
    """Timer: the call's next step is due; see `CallStep`."""

    call_id: CallId


@dataclass(slots=True)
class HoldOver:
    """Timer: a held call has waited long enough for a way to be found."""

    call_id: CallId


@dataclass(slots=True)
class AttemptLost:
    """Internal: the attempt may have run, and its owner is gone."""

    attempt_id: AttemptId


@dataclass(slots=True)
class EjectionOver:
    """Timer: an ejected upstream may be tried again."""

    node_id: NodeId


@dataclass(slots=True)
class TrafficStarted:
    """First message: the process starts now."""


@dataclass(slots=True)
class AnnounceDue:
    """Timer: other nodes are to send no more work from now on."""


@dataclass(slots=True)
class GraceOver:
    """Timer: other nodes have had time to learn of a drain."""


@dataclass(slots=True)
class DrainLimitPassed:
    """Timer: the process exits with what is left."""


@dataclass(slots=True)
class DrainCheck:
    """Internal: nothing seems to be left of a drain."""


@dataclass(slots=True)
class DrainFinished:
    """Internal: the drain is over."""

    is_clean: bool
