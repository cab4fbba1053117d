"""Compares the answers of a new version with those of the old one.

Bad versions fail half of their answers or give half of them eight times later,
perhaps only on one route, only under load or only after some time. Answers are
therefore compared on the same route, and by a cumulative sum (CUSUM) of the
log-likelihood ratio of bad to good: good answers of an earlier time don't
outweigh bad ones that follow.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import field
from enum import Enum

from papayapost.define import define
from papayapost.ids import RouteId
from papayapost.kernel import Table
from papayapost.rollout.counts import RouteCounts, TimeCounts, class_end_us

__all__ = ["Evidence", "Judgement", "RouteEvidence", "Verdict"]

_BAD_SHARE = 0.35
"""Share of bad answers that a bad version has at least: half of them fail, or
are 8 times slower, of which some still pass for good on a fast server."""

_MIN_FAILURE_SHARE = 0.02
_MAX_GOOD_SHARE = 0.22
_MIN_SLOW_SHARE = 0.08
"""Shares of failed and slow answers that a good version may have. A server of
0.6 times the usual speed answers some calls later than the limit below."""

_SLOW_CLASSES = 8
"""Distance from the median of the old version to the limit of slow answers:
a factor of 4. Servers of one version differ by up to 2.7."""

_CANCELLED_CLASSES = 2
"""Distance from the median from which on cancelled attempts count as slow, a
factor of 1.4. Entry nodes give slow attempts up before they are answered, so
that of a slow version the good answers would be left only."""

_LONG_CLASSES = 4
_MAX_LONG_EXCESS = 0.2
"""Distance from the median of the old version to the limit of long answers, a
factor of 2, and by how much more of them a good version may have in a short
time. A version that is slow under load only has half of its answers there."""

_WIDE_CLASSES = 3
_MAX_WIDE_SHARE = 0.18
"""Distance from the spread of the old version's times to the limit of wide
ones, and largest share of them in a good version. Times are taken from the
fastest quarter on, so that the speed of the server makes no difference."""

_BAD_SCORE = 7.5
"""Score that shows a bad version: about 1,800 to 1 against a good one. Three
failures in a row reach it."""

_CLEAN_SCORE = 2.0
"""Largest score of a version that all calls may move to."""

_MIN_OLD_ANSWERS = 15
_MIN_ANSWERS = 30
_MIN_ROUTE_ANSWERS = 8
"""Answers that a judgement needs. Half of the answers of a bad version are
bad: that 8 in a row are good has a chance of 1 in 256."""

_MIN_ROUTE_SHARE = 0.03
"""Share of the old version's answers from which on a route needs answers of
the new one. A version that is bad on lesser routes does little harm."""


class Judgement(Enum):
    """What the answers so far say about a version."""

    UNSURE = "unsure"
    GOOD = "good"
    BAD = "bad"


@define(frozen=True)
class Verdict:
    """A judgement with its reason for the log."""

    judgement: Judgement
    reason: str


@define
class RouteEvidence:
    """Answers on one route since the order.

    Parameters
    ----------
    old_answers, old_failures, old_times, old_cancelled
        Answers of the old version, and times after which its attempts were
        cancelled.
    answers, failures
        Answers of the new version.
    unjudged_times, unjudged_cancelled
        Times of the new version for which too few of the old one are known,
        and those after which attempts were cancelled.
    judged
        Number of times of the new version that were judged.
    running
        Numbers of running attempts of the new version by class of time.
    failure_score, slow_score
        Cumulative sums for failed and for slow answers.
    times, recent_times
        Times of the new version since the order, and since the start of the
        move.
    cancelled, recent_cancelled
        Times after which its attempts were cancelled, as above.
    """

    old_answers: int = 0
    old_failures: int = 0
    old_times: Counter[int] = field(default_factory=Counter)
    old_cancelled: Counter[int] = field(default_factory=Counter)
    answers: int = 0
    failures: int = 0
    unjudged_times: Counter[int] = field(default_factory=Counter)
    unjudged_cancelled: Counter[int] = field(default_factory=Counter)
    judged: int = 0
    running: Counter[int] = field(default_factory=Counter)
    failure_score: float = 0.0
    slow_score: float = 0.0
    times: Counter[int] = field(default_factory=Counter)
    recent_times: Counter[int] = field(default_factory=Counter)
    cancelled: Counter[int] = field(default_factory=Counter)
    recent_cancelled: Counter[int] = field(default_factory=Counter)

    def slow_limit(self) -> int | None:
        """Return the class from which on answers are slow, or None."""
        median = self.median()
        return None if median is None else median + _SLOW_CLASSES

    def median(self) -> int | None:
        """Return the median class of the old version's times, or None."""
        if self.old_times.total() < _MIN_OLD_ANSWERS:
            return None
        return _quantile(self.old_times, 0.5)

    def has_wide_times(self) -> bool:
        """Return whether the new times spread more than the old ones."""
        median = self.median()
        if median is None or not self.times:
            return False
        cancelled = _count_from(self.cancelled, median + _CANCELLED_CLASSES)
        total = self.times.total() + cancelled
        spread = _quantile(self.old_times, 0.9) - _quantile(self.old_times, 0.25)
        limit = _quantile(self.times, 0.25) + spread + _WIDE_CLASSES
        wide = _count_from(self.times, limit) + cancelled
        return wide > _MAX_WIDE_SHARE * total + self._old_cancelled_share() * total

    def old_slow_share(self, limit: int) -> float:
        """Return the share of slow answers of the old version."""
        total = max(1, self.old_times.total())
        return _count_from(self.old_times, limit) / total + self._old_cancelled_share()

    def _old_cancelled_share(self) -> float:
        median = self.median()
        if median is None:
            return 0.0
        cancelled = _count_from(self.old_cancelled, median + _CANCELLED_CLASSES)
        return cancelled / (self.old_times.total() + cancelled)


