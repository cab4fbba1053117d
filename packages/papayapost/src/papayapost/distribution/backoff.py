"""Exponential back-off with jitter and an upper bound."""

from random import Random

from papayapost.ids import Micros

__all__ = ["jittered_backoff_us"]


def jittered_backoff_us(
    random: Random, failures: int, least_us: int, most_us: int
) -> Micros:
    """Return a random pause between half of the current bound and the bound.

    Parameters
    ----------
    failures
        Number of consecutive failed attempts; each one doubles the bound.
    least_us, most_us
        Bound of the first pause and upper limit of the bound, in µs.

    Examples
    --------
    >>> draw = Random(1)
    >>> pauses = [jittered_backoff_us(draw, n, 100, 1000) for n in range(9)]
    >>> 50 <= pauses[0] <= 100 and 500 <= pauses[-1] <= 1000
    True
    """
    bound_us = min(most_us, least_us << min(failures, 30))
    return Micros(random.randint(bound_us // 2, bound_us))
