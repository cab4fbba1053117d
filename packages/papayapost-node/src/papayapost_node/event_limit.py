"""Keeps events that strangers can cause from flooding the log."""

from collections.abc import Callable

from papayapost.ids import Micros
from papayapost.observe import Event
from papayapost_node.clock import Clock

__all__ = ["EventLimit"]

_MIN_INTERVAL_US = Micros(1_000_000)

NoteEvent = Callable[[Event, str], None]


class EventLimit:
    """Notes each event at most once a second, with how many were left out.

    Parameters
    ----------
    note_event
        Notes one event with its detail.
    """

    def __init__(self, note_event: NoteEvent, clock: Clock):
        self._note_event = note_event
        self._clock = clock
        self._noted_us: dict[Event, int] = {}
        self._left_out: dict[Event, int] = {}

    def note(self, event: Event, detail: str) -> None:
        """Note an event, or count it."""
        now_us = self._clock.now_us()
        noted_us = self._noted_us.get(event)
        if noted_us is not None and now_us - noted_us < _MIN_INTERVAL_US:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._noted_us[event] = now_us
        left_out = self._left_out.pop(event, 0)
        if left_out:
            detail = f"{detail}; {left_out} more before it"
        self._note_event(event, detail)
