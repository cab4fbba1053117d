"""The clocks of a process.

Only the code around a world reads them; systems get the time from their tick.
"""

import time
from abc import ABC, abstractmethod

from papayapost.ids import Micros

__all__ = ["Clock", "SystemClock"]

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


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
        """Return monotonic time in µs, which counts time in suspension.

        What a node knew before its VM was suspended must look as old as it is.
        """
        return Micros(time.clock_gettime_ns(_CLOCK) // 1000)

    def wall_us(self) -> Micros:
        """Return wall-clock time since the Unix epoch in µs."""
        return Micros(time.time_ns() // 1000)
