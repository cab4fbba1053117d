"""Policies for upstreams that have just started or recovered."""

from abc import ABC, abstractmethod
from random import Random

from papayapost.define import define
from papayapost.ids import Micros, ServiceName
from papayapost.kernel import Table
from papayapost.states import LinkClass, Rank
from papayapost.traffic.entry.tables import CallRow
from papayapost.traffic.entry.upstreams import UpstreamRow

__all__ = ["FixedRamp", "NewcomerPolicy", "OwnerPacedStart"]

_RAMP_US = 5_000_000
_RAMP_MIN_SHARE = 0.1

_MAX_START_US = 20_000_000
"""Time for which offers tell what other servers take. Owner nodes hold back a
server for 12 s at most, from a report that is seconds older at times."""

_TIME_WEIGHT = 0.1
_MAX_ROWS = 256

_WorkKey = tuple[ServiceName, Rank, bool, int | None]


class NewcomerPolicy(ABC):
    """Decides how an upstream that has just started is used."""

    @abstractmethod
    def is_passed_over(self, row: UpstreamRow, now_us: Micros, random: Random) -> bool:
        """Return whether a draw of an upstream does not count."""

    @abstractmethod
    def is_full(self, row: UpstreamRow) -> bool:
        """Return whether an upstream's start allows no further attempt."""

    @abstractmethod
    def sample(
        self, call: CallRow, row: UpstreamRow, latency_us: int, now_us: Micros
    ) -> None:
        """Record the time in µs from an offer to its good answer."""

    @abstractmethod
    def sibling_us(
        self, call: CallRow, row: UpstreamRow, now_us: Micros
    ) -> Micros | None:
        """Return what an offer says about the times of other servers."""


class FixedRamp(NewcomerPolicy):
    """Raises an upstream's share of the draws linearly over 5 s."""

    def is_passed_over(self, row: UpstreamRow, now_us: Micros, random: Random) -> bool:
        """Return whether a draw is beyond the share of an upstream's age."""
        if row.ramp_start_us is None:
            return False
        return random.random() >= _ramp_share(row, now_us)

    def is_full(self, row: UpstreamRow) -> bool:
        """Return False: the ramp limits draws, not attempts."""
        return False

    def sample(
        self, call: CallRow, row: UpstreamRow, latency_us: int, now_us: Micros
    ) -> None:
        """Ignore the time: the ramp has a fixed length."""

    def sibling_us(
        self, call: CallRow, row: UpstreamRow, now_us: Micros
    ) -> Micros | None:
        """Return None: offers say nothing about other servers."""
        return None


@define
class WorkTimeRow:
    """Decayed mean time in µs of answers to one kind of work."""

    mean_us: float


class OwnerPacedStart(NewcomerPolicy):
    """Leaves the pace to the owner node, which sees all answers of its server.

    Load pattern: five servers of a service restart together. Each entry node
    has one call in some seconds at each of them, too few to judge by.

    The owner node limits its slots and refuses what it has no slot for. Until
    it has answered this node, an upstream gets one attempt at a time. Offers
    to it carry the usual time of other upstreams of this region for such work,
    which an owner node on a new VM cannot know.
    """

    def __init__(self):
        self._times: Table[_WorkKey, WorkTimeRow] = Table("work times")

    def is_passed_over(self, row: UpstreamRow, now_us: Micros, random: Random) -> bool:
        """Return False: each draw counts, within the owner node's slots."""
        return False

    def is_full(self, row: UpstreamRow) -> bool:
        """Return whether an attempt waits for the first word of the owner."""
        start_us = row.ramp_start_us
        has_answered = start_us is None or row.reported_us >= start_us
        return not has_answered and bool(row.attempts)

    def sample(
        self, call: CallRow, row: UpstreamRow, latency_us: int, now_us: Micros
    ) -> None:
        """Record the time of an answer, unless the upstream is starting."""
        if row.distance is LinkClass.ACROSS or _is_starting(row, now_us):
            return
        key = _work_key(call)
        known = self._times.get(key)
        if known is not None:
            known.mean_us += _TIME_WEIGHT * (latency_us - known.mean_us)
            return
        if len(self._times) >= _MAX_ROWS:
            oldest, _ = next(iter(self._times.items()))
            self._times.pop(oldest)
        self._times.put(key, WorkTimeRow(float(latency_us)))

    def sibling_us(
        self, call: CallRow, row: UpstreamRow, now_us: Micros
    ) -> Micros | None:
        """Return the usual time of such work, for an upstream that starts."""
        if not _is_starting(row, now_us):
            return None
        known = self._times.get(_work_key(call))
        return None if known is None else Micros(int(known.mean_us))


def _is_starting(row: UpstreamRow, now_us: Micros) -> bool:
    if row.ramp_start_us is None:
        return False
    if now_us - row.ramp_start_us < _MAX_START_US:
        return True
    row.ramp_start_us = None
    return False


def _work_key(call: CallRow) -> _WorkKey:
    return (call.service, call.rank, call.route.idempotent, call.route.target_ms)


def _ramp_share(row: UpstreamRow, now_us: Micros) -> float:
    age_us = now_us - (row.ramp_start_us or 0)
    if age_us >= _RAMP_US:
        row.ramp_start_us = None
        return 1.0
    return max(_RAMP_MIN_SHARE, age_us / _RAMP_US)
