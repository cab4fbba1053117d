"""The time line: event stamps, the event ring buffer, and queries."""

from papayapost.timeline.collection import (
    CollectEvents,
    EventsCollected,
    ReadSource,
    SourceAnswered,
    SourceFailed,
    TimelineGap,
    build_collection,
)
from papayapost.timeline.query import (
    TimelineQuery,
    merge_rows,
    select_call,
    select_rows,
)
from papayapost.timeline.rows import EventRing, EventRow
from papayapost.timeline.stamp import MAX_AHEAD_US, HybridClock, Stamp
from papayapost.timeline.tracing import (
    EFFECT_TRACERS,
    INPUT_TRACERS,
    LOGGED_CALL_EVENTS,
    RING_ONLY_EVENTS,
    Tracer,
)

__all__ = [
    "EFFECT_TRACERS",
    "INPUT_TRACERS",
    "LOGGED_CALL_EVENTS",
    "MAX_AHEAD_US",
    "RING_ONLY_EVENTS",
    "CollectEvents",
    "EventRing",
    "EventRow",
    "EventsCollected",
    "HybridClock",
    "ReadSource",
    "SourceAnswered",
    "SourceFailed",
    "Stamp",
    "TimelineGap",
    "TimelineQuery",
    "Tracer",
    "build_collection",
    "merge_rows",
    "select_call",
    "select_rows",
]
