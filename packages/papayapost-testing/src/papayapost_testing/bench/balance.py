"""Answer times of calls over one entry node and eight owner nodes.

In two of three runs one backend server is slow or fails. The simulation runs
in virtual time: calls arrive as a Poisson process, service times are
exponential, and each message between nodes takes half a millisecond.
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
from papayapost_testing.traffic_worlds import backend_row, traffic_world

__all__ = ["BackendFault", "RandomNearest", "balance_rows"]

_RULES = "route GET /* -> gusts rank=urgent idempotent=yes timeout_ms=500 # Mei: d\n"
_OWNERS = 8
_SLOTS = 9
_SERVICE_US = 10_000
_HOP_US = 500
_LOAD_OF_CAPACITY = 0.5
_SLOWDOWN_FACTOR = 10
_FAULTY_NODE = NodeId("u0")


class BackendFault(Enum):
    """Fault of one of the backend servers."""

    NONE = "all well"
    SLOW = "one ten times slower"
    FAILING = "one answers 503 at once"


class RandomNearest(BalancingPolicy):
    """Baseline policy: a random untried upstream of the nearest tier.

    A tier holds the upstreams at the same distance from the entry node.
    """

    def choose(
        self,
        service: ServiceRow,
        tried: Container[NodeId],
        reach: LinkClass,
        now_us: Micros,
        random: Random,
    ) -> UpstreamRow | None:
        """Return a random untried upstream, or None if all were tried."""
        for tier in service.tiers[: reach + 1]:
            untried = [row for row in tier if row.node_id not in tried]
            if untried:
                return random.choice(untried)
        return None


@dataclass(order=True, slots=True)
class _Arrival:
    """Messages that reach a node in one tick, with their virtual time."""

    at_us: int
    sequence: int
    node_id: NodeId
    messages: tuple


class _Simulation:
    """Simulation of an entry node, its owner nodes and messages in transit."""

    def __init__(self, fault: BackendFault, balancing: BalancingPolicy | None):
        self._fault = fault
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

    def run(self, calls: int) -> None:
        """Simulate calls until no message is in transit."""
        rate_per_us = _LOAD_OF_CAPACITY * _OWNERS * _SLOTS / _SERVICE_US
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
                self._apply_effect(arrival.at_us, arrival.node_id, effect)

    def _send(self, at_us: int, node_id: NodeId, *messages: object) -> None:
        self._sequence += 1
        arrival = _Arrival(at_us, self._sequence, node_id, messages)
        heapq.heappush(self._queue, arrival)

    def _apply_effect(self, now_us: int, node_id: NodeId, effect: object) -> None:
        if isinstance(effect, OfferSend):
            self._offers[effect.offer.attempt_id] = effect.offer
            self._send(now_us + _HOP_US, _node_of(effect.address), effect.offer)
        elif isinstance(effect, PeerSend):
            self._send(now_us + _HOP_US, _node_of(effect.address), effect.message)
        elif isinstance(effect, BackendCallStart):
            self._run_backend(now_us, node_id, effect)
        elif isinstance(effect, ForwardAnswer) and self._is_success(effect):
            self.answer_times_us.append(now_us - self._arrived_us[effect.call_id])

    def _is_success(self, effect: ForwardAnswer) -> bool:
        return self._statuses[effect.attempt_id] == 200

    def _run_backend(
        self, now_us: int, node_id: NodeId, start: BackendCallStart
    ) -> None:
        service_us, status = self._random.expovariate(1 / _SERVICE_US), 200
        if node_id == _FAULTY_NODE and self._fault is BackendFault.SLOW:
            service_us *= _SLOWDOWN_FACTOR
        elif node_id == _FAULTY_NODE and self._fault is BackendFault.FAILING:
            service_us, status = 200.0, 503
        done_us, attempt_id = now_us + 1 + int(service_us), start.attempt_id
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
    """Return the p99 answer time and the share of good answers, by fault.

    The baseline is the random choice of an upstream; a good answer has the
    status 200.
    """
    calls = 3_000 if short else 30_000
    rows = []
    for fault in BackendFault:
        balanced, random = _Simulation(fault, None), _Simulation(fault, RandomNearest())
        balanced.run(calls)
        random.run(calls)
        for name, read, unit in (
            ("answer time p99", _p99_ms, "ms"),
            ("good answers", _good_percent(calls), "%"),
        ):
            value, baseline = read(balanced), read(random)
            rows.append(
                BenchRow(f"{fault.value}: {name}", _OWNERS, value, unit, baseline)
            )
    return rows


def _p99_ms(run: _Simulation) -> float:
    times = sorted(run.answer_times_us)
    return times[len(times) * 99 // 100] / 1_000


def _good_percent(calls: int):
    return lambda run: 100 * len(run.answer_times_us) / calls


def _node_of(address: str) -> NodeId:
    return NodeId(address.partition(":")[0])