class Evidence:
    """Answers of both versions, added as they are reported.

    Parameters are numbers since the last report of the same server. Times of
    running attempts replace those of the last report.
    """

    def __init__(self):
        self.routes: Table[RouteId, RouteEvidence] = Table("route evidence")
        self.pooled_failures = 0.0
        self.pooled_slow = 0.0

    def add_old(self, counts: RouteCounts) -> None:
        """Add further answers of the old version on one route."""
        route = self._route(counts.route_id)
        route.old_answers += counts.answers
        route.old_failures += counts.failures
        route.old_times.update(dict(counts.times))
        route.old_cancelled.update(dict(counts.cancelled))

    def add_new(self, counts: RouteCounts) -> None:
        """Add further answers of the new version on one route."""
        route = self._route(counts.route_id)
        route.answers += counts.answers
        route.failures += counts.failures
        good_share = _good_share(route.old_failures, route.old_answers)
        step = _log_ratio(counts.failures, counts.answers, good_share)
        route.failure_score = max(0.0, route.failure_score + step)
        self.pooled_failures = max(0.0, self.pooled_failures + step)
        route.unjudged_times.update(dict(counts.times))
        route.times.update(dict(counts.times))
        route.recent_times.update(dict(counts.times))
        route.unjudged_cancelled.update(dict(counts.cancelled))
        route.cancelled.update(dict(counts.cancelled))
        route.recent_cancelled.update(dict(counts.cancelled))
        self._judge_times(route)

    def set_running(self, running: Iterable[tuple[RouteId, TimeCounts]]) -> None:
        """Replace the times of the new version's running attempts."""
        for route in self.routes:
            route.running.clear()
        for route_id, times in running:
            self._route(route_id).running.update(dict(times))

    def verdict(self) -> Verdict:
        """Return what the answers say about the new version."""
        for route_id, route in self.routes.items():
            score = max(route.failure_score, route.slow_score + _running_score(route))
            if score >= _BAD_SCORE:
                detail = (
                    f"route {route_id:08x}: {route.failures} of {route.answers} "
                    f"failed, slow score {route.slow_score:.1f}"
                )
                return Verdict(Judgement.BAD, detail)
        if max(self.pooled_failures, self.pooled_slow) >= _BAD_SCORE:
            return Verdict(Judgement.BAD, "many routes have some bad answers")
        reason = self._reason_to_doubt()
        if reason:
            return Verdict(Judgement.UNSURE, reason)
        return Verdict(Judgement.GOOD, f"{self.answers} answers")

    def begin_move(self) -> None:
        """Tell apart the answers from now on."""
        for route in self.routes:
            route.recent_times.clear()
            route.recent_cancelled.clear()

    def long_us(self) -> float:
        """Return the time in µs after which all long answers show."""
        medians = [route.median() for route in self.routes]
        longest = max((m for m in medians if m is not None), default=0)
        return class_end_us(longest + _LONG_CLASSES)

    def has_many_long(self) -> bool:
        """Return whether more answers are long since the start of the move.

        Attempts that have run for long without an answer, or were cancelled,
        count too.
        """
        total, found, expected = 0, 0, 0.0
        for route in self.routes:
            median = route.median()
            if median is None:
                continue
            limit = median + _LONG_CLASSES
            running = _count_from(route.running, limit)
            running += _count_from(route.recent_cancelled, median + _CANCELLED_CLASSES)
            count = route.recent_times.total() + running
            total += count
            found += _count_from(route.recent_times, limit) + running
            expected += count * route.old_slow_share(limit)
        return found > expected + _MAX_LONG_EXCESS * total

    def answer_us(self) -> float:
        """Return the time in µs of nine of ten answers of the old version."""
        times: Counter[int] = Counter()
        for route in self.routes:
            times.update(route.old_times)
        return class_end_us(_quantile(times, 0.9)) if times else 0.0

    @property
    def answers(self) -> int:
        """Number of answers of the new version."""
        return sum(route.answers for route in self.routes)

    def _reason_to_doubt(self) -> str:
        if self.answers < _MIN_ANSWERS:
            return f"{self.answers} answers only"
        if max(self.pooled_failures, self.pooled_slow) > _CLEAN_SCORE:
            return "some routes have bad answers"
        old_answers = sum(route.old_answers for route in self.routes)
        for route_id, route in self.routes.items():
            is_used = route.old_answers >= max(
                _MIN_OLD_ANSWERS, _MIN_ROUTE_SHARE * old_answers
            )
            reason = _reason_to_doubt(route, is_used)
            if reason:
                return f"route {route_id:08x} has {reason}"
        return ""

    def _route(self, route_id: RouteId) -> RouteEvidence:
        route = self.routes.get(route_id)
        if route is None:
            route = RouteEvidence()
            self.routes.put(route_id, route)
        return route

    def _judge_times(self, route: RouteEvidence) -> None:
        median, limit = route.median(), route.slow_limit()
        if median is None or limit is None:
            return
        slow = _count_from(route.unjudged_cancelled, median + _CANCELLED_CLASSES)
        count = route.unjudged_times.total() + slow
        slow += _count_from(route.unjudged_times, limit)
        route.unjudged_times.clear()
        route.unjudged_cancelled.clear()
        route.judged += count
        step = _log_ratio(slow, count, _good_slow_share(route, limit))
        route.slow_score = max(0.0, route.slow_score + step)
        self.pooled_slow = max(0.0, self.pooled_slow + step)


