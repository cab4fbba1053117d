"""The clocks of a process.

Only the code around a world reads them; systems get the time from their tick.
"""

import time
from abc import ABC, abstractmethod

from papayapost.ids import Micros

__all__ = ["Clock", "SystemClock"]


class Clock(ABC):
    """Source of monotonic time and of wall-clock time."""

    @abstractmethod
    def now_us(self) -> Micros:
        """Return monotonic time in µs."""

    @abstractmethod
    def wall_us(self) -> Micros:
        """Return wall-clock time since the Unix epoch in µs."""


class SystemClock(Clock):
    """Reads the clocks of the operating system."""

    def now_us(self) -> Micros:
        """Return monotonic time in µs."""
        return Micros(time.monotonic_ns() // 1000)

    def wall_us(self) -> Micros:
        """Return wall-clock time since the Unix epoch in µs."""
        return Micros(time.time_ns() // 1000)
