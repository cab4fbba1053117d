"""How long callers have waited before they send a call."""

from dataclasses import dataclass

from papayapost.ids import Micros
from papayapost.kernel import Table
from papayapost.rules import Route

__all__ = ["SpentTimes"]

_FORGET_SHARE = 0.005
"""Part of the way to a shorter time that the usual one moves with a call, so
that some hundred callers who come back do not become the usual ones."""

_FRESH_SHARE = 0.8
"""Part of the usual time from which a call counts as a first one: what first
calls give differs by a seventh."""


_MAX_ROWS = 1_024
"""Routes that are remembered; versions of the rules rename some."""


@dataclass(slots=True)
class UsualTimeRow:
    """The time that first calls of a route give."""

    usual_us: float = 0.0


class SpentTimes:
    """Estimates what a caller who comes back has already waited.

    Such a caller gives what is left of its time, while its target counts from
    its first call. The longest time that calls of the same route have given
    lately tells how much is gone. Other routes have callers of other patience.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> text = "route GET /* -> gusts target_ms=500 # Mei: wind desk"
    >>> (route,) = compile_rules(text).routes
    >>> times = SpentTimes()
    >>> [times.spent_us(route, Micros(ms * 1000)) for ms in (2000, 1750, 900)]
    [0, 0, 1093256]
    """

    def __init__(self):
        self.rows: Table[tuple[str, str], UsualTimeRow] = Table("usual times")

    def spent_us(self, route: Route, budget_us: Micros | None) -> Micros:
        """Return the time that is gone since the caller's first call.

        Parameters
        ----------
        budget_us
            Time that the caller gives; None if it does not say.
        """
        if budget_us is None or route.target_ms is None:
            return Micros(0)
        key = (route.host, route.path)
        row = self.rows.get(key)
        if row is None:
            if len(self.rows) >= _MAX_ROWS:
                oldest, _ = next(iter(self.rows.items()))
                self.rows.pop(oldest)
            row = UsualTimeRow()
            self.rows.put(key, row)
        if budget_us >= row.usual_us:
            row.usual_us = float(budget_us)
            return Micros(0)
        row.usual_us += _FORGET_SHARE * (budget_us - row.usual_us)
        if budget_us >= row.usual_us * _FRESH_SHARE:
            return Micros(0)
        return Micros(int(row.usual_us - budget_us))
