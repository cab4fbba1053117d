"""Merges, filters and follows rows of many nodes."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from papayapost.ids import CallId, DataCentreId, Micros, NodeId, RuleVersion
from papayapost.timeline.rows import EventRow

__all__ = ["TimelineQuery", "follow_call", "merge_rows", "select_rows"]


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """What to keep; a field that is None or empty keeps everything.

    Parameters
    ----------
    since_us, until_us
        Span of wall time in µs since the Unix epoch, the end excluded.
    """

    version: RuleVersion | None = None
    node_ids: frozenset[NodeId] = frozenset()
    data_centres: frozenset[DataCentreId] = frozenset()
    since_us: Micros | None = None
    until_us: Micros | None = None

    def keeps(self, row: EventRow) -> bool:
        """Return whether the row is asked for."""
        if self.version is not None and row.version != self.version:
            return False
        if self.node_ids and row.stamp.node_id not in self.node_ids:
            return False
        if self.data_centres and row.data_centre not in self.data_centres:
            return False
        return self._spans(row.stamp.wall_us)

    def _spans(self, wall_us: Micros) -> bool:
        if self.since_us is not None and wall_us < self.since_us:
            return False
        return self.until_us is None or wall_us < self.until_us


def merge_rows(rows_by_node: Iterable[Sequence[EventRow]]) -> list[EventRow]:
    """Return the rows of all nodes in the order of their stamps.

    A node's own rows must be in order, as its ring keeps them.
    """
    return list(heapq.merge(*rows_by_node, key=lambda row: row.stamp))


def select_rows(rows: Iterable[EventRow], query: TimelineQuery) -> list[EventRow]:
    """Return the rows that the query keeps."""
    return [row for row in rows if query.keeps(row)]


def follow_call(
    rows: Iterable[EventRow], entry: NodeId, call_id: CallId
) -> list[EventRow]:
    """Return the rows of one call over all its hops.

    Parameters
    ----------
    entry
        The node that the caller's request arrived at.
    call_id
        Its number at that node.
    """
    rows = list(rows)
    at_entry = [
        row for row in rows if row.call_id == call_id and row.stamp.node_id == entry
    ]
    attempts = {row.attempt_id for row in at_entry if row.attempt_id is not None}
    return [
        row
        for row in rows
        if row.attempt_id in attempts
        or (row.call_id == call_id and row.stamp.node_id == entry)
    ]
