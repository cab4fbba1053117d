"""Estimates how long the slowest calls of a route take."""

from papayapost.define import define
from papayapost.kernel import Table
from papayapost.rules import Route

__all__ = ["AnswerTimes"]

_FASTER_CALL_WEIGHT = 0.005
"""Weight of a faster call in the moving estimate of the slowest calls."""

_MAX_ROWS = 1_024
"""Largest number of routes with an estimate; beyond it, the oldest estimate is
removed."""


@define
class SlowestAnswerRow:
    """Time in µs from arrival to whole answer of a route's slowest calls."""

    slowest_us: float


class AnswerTimes:
    """Estimates, for each route, the time that its slowest recent calls took.

    A slower call becomes the estimate at once; faster ones lower it slowly.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> text = "route GET /* -> gusts # Mei: wind desk"
    >>> (route,) = compile_rules(text).routes
    >>> times = AnswerTimes()
    >>> times.slowest_us(route) is None
    True
    >>> for ms in (40, 900, 20):
    ...     times.add_sample(route, ms * 1000)
    >>> round(times.slowest_us(route))
    895600
    """

    def __init__(self):
        self.rows: Table[tuple[str, str], SlowestAnswerRow] = Table("answer times")

    def add_sample(self, route: Route, duration_us: float) -> None:
        """Record a call that was answered."""
        key = (route.host, route.path)
        row = self.rows.get(key)
        if row is None:
            if len(self.rows) >= _MAX_ROWS:
                oldest, _ = next(iter(self.rows.items()))
                self.rows.pop(oldest)
            self.rows.put(key, SlowestAnswerRow(float(duration_us)))
        elif duration_us >= row.slowest_us:
            row.slowest_us = float(duration_us)
        else:
            row.slowest_us += _FASTER_CALL_WEIGHT * (duration_us - row.slowest_us)

    def slowest_us(self, route: Route) -> float | None:
        """Return the estimate in µs; None before the route's first answer."""
        row = self.rows.get((route.host, route.path))
        return None if row is None else row.slowest_us