def _reason_to_doubt(route: RouteEvidence, is_used: bool) -> str:
    score = max(route.failure_score, route.slow_score + _running_score(route))
    if score > _CLEAN_SCORE:
        return f"a score of {score:.1f}"
    if is_used and route.judged < _MIN_ROUTE_ANSWERS:
        return f"{route.judged} answers to judge"
    if is_used and route.has_wide_times():
        return "times that differ widely"
    return ""


def _running_score(route: RouteEvidence) -> float:
    """Return what running attempts add that are slow already."""
    limit = route.slow_limit()
    if limit is None:
        return 0.0
    slow = _count_from(route.running, limit)
    return _log_ratio(slow, slow, _good_slow_share(route, limit))


def _good_share(old_bad: int, old_total: int) -> float:
    share = 2.0 * old_bad / max(_MIN_OLD_ANSWERS, old_total)
    return min(_MAX_GOOD_SHARE, max(_MIN_FAILURE_SHARE, share))


def _good_slow_share(route: RouteEvidence, limit: int) -> float:
    share = 1.5 * route.old_slow_share(limit) + 0.05
    return min(_MAX_GOOD_SHARE, max(_MIN_SLOW_SHARE, share))


def _log_ratio(bad: int, total: int, good_share: float) -> float:
    """Return the log-likelihood ratio of a bad version to a good one."""
    return bad * math.log(_BAD_SHARE / good_share) + (total - bad) * math.log(
        (1 - _BAD_SHARE) / (1 - good_share)
    )


def _quantile(times: Counter[int], share: float) -> int:
    """Return the class up to which a share of the times lies."""
    limit, seen = share * times.total(), 0
    for time, count in sorted(times.items()):
        seen += count
        if seen >= limit:
            return time
    return 0


def _count_from(times: Counter[int], limit: int) -> int:
    return sum(count for time, count in times.items() if time >= limit)
