"""What became of the calls of one kind in a simulated load."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["CallEnd", "KindFigures", "quantile", "worst_tenth"]


class CallEnd(Enum):
    """How a caller's request ended, after all of its attempts."""

    TIMELY = "timely"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class KindFigures:
    """Counts and times of one kind of call.

    Attributes
    ----------
    ends
        Number of requests by how they ended.
    refusals_ms
        Time from each attempt's arrival to its refusal as not run.
    refused_in_the_end_ms
        The same for refusals of callers that had no time or no attempt left.
    waits_ms
        Time from the arrival of an attempt that was run to its first start.
    offers
        Number of offers to owner nodes.
    across
        Number of those to another region.
    shed
        Number of offers that a backend server refused.
    idle_shares
        Share of the service's slots that were free at each refusal.
    """

    ends: dict[CallEnd, int] = field(default_factory=lambda: dict.fromkeys(CallEnd, 0))
    refusals_ms: list[float] = field(default_factory=list)
    refused_in_the_end_ms: list[float] = field(default_factory=list)
    waits_ms: list[float] = field(default_factory=list)
    idle_shares: list[float] = field(default_factory=list)
    attempts: int = 0
    offers: int = 0
    across: int = 0
    shed: int = 0

    @property
    def mean_idle_share(self) -> float:
        """Mean share of the service's slots that were free at a refusal."""
        return sum(self.idle_shares) / max(1, len(self.idle_shares))

    @property
    def total(self) -> int:
        """Number of requests."""
        return sum(self.ends.values())

    def share(self, *ends: CallEnd) -> float:
        """Return the share of the requests that ended in one of these ways."""
        return sum(self.ends[end] for end in ends) / max(1, self.total)


def worst_tenth(shares: list[float]) -> float:
    """Return the mean of the lowest tenth of the shares, at least of one."""
    lowest = sorted(shares)[: max(1, len(shares) // 10)]
    return sum(lowest) / max(1, len(lowest))


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for none."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]
