"""Records the events of one node in memory and in its log."""

from collections.abc import Mapping

from papayapost.ids import DataCentreId, NodeId
from papayapost.observe import Event, Noted
from papayapost.timeline import (
    EFFECT_TRACERS,
    INPUT_TRACERS,
    RING_ONLY_EVENTS,
    EventRing,
    HybridClock,
    Tracer,
)
from papayapost_node.clock import Clock
from papayapost_node.events import EventLog
from papayapost_node.observe.observer import RunnerObserver, Watcher

__all__ = ["EVENT_BUFFER_ROWS", "EventRecorder"]

EVENT_BUFFER_ROWS = 4_096


class EventRecorder(RunnerObserver):
    """Stamps events, stores them in a ring buffer, and logs them.

    Events that only trace the usual steps of a call are not logged.

    Parameters
    ----------
    clock
        Source of the wall-clock time of each event.

    Attributes
    ----------
    hybrid_clock
        Source of the stamps of events. The codec of peer messages shares it,
        so that the messages carry stamps too.
    ring
        The latest `EVENT_BUFFER_ROWS` events.
    """

    def __init__(self, node_id: NodeId, data_centre: DataCentreId, clock: Clock):
        self._clock = clock
        self._log = EventLog(node_id, clock)
        self.hybrid_clock = HybridClock(node_id)
        self.ring = EventRing(data_centre, EVENT_BUFFER_ROWS)

    def note(self, noted: Noted) -> None:
        """Stamp an event and store it; log it unless it is only a trace."""
        stamp = self.hybrid_clock.tick(self._clock.wall_us())
        self.ring.record(stamp, noted)
        if noted.event not in RING_ONLY_EVENTS:
            self._log.note(noted)

    def note_event(self, event: Event, detail: str = "") -> None:
        """Record an event of the process, which no world has emitted."""
        self.note(Noted(event, detail=detail))

    def input_watchers(self) -> Mapping[type, Watcher]:
        """Return functions that record the usual steps of a call."""
        return self._watchers(INPUT_TRACERS)

    def effect_watchers(self) -> Mapping[type, Watcher]:
        """Return functions that record the usual steps of a call."""
        return self._watchers(EFFECT_TRACERS)

    def _watchers(self, tracers: Mapping[type, Tracer]) -> dict[type, Watcher]:
        return {kind: self._watcher_of(tracer) for kind, tracer in tracers.items()}

    def _watcher_of(self, tracer: Tracer) -> Watcher:
        def watch(message: object) -> None:
            self.note(tracer(message))

        return watch
