"""Messages between the systems that keep the record of changes."""

from dataclasses import dataclass
from typing import NewType

from papayapost.record.model import RecordPage
from papayapost.record.steps import PageStep

__all__ = [
    "PageDue",
    "RecordDue",
    "RulesReadDue",
    "StepDone",
    "StepFailed",
    "StepId",
    "StepWanted",
]

StepId = NewType("StepId", str)
"""Names a step, so that its result finds the system that asked."""


@dataclass(slots=True)
class StepWanted:
    """Internal: bring this step into the record."""

    step_id: StepId
    step: PageStep


@dataclass(slots=True)
class StepDone:
    """Internal: the record holds the step; `page` is its newest page.

    Parameters
    ----------
    has_changed
        False where the record held the step already.
    """

    step_id: StepId
    page: RecordPage
    has_changed: bool


@dataclass(slots=True)
class StepFailed:
    """Internal: the store failed too often; the step may still stand."""

    step_id: StepId
    reason: str


@dataclass(slots=True)
class PageDue:
    """Timer: read the newest page and bring the waiting steps into it."""


@dataclass(slots=True)
class RulesReadDue:
    """Timer: read the rules object that could not be read before."""


@dataclass(slots=True)
class RecordDue:
    """Timer: others have had time enough to record what was noticed."""
