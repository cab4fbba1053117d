"""Policies that choose an upstream for an attempt."""

from abc import ABC, abstractmethod
from collections.abc import Container
from random import Random

from papayapost.ids import Micros, NodeId
from papayapost.states import LinkClass
from papayapost.traffic.entry.newcomers import FixedRamp, NewcomerPolicy
from papayapost.traffic.entry.upstreams import ServiceRow, UpstreamRow
from papayapost.traffic.owner.link_plan import bulk_bytes_per_us
from papayapost.traffic.owner.tables import OwnerTables

__all__ = ["BalancingPolicy", "NearestOfTwo"]

_REPORT_MAX_AGE_US = 1_000_000
_LATENCY_MAX_AGE_US = 10_000_000
_FAILURE_COST = 6.0
_MAX_FAILURE_RATE = 0.3
"""Failure rate above which a backend server counts as full, so that one
farther away that has room is preferred."""

_NO_TARGET_US = float("inf")
_MAX_COMPARED = 4
"""Largest number of upstreams of one distance that are compared for a call
with a large answer."""

_ACROSS_ROUND_TRIP_US = 60_000
"""Time of a message between regions and its answer."""


class BalancingPolicy(ABC):
    """Chooses an upstream for an attempt among those of a service."""

    @abstractmethod
    def choose(
        self,
        service: ServiceRow,
        tried: Container[NodeId],
        reach: LinkClass,
        now_us: Micros,
        random: Random,
        answer_bytes: float = 0.0,
        is_refused_near: bool = False,
        left_us: float = _NO_TARGET_US,
    ) -> UpstreamRow | None:
        """Return the upstream for an attempt, or None if there is none.

        Parameters
        ----------
        service
            The service with its upstreams.
        tried
            Owner nodes that the call was already offered to.
        reach
            Largest distance of an upstream that may be chosen.
        now_us
            Time of the tick clock in µs.
        random
            Source of the random choice.
        answer_bytes
            Expected length of the answer in bytes if it is large, else 0.
        is_refused_near
            Whether only an upstream of another region is of use.
        left_us
            Time in µs that is left to the latency target.
        """

    @abstractmethod
    def is_full(
        self, row: UpstreamRow, now_us: Micros, answer_bytes: float = 0.0
    ) -> bool:
        """Return whether an attempt at an upstream would probably wait."""


