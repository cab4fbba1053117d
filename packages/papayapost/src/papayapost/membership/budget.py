"""Token buckets that limit how much a node sends per second."""

from papayapost.ids import Micros

__all__ = ["Budget"]

_SECOND_US = 1_000_000


class Budget:
    """A token bucket that takes the time from its caller.

    Parameters
    ----------
    per_second
        Number of units added per second.
    burst
        Capacity in units; the bucket starts full.

    Examples
    --------
    >>> budget = Budget(per_second=2, burst=3)
    >>> [budget.take(1, Micros(0)) for _ in range(4)]
    [True, True, True, False]
    >>> budget.take(1, Micros(500_000))
    True
    """

    def __init__(self, per_second: float, burst: float):
        self._per_second = per_second
        self._burst = burst
        self._units = float(burst)
        self._filled_us = Micros(0)

    def available(self, now_us: Micros) -> int:
        """Return the number of whole units in the bucket at `now_us`."""
        passed_us = max(0, now_us - self._filled_us)
        refill = passed_us * self._per_second / _SECOND_US
        self._units = min(self._burst, self._units + refill)
        self._filled_us = now_us
        return int(self._units)

    def take(self, units: float, now_us: Micros) -> bool:
        """Take `units` if the bucket holds enough; return whether it did."""
        if self.available(now_us) < units:
            return False
        self._units -= units
        return True
