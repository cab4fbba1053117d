"""Counts of the answers of backend servers, by version, route and time."""

import math

from papayapost.define import define
from papayapost.ids import Micros, RouteId

__all__ = ["RouteCounts", "TimeCounts", "class_end_us", "time_class"]

_SHORTEST_US = 2_000
_CLASSES_PER_OCTAVE = 4
_MAX_CLASS = 63
"""Classes of answer times, four for each doubling from 2 ms to 100 s. Servers
of one version differ by up to 2.7 in speed; finer classes tell no more."""

TimeCounts = tuple[tuple[int, int], ...]
"""Numbers of answers by class of their time, in order, without zeros."""


@define(frozen=True)
class RouteCounts:
    """Answers of one backend server on one route since the order.

    Parameters
    ----------
    answers, failures
        Answers, and those among them that failed.
    times
        Times of the answers that did not fail and were not sent while the
        server was cold after its start.
    running
        Times for which attempts have been running without an answer.
    cancelled
        Times after which attempts were cancelled without an answer.
    """

    route_id: RouteId
    answers: int
    failures: int
    times: TimeCounts
    running: TimeCounts = ()
    cancelled: TimeCounts = ()


def time_class(duration_us: Micros) -> int:
    """Return the class of an answer time.

    Examples
    --------
    >>> time_class(100_000), time_class(200_000), time_class(0)
    (22, 26, 0)
    """
    if duration_us <= _SHORTEST_US:
        return 0
    octaves = math.log2(duration_us / _SHORTEST_US)
    return min(_MAX_CLASS, int(octaves * _CLASSES_PER_OCTAVE))


def class_end_us(time: int) -> float:
    """Return the longest time in µs of a class."""
    return _SHORTEST_US * 2.0 ** ((time + 1) / _CLASSES_PER_OCTAVE)
