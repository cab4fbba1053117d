"""Timers and internal messages that the traffic systems send each other."""

from papayapost.define import define
from papayapost.ids import AttemptId, CallId, NodeId, ReportId

__all__ = [
    "AnnouncementDue",
    "AttemptDoubted",
    "AttemptLost",
    "CallStepDue",
    "DepartureApplied",
    "DepartureReadDue",
    "DepartureWriteDue",
    "DeparturesRead",
    "DrainCheck",
    "DrainFinished",
    "DrainLimitPassed",
    "EjectionEnded",
    "GracePeriodEnded",
    "HoldExpired",
    "LastAnswersDue",
    "ReportDeadline",
    "TrafficStarted",
]


@define
class CallStepDue:
    """Timer: the next step of a call is due; `CallStep` lists the steps."""

    call_id: CallId


@define
class HoldExpired:
    """Timer: a held call has waited for the longest time allowed."""

    call_id: CallId


@define
class AttemptLost:
    """Internal: the owner node is gone and the attempt may have run."""

    attempt_id: AttemptId


@define
class AttemptDoubted:
    """Internal: the owner node is silent; it may still answer the attempt."""

    attempt_id: AttemptId


@define
class EjectionEnded:
    """Timer: the ejection of an upstream ends and calls may use it again."""

    node_id: NodeId


@define
class TrafficStarted:
    """First message of a node: the process has just started."""


@define
class AnnouncementDue:
    """Timer: this node must ask other nodes to send no more attempts."""


@define
class LastAnswersDue:
    """Timer: answers still missing from a node that exited are lost."""

    attempt_ids: tuple[AttemptId, ...]


@define
class GracePeriodEnded:
    """Timer: the grace period in which other nodes learn of a drain ended."""


@define
class DrainLimitPassed:
    """Timer: the time limit of the drain passed, so the process must exit."""


@define
class DrainCheck:
    """Internal: check once more that no work is left before a drain ends."""


@define
class DrainFinished:
    """Internal: the drain is over.

    Parameters
    ----------
    is_clean
        False when the time limit passed with work left.
    """

    is_clean: bool


@define
class DepartureApplied:
    """Internal: a backend process leaves; acknowledge it once it is stored.

    Parameters
    ----------
    born_ms
        Unix time in ms at which the process started.
    """

    report_id: ReportId
    born_ms: int


@define
class DepartureReadDue:
    """Timer and first message: read the departure object of this node."""


@define
class DeparturesRead:
    """Internal: the departure object of this node has been read."""


@define
class DepartureWriteDue:
    """Timer: the write of the departure object may be repeated."""


@define
class ReportDeadline:
    """Timer: a report has waited for the store as long as it may."""

    report_id: ReportId
