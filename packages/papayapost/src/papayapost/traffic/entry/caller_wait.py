"""Estimates the time that callers spent on earlier calls of a request."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import Table
from papayapost.rules import Route

__all__ = ["CallerWaitEstimator"]

_SHORTER_BUDGET_WEIGHT = 0.005
"""Weight of a shorter time budget in the moving estimate of the usual one.
The weight is low so that the shorter budgets of some hundred repeated calls
do not become the usual ones."""

_FIRST_CALL_MIN_SHARE = 0.8
"""Fraction of the usual time budget above which a call counts as a first
call. The time budgets of first calls differ from each other by a seventh."""

_MAX_ROWS = 1_024
"""Largest number of routes with an estimate; beyond it, the oldest estimate is
removed. Without a bound, each version of the rules that renames routes would
add further estimates."""


@define
class UsualBudgetRow:
    """Usual time budget in µs of first calls of a route."""

    usual_budget_us: float = 0.0


class CallerWaitEstimator:
    """Estimates how long a caller waited before it repeated its call.

    A caller that repeats a call sends the rest of its time budget, but the
    latency target counts from its first call. The estimate is the usual time
    budget of first calls of the route, less the budget of the repeated call. A
    longer budget becomes the usual one at once; shorter ones lower it slowly.
    Each route has its own usual budget, as the callers of other routes have
    other time budgets.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> text = "route GET /* -> gusts target_ms=500 # Mei: wind desk"
    >>> (route,) = compile_rules(text).routes
    >>> waits = CallerWaitEstimator()
    >>> [waits.waited_us(route, Micros(ms * 1000)) for ms in (2000, 1750, 900)]
    [0, 0, 1093256]
    """

    def __init__(self):
        self.rows: Table[tuple[str, str], UsualBudgetRow] = Table("usual times")

    def waited_us(self, route: Route, budget_us: Micros | None) -> Micros:
        """Return the time in µs since the caller's first call.

        The result is 0 for a first call, and for a route without a latency
        target.

        Parameters
        ----------
        budget_us
            Time budget in µs that the caller sent; None if it sent none.
        """
        if budget_us is None or route.target_ms is None:
            return Micros(0)
        key = (route.host, route.path)
        row = self.rows.get(key)
        if row is None:
            if len(self.rows) >= _MAX_ROWS:
                oldest, _ = next(iter(self.rows.items()))
                self.rows.pop(oldest)
            row = UsualBudgetRow()
            self.rows.put(key, row)
        if budget_us >= row.usual_budget_us:
            row.usual_budget_us = float(budget_us)
            return Micros(0)
        row.usual_budget_us += _SHORTER_BUDGET_WEIGHT * (
            budget_us - row.usual_budget_us
        )
        if budget_us >= row.usual_budget_us * _FIRST_CALL_MIN_SHARE:
            return Micros(0)
        return Micros(int(row.usual_budget_us - budget_us))
