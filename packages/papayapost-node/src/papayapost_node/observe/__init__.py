"""Records the events of a node and measures its calls."""

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
]
