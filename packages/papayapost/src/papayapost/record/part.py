"""Builds the systems of a node that add missing entries to the record."""

from papayapost.define import define
from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import TreeTables
from papayapost.place import SelfRow
from papayapost.record.observed_versions import ObserveVersions, RecordObservedVersions
from papayapost.record.page_update import (
    DraftPage,
    QueueOperations,
    ReadPage,
    StorePage,
)
from papayapost.record.tables import RecordTables, VersionTables

__all__ = ["RecordPart", "build_record", "page_systems"]


@define
class RecordPart:
    """Tables and systems of the change record on a node.

    Parameters
    ----------
    tables
        Waiting operations and the page update in progress.
    observed
        Versions of the rules object that the node has observed.
    systems
        Systems that work on these tables, in the order in which they run.
    """

    tables: RecordTables
    observed: VersionTables
    systems: list[System]


def build_record(me: SelfRow, tree: TreeTables, rules: RulesTable) -> RecordPart:
    """Return the tables and systems of the change record for a node.

    The systems are idle unless the node is a link relay.

    Parameters
    ----------
    me
        Identity of the node; its id is stored in the entries that it writes.
    tree
        Tables that tell whether the node is a link relay.
    rules
        Rules that the node holds, to compare later versions with.
    """
    tables, observed = RecordTables(max_failures=None), VersionTables()
    systems: list[System] = [
        ObserveVersions(me, tree, rules, observed),
        RecordObservedVersions(observed),
        *page_systems(tables),
    ]
    return RecordPart(tables, observed, systems)


def page_systems(tables: RecordTables) -> list[System]:
    """Return, in order, the systems that apply operations to the record."""
    return [
        QueueOperations(tables),
        ReadPage(tables),
        DraftPage(tables),
        StorePage(tables),
    ]
