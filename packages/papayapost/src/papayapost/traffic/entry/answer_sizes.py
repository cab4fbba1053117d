"""Estimates how long the answers of a route are."""

from papayapost.define import define
from papayapost.kernel import Table
from papayapost.rules import Route
from papayapost.traffic.owner.link_plan import LARGE_ANSWER_BYTES

__all__ = ["AnswerSizes"]

_WEIGHT = 0.2
_MAX_ROWS = 1_024


@define
class RouteAnswersRow:
    """Decayed mean length in bytes of the answers of one route."""

    mean_bytes: float


class AnswerSizes:
    """Lengths of answers by route, where they are large.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> text = "route GET /* -> gusts # Mei: wind desk"
    >>> (route,) = compile_rules(text).routes
    >>> sizes = AnswerSizes()
    >>> sizes.add_sample(route, 500)
    >>> sizes.large_bytes(route)
    0.0
    >>> sizes.add_sample(route, 90_000)
    >>> sizes.large_bytes(route)
    90000.0
    """

    def __init__(self):
        self._rows: Table[tuple[str, str], RouteAnswersRow] = Table("answer sizes")

    def add_sample(self, route: Route, size_bytes: int) -> None:
        """Record the length of a whole answer."""
        key = (route.host, route.path)
        row = self._rows.get(key)
        if row is not None:
            row.mean_bytes += _WEIGHT * (size_bytes - row.mean_bytes)
        elif size_bytes > LARGE_ANSWER_BYTES:
            if len(self._rows) >= _MAX_ROWS:
                oldest, _ = next(iter(self._rows.items()))
                self._rows.pop(oldest)
            self._rows.put(key, RouteAnswersRow(float(size_bytes)))

    def large_bytes(self, route: Route) -> float:
        """Return the mean length of a route's answers if large, else 0."""
        row = self._rows.get((route.host, route.path))
        if row is None or row.mean_bytes <= LARGE_ANSWER_BYTES:
            return 0.0
        return row.mean_bytes
