"""Counts how often callers met the limits of a node's HTTP servers."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

__all__ = ["HttpLimit", "LimitCounts"]


class HttpLimit(Enum):
    """Limits that a caller can meet; the value is a label in the metrics."""

    CONNECTIONS = "connections"
    HEAD = "head"
    BODY = "body"
    PACE = "pace"
    HELD = "held"


class LimitCounts:
    """Counts by listener and limit.

    Parameters
    ----------
    on_limit
        Called with the limit and a description whenever a caller meets one.

    Attributes
    ----------
    counts
        Number of times by listener and limit.
    """

    def __init__(
        self, on_limit: Callable[[HttpLimit, str], None] = lambda limit, detail: None
    ):
        self._on_limit = on_limit
        self.counts: Counter[tuple[str, HttpLimit]] = Counter()

    def note(self, listener: str, limit: HttpLimit) -> None:
        """Count a caller that met a limit at a listener."""
        self.counts[listener, limit] += 1
        self._on_limit(limit, f"at {listener}")
