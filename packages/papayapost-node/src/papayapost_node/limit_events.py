"""Records that callers met the limits of the HTTP servers."""

from papayapost.observe import Event
from papayapost_node.event_limit import EventRateLimit
from papayapost_node.http import HttpLimit

__all__ = ["LimitEvents"]


class LimitEvents:
    """Records each limit that callers meet at most once per second.

    Parameters
    ----------
    events
        Records events at a limited rate.
    """

    def __init__(self, events: EventRateLimit):
        self._events = events

    def limit_met(self, limit: HttpLimit, detail: str) -> None:
        """Record that a caller met a limit."""
        if limit is HttpLimit.CONNECTIONS:
            self._events.note(Event.CONNECTION_LIMIT_MET, detail)
        elif limit is HttpLimit.HEAD:
            self._events.note(Event.HEAD_LIMIT_MET, detail)
        elif limit is HttpLimit.BODY:
            self._events.note(Event.BODY_LIMIT_MET, detail)
        elif limit is HttpLimit.PACE:
            self._events.note(Event.PACE_LIMIT_MET, detail)
        else:
            self._events.note(Event.HELD_LIMIT_MET, detail)
