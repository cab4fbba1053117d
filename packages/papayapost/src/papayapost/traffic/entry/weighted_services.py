"""Divides the calls of a route among services by their weights."""

from random import Random

from papayapost.ids import ServiceName
from papayapost.rules import Route

__all__ = ["WeightedServiceChooser"]

_GOLDEN_RATIO_STEP = 0.6180339887498949


class WeightedServiceChooser:
    """Chooses services by weight, from a low-discrepancy sequence.

    Successive multiples of the golden ratio, modulo 1, fill the unit interval
    evenly. The calls therefore match the weights after a few dozen calls,
    where independent random draws need hundreds. Each node starts at a random
    point of the sequence.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> rules = compile_rules("route GET /* -> old:3,new:1 # Mei: moves over")
    >>> chooser = WeightedServiceChooser()
    >>> route = rules.routes[0]
    >>> chosen = [chooser.choose(route, Random(1)) for _ in range(40)]
    >>> chosen.count("old"), chosen.count("new")
    (30, 10)
    """

    def __init__(self):
        self._position: float | None = None

    def choose(self, route: Route, random: Random) -> ServiceName | None:
        """Return the service for a call, or None if the route has only one."""
        if not route.parts:
            return None
        position = random.random() if self._position is None else self._position
        self._position = (position + _GOLDEN_RATIO_STEP) % 1.0
        remaining = position * sum(part.weight for part in route.parts)
        for part in route.parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return route.parts[-1].service
