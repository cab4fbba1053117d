"""Messages between the systems that keep the record of changes."""

from dataclasses import dataclass
from typing import NewType

from papayapost.record.model import RecordPage
from papayapost.record.steps import PageOperation

__all__ = [
    "GracePeriodEnded",
    "OperationDone",
    "OperationFailed",
    "OperationId",
    "OperationRequested",
    "PageReadDue",
    "RulesReadDue",
]

OperationId = NewType("OperationId", str)
"""Names a step, so that its result finds the system that asked."""


@dataclass(slots=True)
class OperationRequested:
    """Internal: bring this step into the record."""

    operation_id: OperationId
    operation: PageOperation


@dataclass(slots=True)
class OperationDone:
    """Internal: the record holds the step; `page` is its newest page.

    Parameters
    ----------
    has_changed
        False where the record held the step already.
    """

    operation_id: OperationId
    page: RecordPage
    has_changed: bool


@dataclass(slots=True)
class OperationFailed:
    """Internal: the store failed too often; the step may still stand."""

    operation_id: OperationId
    reason: str


@dataclass(slots=True)
class PageReadDue:
    """Timer: read the newest page and bring the waiting steps into it."""


@dataclass(slots=True)
class RulesReadDue:
    """Timer: read the rules object that could not be read before."""


@dataclass(slots=True)
class GracePeriodEnded:
    """Timer: others have had time enough to record what was noticed."""
