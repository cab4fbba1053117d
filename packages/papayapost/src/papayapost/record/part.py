"""Builds the part of a node's world that completes the record of changes."""

from dataclasses import dataclass

from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import TreeTables
from papayapost.place import SelfRow
from papayapost.record.keeper import DraftPage, QueueSteps, ReadPage, StorePage
from papayapost.record.relay import NoticeVersions, RecordChanges
from papayapost.record.tables import RecordTables, VersionsSeen

__all__ = ["RecordPart", "build_record", "keeper_systems"]


@dataclass(slots=True)
class RecordPart:
    """Tables and systems of the record on a node."""

    tables: RecordTables
    seen: VersionsSeen
    systems: list[System]


def build_record(me: SelfRow, tree: TreeTables, rules: RulesTable) -> RecordPart:
    """Return the record part of a node; it works only on a link relay."""
    tables, seen = RecordTables(max_failures=None), VersionsSeen()
    systems: list[System] = [
        NoticeVersions(me, tree, rules, seen),
        RecordChanges(seen),
        *keeper_systems(tables),
    ]
    return RecordPart(tables, seen, systems)


def keeper_systems(tables: RecordTables) -> list[System]:
    """Return the systems that bring steps into the record, in order."""
    return [
        QueueSteps(tables),
        ReadPage(tables),
        DraftPage(tables),
        StorePage(tables),
    ]
