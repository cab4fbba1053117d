"""Pauses between tries: exponential, jittered and bounded."""

from random import Random

from papayapost.ids import Micros

__all__ = ["jittered_backoff_us"]


def jittered_backoff_us(
    random: Random, failures: int, least_us: int, most_us: int
) -> Micros:
    """Return a pause drawn between half and the whole of its bound.

    Parameters
    ----------
    failures
        Tries in a row that failed; each doubles the bound.
    least_us, most_us
        Bound of the first and of the longest pauses in µs.

    Examples
    --------
    >>> draw = Random(1)
    >>> pauses = [jittered_backoff_us(draw, n, 100, 1000) for n in range(9)]
    >>> 50 <= pauses[0] <= 100 and 500 <= pauses[-1] <= 1000
    True
    """
    bound_us = min(most_us, least_us << min(failures, 30))
    return Micros(random.randint(bound_us // 2, bound_us))
