"""Answer times of one entry node and eight owners, one of them unwell.

Runs in virtual time: arrivals are Poisson, a backend server holds a slot for
an exponential time, and each message between nodes takes half a millisecond.
"""

import heapq
from collections.abc import Container
from dataclasses import dataclass
from enum import Enum
from random import Random

from papayapost.ids import CallId, Micros, NodeId
from papayapost.kernel import World
from papayapost.peering import PeerSend
from papayapost.states import LinkClass
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
    BalancingPolicy,
    CallArrived,
    ForwardAnswer,
    OfferSend,
)
from papayapost.traffic.entry.upstreams import ServiceRow, UpstreamRow
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.worlds import backend_row, traffic_world

__all__ = ["AnyNear", "Illness", "balance_rows"]

_RULES = "route GET /* -> gusts rank=urgent idempotent=yes timeout_ms=500 # Mei: d\n"
_OWNERS = 8
_SLOTS = 9
_SERVICE_US = 10_000
_HOP_US = 500
_LOAD = 0.5
_SLOWNESS = 10
_SICK = NodeId("u0")


class Illness(Enum):
    """What one of the backend servers suffers from."""

    NONE = "all well"
    SLOW = "one ten times slower"
    FAILING = "one answers 503 at once"


class AnyNear(BalancingPolicy):
    """The baseline: any upstream of the nearest distance, at random."""

    def choose(
        self,
        service: ServiceRow,
        tried: Container[NodeId],
        reach: LinkClass,
        now_us: Micros,
        random: Random,
    ) -> UpstreamRow | None:
        """Return a random upstream."""
        for tier in service.tiers[: reach + 1]:
            untried = [row for row in tier if row.node_id not in tried]
            if untried:
                return random.choice(untried)
        return None


@dataclass(order=True, slots=True)
class _Arrival:
    """Messages that reach a node at a time."""

    at_us: int
    sequence: int
    node_id: NodeId
    messages: tuple


class _Run:
    """One entry world, its owners, and what is on its way between them."""

    def __init__(self, illness: Illness, balancing: BalancingPolicy | None):
        self._illness = illness
        self._random = Random(11)
        self._queue: list[_Arrival] = []
        self._sequence = 0
        self._offers: dict[str, AttemptOffer] = {}
        self._arrived_us: dict[CallId, int] = {}
        self._statuses: dict[str, int] = {}
        self.answer_times_us: list[int] = []
        rows = [
            backend_row(f"u{number}", "gusts", slots=_SLOTS)
            for number in range(_OWNERS)
        ]
        entry = backend_row("entry", None)
        self._worlds: dict[NodeId, World] = {
            row.node_id: traffic_world(row).world for row in rows
        }
        self._worlds[entry.node_id] = traffic_world(
            entry, rows, _RULES, balancing=balancing
        ).world

    def serve(self, calls: int) -> None:
        """Let the calls arrive and everything end."""
        rate_per_us = _LOAD * _OWNERS * _SLOTS / _SERVICE_US
        at_us = 0.0
        for number in range(calls):
            at_us += self._random.expovariate(rate_per_us)
            call_id = CallId(number)
            self._arrived_us[call_id] = int(at_us)
            arrived = CallArrived(call_id, "GET", "wind", "/gusts/wanli")
            self._send(int(at_us), NodeId("entry"), arrived)
        while self._queue:
            arrival = heapq.heappop(self._queue)
            world = self._worlds[arrival.node_id]
            for effect in world.tick(Micros(arrival.at_us), arrival.messages):
                self._carry_out(arrival.at_us, arrival.node_id, effect)

    def _send(self, at_us: int, node_id: NodeId, *messages: object) -> None:
        self._sequence += 1
        arrival = _Arrival(at_us, self._sequence, node_id, messages)
        heapq.heappush(self._queue, arrival)

    def _carry_out(self, now_us: int, node_id: NodeId, effect: object) -> None:
        if isinstance(effect, OfferSend):
            self._offers[effect.offer.attempt_id] = effect.offer
            self._send(now_us + _HOP_US, _node_of(effect.address), effect.offer)
        elif isinstance(effect, PeerSend):
            self._send(now_us + _HOP_US, _node_of(effect.address), effect.message)
        elif isinstance(effect, BackendCallStart):
            self._run_backend(now_us, node_id, effect)
        elif isinstance(effect, ForwardAnswer) and self._is_good(effect):
            self.answer_times_us.append(now_us - self._arrived_us[effect.call_id])

    def _is_good(self, effect: ForwardAnswer) -> bool:
        return self._statuses[effect.attempt_id] == 200

    def _run_backend(
        self, now_us: int, node_id: NodeId, start: BackendCallStart
    ) -> None:
        held_us, status = self._random.expovariate(1 / _SERVICE_US), 200
        if node_id == _SICK and self._illness is Illness.SLOW:
            held_us *= _SLOWNESS
        elif node_id == _SICK and self._illness is Illness.FAILING:
            held_us, status = 200.0, 503
        done_us, attempt_id = now_us + 1 + int(held_us), start.attempt_id
        self._statuses[attempt_id] = status
        self._send(
            done_us,
            node_id,
            BackendCallBegun(attempt_id, status),
            BackendCallEnded(attempt_id, True, True),
        )
        self._send(
            done_us + _HOP_US,
            self._offers[attempt_id].sender,
            AnswerBegun(node_id, attempt_id, status, 0),
            AnswerEnded(node_id, attempt_id, True),
        )


def balance_rows(short: bool) -> list[BenchRow]:
    """Return p99 answer times and good answers, against a random choice."""
    calls = 3_000 if short else 30_000
    rows = []
    for illness in Illness:
        chosen, random = _Run(illness, None), _Run(illness, AnyNear())
        chosen.serve(calls)
        random.serve(calls)
        for name, read, unit in (
            ("answer time p99", _p99_ms, "ms"),
            ("good answers", _good_percent(calls), "%"),
        ):
            value, baseline = read(chosen), read(random)
            rows.append(
                BenchRow(f"{illness.value}: {name}", _OWNERS, value, unit, baseline)
            )
    return rows


def _p99_ms(run: _Run) -> float:
    times = sorted(run.answer_times_us)
    return times[len(times) * 99 // 100] / 1_000


def _good_percent(calls: int):
    return lambda run: 100 * len(run.answer_times_us) / calls


def _node_of(address: str) -> NodeId:
    return NodeId(address.partition(":")[0])
