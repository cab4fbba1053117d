"""Loads as data, and their replay against the traffic systems of a mesh."""

from papayapost_testing.load_patterns.figures import (
    CallEnd,
    KindFigures,
    quantile,
    worst_tenth,
)
from papayapost_testing.load_patterns.patterns import LOAD_PATTERNS, pattern
from papayapost_testing.load_patterns.rows import AccountRow, LoadPattern
from papayapost_testing.load_patterns.simulation import LoadSimulation

__all__ = [
    "LOAD_PATTERNS",
    "AccountRow",
    "CallEnd",
    "KindFigures",
    "LoadPattern",
    "LoadSimulation",
    "pattern",
    "quantile",
    "worst_tenth",
]
