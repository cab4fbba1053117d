"""Merges the events of many nodes, and selects those of a query or a call."""

import heapq
from collections.abc import Iterable, Sequence

from papayapost.define import define
from papayapost.ids import CallId, DataCentreId, Micros, NodeId, RuleVersion
from papayapost.timeline.rows import EventRow

__all__ = ["TimelineQuery", "merge_rows", "select_call", "select_rows"]


@define(frozen=True)
class TimelineQuery:
    """Filter for events; a field that is None or empty matches all events.

    Parameters
    ----------
    version
        Rules version that the event is about.
    node_ids, data_centres
        Nodes and data centres at which the event happened.
    since_us, until_us
        Range of wall time in µs since the Unix epoch; the end is excluded.
    """

    version: RuleVersion | None = None
    node_ids: frozenset[NodeId] = frozenset()
    data_centres: frozenset[DataCentreId] = frozenset()
    since_us: Micros | None = None
    until_us: Micros | None = None

    def matches(self, row: EventRow) -> bool:
        """Return whether an event matches all fields of the query."""
        if self.version is not None and row.version != self.version:
            return False
        if self.node_ids and row.stamp.node_id not in self.node_ids:
            return False
        if self.data_centres and row.data_centre not in self.data_centres:
            return False
        return self._is_in_range(row.stamp.wall_us)

    def _is_in_range(self, wall_us: Micros) -> bool:
        if self.since_us is not None and wall_us < self.since_us:
            return False
        return self.until_us is None or wall_us < self.until_us


def merge_rows(rows_by_node: Iterable[Sequence[EventRow]]) -> list[EventRow]:
    """Return the events of all nodes in the order of their stamps.

    The events of each node must already be in the order of their stamps, as
    they are in the node's ring.
    """
    return list(heapq.merge(*rows_by_node, key=lambda row: row.stamp))


def select_rows(rows: Iterable[EventRow], query: TimelineQuery) -> list[EventRow]:
    """Return the events that match a query."""
    return [row for row in rows if query.matches(row)]


def select_call(
    rows: Iterable[EventRow], entry: NodeId, call_id: CallId
) -> list[EventRow]:
    """Return the events of one call at all nodes that took part in it.

    Parameters
    ----------
    entry
        Entry node of the call.
    call_id
        Number of the call at its entry node.
    """
    rows = list(rows)
    entry_rows = [
        row for row in rows if row.call_id == call_id and row.stamp.node_id == entry
    ]
    attempts = {row.attempt_id for row in entry_rows if row.attempt_id is not None}
    return [
        row
        for row in rows
        if row.attempt_id in attempts
        or (row.call_id == call_id and row.stamp.node_id == entry)
    ]
