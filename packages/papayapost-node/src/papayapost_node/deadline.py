"""A timer whose deadline moves often and rarely passes."""

import asyncio
from collections.abc import Callable

__all__ = ["DeadlineTimer"]


class DeadlineTimer:
    """Calls a function when its deadline has passed.

    Moving the deadline to a later time only stores that time. If the timer of
    the event loop fires before the stored time, it is set again for the
    remaining time. A connection thus needs one timer in its lifetime, not one
    for each call.

    Parameters
    ----------
    on_due
        Called when the deadline has passed; it may call `set_in` again.
    """

    __slots__ = ("_due_s", "_handle", "_loop", "_on_due")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[], None]):
        self._loop = loop
        self._on_due = on_due
        self._due_s: float | None = None
        self._handle: asyncio.TimerHandle | None = None

    def set_in(self, delay_s: float) -> None:
        """Set the deadline to `delay_s` seconds from now."""
        due_s = self._due_s = self._loop.time() + delay_s
        handle = self._handle
        if handle is None:
            self._handle = self._loop.call_at(due_s, self._fire)
        elif due_s < handle.when():
            handle.cancel()
            self._handle = self._loop.call_at(due_s, self._fire)

    def shorten_to(self, delay_s: float) -> None:
        """Set the deadline to `delay_s` from now unless it is set earlier."""
        if self._due_s is None or self._loop.time() + delay_s < self._due_s:
            self.set_in(delay_s)

    def clear(self) -> None:
        """Remove the deadline; `set_in` may set another one later."""
        self._due_s = None

    def close(self) -> None:
        """Remove the deadline and cancel the timer of the event loop."""
        self._due_s = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        due_s = self._due_s
        if due_s is None:
            return
        if due_s > self._loop.time():
            self._handle = self._loop.call_at(due_s, self._fire)
            return
        self._due_s = None
        self._on_due()
