"""The time line: stamps, the ring of a node, and queries over many rings."""

from papayapost.timeline.query import (
    TimelineQuery,
    follow_call,
    merge_rows,
    select_rows,
)
from papayapost.timeline.rows import EventRing, EventRow
from papayapost.timeline.stamp import MAX_AHEAD_US, HybridClock, Stamp
from papayapost.timeline.tracing import (
    TRACE_EVENTS,
    TRACED_EFFECTS,
    TRACED_INPUTS,
    Tracer,
)

__all__ = [
    "MAX_AHEAD_US",
    "TRACED_EFFECTS",
    "TRACED_INPUTS",
    "TRACE_EVENTS",
    "EventRing",
    "EventRow",
    "HybridClock",
    "Stamp",
    "TimelineQuery",
    "Tracer",
    "follow_call",
    "merge_rows",
    "select_rows",
]
