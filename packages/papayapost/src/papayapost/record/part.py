"""Builds the part of a node's world that completes the record of changes."""

from dataclasses import dataclass

from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import TreeTables
from papayapost.place import SelfRow
from papayapost.record.keeper import DraftPage, QueueOperations, ReadPage, StorePage
from papayapost.record.relay import ObserveVersions, RecordObservedVersions
from papayapost.record.tables import RecordTables, VersionTables

__all__ = ["RecordPart", "build_record", "page_systems"]


@dataclass(slots=True)
class RecordPart:
    """Tables and systems of the record on a node."""

    tables: RecordTables
    observed: VersionTables
    systems: list[System]


def build_record(me: SelfRow, tree: TreeTables, rules: RulesTable) -> RecordPart:
    """Return the record part of a node; it works only on a link relay."""
    tables, observed = RecordTables(max_failures=None), VersionTables()
    systems: list[System] = [
        ObserveVersions(me, tree, rules, observed),
        RecordObservedVersions(observed),
        *page_systems(tables),
    ]
    return RecordPart(tables, observed, systems)


def page_systems(tables: RecordTables) -> list[System]:
    """Return the systems that bring steps into the record, in order."""
    return [
        QueueOperations(tables),
        ReadPage(tables),
        DraftPage(tables),
        StorePage(tables),
    ]
