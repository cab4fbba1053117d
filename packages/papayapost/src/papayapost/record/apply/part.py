"""Builds the world of one apply."""

from random import Random

from papayapost.kernel import World
from papayapost.record.apply.resolving import (
    CompareRival,
    FollowUpdate,
    RecordApply,
    ResolveUpdate,
)
from papayapost.record.apply.starting import BeginUpdate, ProposeApply, StartApply
from papayapost.record.apply.tables import ApplyTable
from papayapost.record.gather import GatherObjects
from papayapost.record.part import keeper_systems
from papayapost.record.tables import RecordTables

__all__ = ["build_apply"]

_MAX_RECORD_FAILURES = 10


def build_apply(random: Random) -> World:
    """Return the world of an apply; it takes one `ApplyAsked`."""
    applies = ApplyTable()
    systems = [
        StartApply(applies),
        GatherObjects(),
        ProposeApply(applies),
        ResolveUpdate(applies),
        *keeper_systems(RecordTables(_MAX_RECORD_FAILURES)),
        BeginUpdate(applies),
        FollowUpdate(applies),
        RecordApply(applies),
        CompareRival(applies),
    ]
    return World(systems, random)
