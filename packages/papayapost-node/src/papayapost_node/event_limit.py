"""Limits the rate of events that any remote process can cause."""

from collections.abc import Callable

from papayapost.ids import Micros
from papayapost.observe import Event
from papayapost_node.clock import Clock

__all__ = ["EventRateLimit"]

_MIN_INTERVAL_US = Micros(1_000_000)

NoteEvent = Callable[[Event, str], None]


class EventRateLimit:
    """Records each type of event at most once per second; counts the rest.

    Parameters
    ----------
    note_event
        Records one event with its detail.
    """

    def __init__(self, note_event: NoteEvent, clock: Clock):
        self._note_event = note_event
        self._clock = clock
        self._recorded_at_us: dict[Event, int] = {}
        self._suppressed: dict[Event, int] = {}

    def note(self, event: Event, detail: str) -> None:
        """Record an event, or count it if its type was recorded within 1 s.

        The next recorded event of the type has the count in its detail.
        """
        now_us = self._clock.now_us()
        recorded_at_us = self._recorded_at_us.get(event)
        if recorded_at_us is not None and now_us - recorded_at_us < _MIN_INTERVAL_US:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return
        self._recorded_at_us[event] = now_us
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            detail = f"{detail}; {suppressed} earlier ones not recorded"
        self._note_event(event, detail)
