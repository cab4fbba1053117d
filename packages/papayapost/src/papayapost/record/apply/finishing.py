"""Finishes an apply with its report."""

from papayapost.kernel import Tick
from papayapost.record.apply.messages import ApplyFinished, ApplyReport
from papayapost.record.apply.tables import ApplyRow, ApplyState

__all__ = ["finish_apply"]


def finish_apply(tick: Tick, row: ApplyRow, report: ApplyReport) -> None:
    """Mark the apply as finished and emit its report."""
    row.state = ApplyState.FINISHED
    tick.emit(ApplyFinished(report))