class NearestOfTwo(BalancingPolicy):
    """Chooses the better of two random upstreams at the nearest distance.

    This is balancing by two random choices: the upstream with the lower
    expected wait is used. Distances at which no upstream has a free slot are
    passed over, but the link between regions is used only if the wait at the
    nearer upstreams is longer than the way there and back. The expected wait
    at an upstream follows from the attempts that this node has outstanding
    there, from what its owner node last reported, and from its decayed
    latency.

    Parameters
    ----------
    owner
        Tables of this node as an owner, which give its exact number of free
        slots.
    penalises_failures
        Whether a backend server gets fewer attempts when some of its attempts
        fail or are refused, even if it fails too rarely to be ejected.
    newcomers
        How upstreams are used that have just started; a ramp if None.
    """

    def __init__(
        self,
        owner: OwnerTables,
        penalises_failures: bool = False,
        newcomers: NewcomerPolicy | None = None,
    ):
        self._owner = owner
        self._newcomers = newcomers or FixedRamp()
        self._failure_cost = _FAILURE_COST if penalises_failures else 0.0
        self._max_failure_rate = _MAX_FAILURE_RATE if penalises_failures else 1.0

    def choose(
        self,
        service: ServiceRow,
        tried: Container[NodeId],
        reach: LinkClass,
        now_us: Micros,
        random: Random,
        answer_bytes: float = 0.0,
        is_refused_near: bool = False,
        left_us: float = _NO_TARGET_US,
    ) -> UpstreamRow | None:
        """Return the upstream for an attempt, or None if there is none.

        If all upstreams within reach are full, the one with the lowest
        expected wait is chosen; the wait counts more at a larger distance.
        """
        if is_refused_near:
            tier = service.tiers[LinkClass.ACROSS]
            return self._choose_in_tier(service, tier, tried, now_us, random)
        if answer_bytes:
            return self._choose_for_large(
                service, tried, reach, now_us, random, answer_bytes, left_us
            )
        full_upstreams: list[UpstreamRow] = []
        for distance in range(reach + 1):
            tier = service.tiers[distance]
            if not tier:
                continue
            best = self._choose_in_tier(service, tier, tried, now_us, random)
            if best is None:
                continue
            if distance == LinkClass.ACROSS and _is_wait_short(full_upstreams, now_us):
                break
            if not self.is_full(best, now_us):
                return best
            full_upstreams.append(best)
        if not full_upstreams:
            return None
        return min(
            full_upstreams,
            key=lambda row: (1 + row.distance) * self._score(service, row, now_us),
        )

    def _choose_for_large(
        self,
        service: ServiceRow,
        tried: Container[NodeId],
        reach: LinkClass,
        now_us: Micros,
        random: Random,
        answer_bytes: float,
        left_us: float,
    ) -> UpstreamRow | None:
        """Return the nearest upstream whose large answer will be in time.

        Load pattern: five servers serve all downloads of a mesh, over links
        whose rates differ twofold. What is nearest or has free slots says
        little about when an answer of 90 KB arrives. As bytes between data
        centres are paid for, an answer comes from farther away only if it is
        not expected within the target from the best upstream that is nearer.
        """

        def due_us(row: UpstreamRow) -> float:
            return self._large_answer_us(service, row, now_us, answer_bytes)

        too_late: list[UpstreamRow] = []
        for distance in range(reach + 1):
            candidates = _sampled(service.tiers[distance], tried, random)
            best = min(candidates, key=due_us, default=None)
            if best is None:
                continue
            is_full = self.is_full(best, now_us, answer_bytes)
            if not is_full and due_us(best) <= left_us:
                return best
            too_late.append(best)
        return min(too_late, key=due_us, default=None)

    def _large_answer_us(
        self, service: ServiceRow, row: UpstreamRow, now_us: Micros, answer_bytes: float
    ) -> float:
        """Return the expected time in µs to the end of a large answer."""
        expected_us = self._score(service, row, now_us)
        if self.is_full(row, now_us):
            expected_us += row.latency_us or service.latency_us
        if row.distance is LinkClass.SELF:
            return expected_us
        if row.distance is LinkClass.ACROSS:
            expected_us += _ACROSS_ROUND_TRIP_US
        expected_us += max(0, row.link_free_us - now_us)
        if row.link_mbps:
            sending_us = answer_bytes / bulk_bytes_per_us(row.link_mbps)
            expected_us += sending_us * (1 + len(row.attempts))
        return expected_us

    def _choose_in_tier(
        self,
        service: ServiceRow,
        tier: list[UpstreamRow],
        tried: Container[NodeId],
        now_us: Micros,
        random: Random,
    ) -> UpstreamRow | None:
        size = len(tier)
        if size > 1:
            position = int(random.random() * size)
            first = tier[position]
            second = tier[position - 1 - int(random.random() * (size - 1))]
            is_second_better = self._score(service, second, now_us) < self._score(
                service, first, now_us
            )
            # Little is known yet of an upstream that has just started, so that
            # the policy alone decides whether its draw counts.
            if first.ramp_start_us is not None:
                is_second_better = self._newcomers.is_passed_over(first, now_us, random)
            elif self._newcomers.is_passed_over(second, now_us, random):
                is_second_better = False
            if is_second_better:
                first = second
            if first.node_id not in tried and not self.is_full(first, now_us):
                return first
        untried = [row for row in tier if row.node_id not in tried]
        with_room = [row for row in untried if not self.is_full(row, now_us)]
        return min(
            with_room or untried,
            key=lambda row: self._score(service, row, now_us),
            default=None,
        )

    def is_full(
        self, row: UpstreamRow, now_us: Micros, answer_bytes: float = 0.0
    ) -> bool:
        """Return whether an attempt at an upstream would probably wait."""
        if now_us < row.full_until_us:
            return True
        if answer_bytes and now_us < row.link_full_until_us:
            return True
        if row.failure_rate_at(now_us) > self._max_failure_rate:
            return True
        if row.ramp_start_us is not None and self._newcomers.is_full(row):
            return True
        if row.distance is LinkClass.SELF:
            return self._owner.free_slots <= 0
        return len(row.attempts) >= row.slots

    def _score(self, service: ServiceRow, row: UpstreamRow, now_us: Micros) -> float:
        return _score(service, row, now_us, self._failure_cost)


def _score(
    service: ServiceRow, row: UpstreamRow, now_us: Micros, failure_cost: float
) -> float:
    """Return the relative expected wait at an upstream; lower is better."""
    load = len(row.attempts) + 1.0
    age_us = now_us - row.reported_us
    if age_us < _REPORT_MAX_AGE_US:
        busy_elsewhere = row.slots - row.free_slots - row.outstanding_at_report
        if busy_elsewhere > 0:
            load += busy_elsewhere * (1 - age_us / _REPORT_MAX_AGE_US)
    latency_us = service.latency_us
    if row.latency_us and now_us - row.latency_sampled_us < _LATENCY_MAX_AGE_US:
        latency_us = row.latency_us
    score = (
        load * latency_us / row.slots * (1 + failure_cost * row.failure_rate_at(now_us))
    )
    return score + _expected_wait_us(row, now_us)


def _sampled(
    tier: list[UpstreamRow], tried: Container[NodeId], random: Random
) -> list[UpstreamRow]:
    """Return the untried upstreams of a tier, but few of a large one."""
    untried = [row for row in tier if row.node_id not in tried]
    if len(untried) <= _MAX_COMPARED:
        return untried
    return random.sample(untried, _MAX_COMPARED)


def _expected_wait_us(row: UpstreamRow, now_us: Micros) -> int:
    """Return the reported wait, less the time since the report."""
    return max(0, row.expected_wait_us - (now_us - row.reported_us))


def _is_wait_short(rows: list[UpstreamRow], now_us: Micros) -> bool:
    return any(
        0 < _expected_wait_us(row, now_us) <= _ACROSS_ROUND_TRIP_US for row in rows
    )
