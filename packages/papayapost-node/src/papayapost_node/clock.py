"""Clocks that the shells read; decisions only see the tick's time."""

import time
from abc import ABC, abstractmethod

from papayapost.ids import Micros

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """A monotonic clock and the wall clock."""

    @abstractmethod
    def now_us(self) -> Micros:
        """Return monotonic time in µs."""

    @abstractmethod
    def wall_us(self) -> Micros:
        """Return wall-clock time since the Unix epoch in µs."""


class SystemClock(Clock):
    """The machine's clocks."""

    def now_us(self) -> Micros:
        """Return monotonic time in µs."""
        return Micros(time.monotonic_ns() // 1000)

    def wall_us(self) -> Micros:
        """Return wall-clock time since the Unix epoch in µs."""
        return Micros(time.time_ns() // 1000)
