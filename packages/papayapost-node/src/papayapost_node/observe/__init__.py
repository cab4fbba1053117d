"""Records the events of a node, measures its calls and exposes metrics."""

from papayapost_node.observe.exposition import expose
from papayapost_node.observe.meter import CallCounter, CallMeter, Hop
from papayapost_node.observe.observer import RunnerObserver, Watcher
from papayapost_node.observe.recorder import EVENT_BUFFER_ROWS, EventRecorder

__all__ = [
    "EVENT_BUFFER_ROWS",
    "CallCounter",
    "CallMeter",
    "EventRecorder",
    "Hop",
    "RunnerObserver",
    "Watcher",
    "expose",
]
