"""Ends an apply."""

from papayapost.kernel import Tick
from papayapost.record.apply.messages import ApplyFinished, ApplyReport
from papayapost.record.apply.tables import ApplyRow, ApplyState

__all__ = ["finish_apply"]


def finish_apply(tick: Tick, row: ApplyRow, report: ApplyReport) -> None:
    """Report how the apply ended."""
    row.state = ApplyState.FINISHED
    tick.emit(ApplyFinished(report))
