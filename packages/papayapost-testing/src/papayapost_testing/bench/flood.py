"""Goodput and queueing time by rank while one rank floods an owner node.

The simulation runs in virtual time: attempts arrive as a Poisson process, and
service times are exponential. The world of the owner node makes all decisions
on admission and order.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from papayapost.ids import (
    Address,
    AttemptId,
    ConnectionEpoch,
    Incarnation,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.kernel import World
from papayapost.states import Rank
from papayapost.traffic import (
    AttemptOffer,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
)
from papayapost.traffic.owner.queues import FifoQueue
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.traffic_worlds import backend_row, traffic_world

__all__ = ["FloodResult", "FloodScenario", "flood_rows", "simulate_flood"]

SLOTS = 9
SERVICE_US = 10_000
BUDGET_US = 500_000
CAPACITY_PER_S = SLOTS * 1e6 / SERVICE_US


@dataclass(frozen=True, slots=True)
class FloodScenario:
    """Parameters of one simulated flood.

    Parameters
    ----------
    rank
        Rank whose attempts flood the owner node.
    load
        Arrival rate of all ranks together, as a multiple of the owner node's
        capacity.
    others_share
        Arrival rate of each other rank, as a fraction of the capacity. It is
        reduced if `load` is too small for four equal ranks.
    """

    rank: Rank
    load: float
    duration_s: float
    others_share: float = 0.1
    seed: int = 7

    def rate_per_s(self, rank: Rank) -> float:
        """Return the arrival rate of a rank, in attempts per second."""
        others_share = min(self.others_share, self.load / len(Rank))
        share = others_share if rank is not self.rank else self.load - 3 * others_share
        return CAPACITY_PER_S * share


@dataclass(slots=True)
class FloodResult:
    """Counts and queueing times of attempts, indexed by rank."""

    offered: list[int] = field(default_factory=lambda: [0] * len(Rank))
    answered: list[int] = field(default_factory=lambda: [0] * len(Rank))
    waits_us: list[list[int]] = field(default_factory=lambda: [[] for _ in Rank])

    def goodput(self, rank: Rank) -> float:
        """Return the fraction of a rank's attempts answered in time."""
        return self.answered[rank] / max(1, self.offered[rank])

    def wait_p99_ms(self, rank: Rank) -> float:
        """Return the p99 queueing time of a rank's started attempts, in ms."""
        waits = sorted(self.waits_us[rank])
        return waits[len(waits) * 99 // 100] / 1_000 if waits else 0.0

    def utilisation(self, duration_s: float) -> float:
        """Return the fraction of the capacity used by timely answers."""
        return sum(self.answered) / (CAPACITY_PER_S * duration_s)


def simulate_flood(flood: FloodScenario, world: World) -> FloodResult:
    """Simulate a flood on the world of an owner node."""
    random = Random(flood.seed)
    result = FloodResult()
    arrivals: dict[AttemptId, tuple[Rank, int]] = {}
    events: list[tuple[int, int, object]] = list(_arrivals(flood, random))
    heapq.heapify(events)
    sequence = len(events)
    while events:
        now_us, _, message = heapq.heappop(events)
        due_us = world.next_due_us()
        if due_us is not None and due_us < now_us:
            heapq.heappush(events, (now_us, sequence, message))
            now_us, message = due_us, None
        messages: list[object] = [] if message is None else [message]
        if isinstance(message, AttemptOffer):
            arrivals[message.attempt_id] = (message.rank, now_us)
            result.offered[message.rank] += 1
        elif isinstance(message, BackendCallEnded):
            rank, arrived_us = arrivals[message.attempt_id]
            result.answered[rank] += now_us - arrived_us <= BUDGET_US
            messages.insert(0, BackendCallBegun(message.attempt_id, 200))
        for effect in world.tick(Micros(now_us), messages):
            if isinstance(effect, BackendCallStart):
                rank, arrived_us = arrivals[effect.attempt_id]
                result.waits_us[rank].append(now_us - arrived_us)
                sequence += 1
                service_us = 1 + int(random.expovariate(1 / SERVICE_US))
                ended = BackendCallEnded(effect.attempt_id, True, True)
                heapq.heappush(events, (now_us + service_us, sequence, ended))
    return result


def flood_rows(short: bool) -> list[BenchRow]:
    """Return goodput and p99 queueing time by rank and flood.

    The baseline is an owner node with one FIFO queue for all ranks.
    """
    loads = (1.0, 5.0) if short else (0.5, 1.0, 2.0, 5.0, 10.0)
    duration_s = 2.0 if short else 10.0
    rows: list[BenchRow] = []
    for flooding_rank in Rank:
        for load in loads:
            flood = FloodScenario(flooding_rank, load, duration_s)
            ranked = simulate_flood(flood, _owner_world(is_ranked=True))
            fifo = simulate_flood(flood, _owner_world(is_ranked=False))
            rows.extend(_rows_of(flood, ranked, fifo))
    return rows


def _rows_of(
    flood: FloodScenario, ranked: FloodResult, fifo: FloodResult
) -> Iterator[BenchRow]:
    prefix = f"{flood.rank.name.lower()} flood {flood.load:g}x"
    size = int(flood.load * 100)
    for rank in Rank:
        name = f"{prefix}, {rank.name.lower()}"
        yield BenchRow(
            f"{name} goodput",
            size,
            100 * ranked.goodput(rank),
            "%",
            100 * fifo.goodput(rank),
        )
        yield BenchRow(
            f"{name} wait p99",
            size,
            ranked.wait_p99_ms(rank),
            "ms",
            fifo.wait_p99_ms(rank),
        )
    yield BenchRow(
        f"{prefix}, slots in useful work",
        size,
        100 * ranked.utilisation(flood.duration_s),
        "%",
        100 * fifo.utilisation(flood.duration_s),
    )


def _owner_world(is_ranked: bool) -> World:
    own = backend_row("owner", "gusts", slots=SLOTS)
    queue = None if is_ranked else FifoQueue(SLOTS)
    return traffic_world(own, queue=queue).world


def _arrivals(
    flood: FloodScenario, random: Random
) -> Iterator[tuple[int, int, object]]:
    number = 0
    for rank in Rank:
        rate_per_s = flood.rate_per_s(rank)
        at_s = random.expovariate(rate_per_s) if rate_per_s else flood.duration_s
        while at_s < flood.duration_s:
            number += 1
            yield int(at_s * 1e6), number, _offer(number, rank)
            at_s += random.expovariate(rate_per_s)


def _offer(number: int, rank: Rank) -> AttemptOffer:
    # Sequence number 0 disables the owner node's check for attempts that it
    # has forgotten. The check needs numbers in order of arrival, but attempts
    # are numbered one rank after the other here.
    return AttemptOffer(
        NodeId("entry"),
        Address("entry:1"),
        AttemptId(f"entry/1/{number:x}"),
        ConnectionEpoch(1),
        ServiceName("gusts"),
        rank,
        True,
        Micros(BUDGET_US),
        None,
        Incarnation(1),
        0,
    )
