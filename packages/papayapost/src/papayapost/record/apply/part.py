"""Builds the world that runs one apply."""

from random import Random

from papayapost.kernel import World
from papayapost.record.apply.proposing import ProposeApply, SendFirstUpdate, StartApply
from papayapost.record.apply.tables import ApplyTable
from papayapost.record.apply.update_results import (
    CheckUpdateOutcome,
    FinishRecordedApply,
    FinishSupersededApply,
    HandleUpdateResult,
)
from papayapost.record.batch_read import ReadBatches
from papayapost.record.part import page_systems
from papayapost.record.tables import RecordTables

__all__ = ["build_apply"]

_MAX_RECORD_FAILURES = 10


def build_apply(random: Random) -> World:
    """Return a world that runs a single apply.

    The world takes one `ApplyRequested` and emits one `ApplyFinished`.

    Parameters
    ----------
    random
        Seeded random source of the pauses between store requests.
    """
    applies = ApplyTable()
    systems = [
        StartApply(applies),
        ReadBatches(),
        ProposeApply(applies),
        CheckUpdateOutcome(applies),
        *page_systems(RecordTables(_MAX_RECORD_FAILURES)),
        SendFirstUpdate(applies),
        HandleUpdateResult(applies),
        FinishRecordedApply(applies),
        FinishSupersededApply(applies),
    ]
    return World(systems, random)
