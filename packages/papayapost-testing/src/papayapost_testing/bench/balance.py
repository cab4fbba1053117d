"""Answer times of calls over one entry node and eight owner nodes.

In two of three runs one backend server is slow or fails. The simulation runs
in virtual time: calls arrive as a Poisson process, service times are
exponential, and each message between nodes takes half a millisecond.
"""

from collections.abc import Container
from enum import Enum
from random import Random

from papayapost.ids import CallId, Micros, NodeId
from papayapost.states import LinkClass
from papayapost.traffic import BalancingPolicy, CallArrived
from papayapost.traffic.entry.upstreams import ServiceRow, UpstreamRow
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.simulated_calls import BackendAnswer, SimulatedCalls
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
_FAILURE_US = 200
_OK = 200


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
        answer_bytes: float = 0.0,
        is_refused_near: bool = False,
        left_us: float = 0.0,
    ) -> UpstreamRow | None:
        """Return a random untried upstream, or None if all were tried."""
        for tier in service.tiers[: reach + 1]:
            untried = [row for row in tier if row.node_id not in tried]
            if untried:
                return random.choice(untried)
        return None

    def is_full(
        self, row: UpstreamRow, now_us: Micros, answer_bytes: float = 0.0
    ) -> bool:
        """Return False: every attempt may be refused for want of a slot."""
        return False


class _Simulation:
    """Simulation of an entry node and its owner nodes."""

    def __init__(self, fault: BackendFault, balancing: BalancingPolicy | None):
        self._fault = fault
        rows = [
            backend_row(f"u{number}", "gusts", slots=_SLOTS)
            for number in range(_OWNERS)
        ]
        entry = backend_row("entry", None)
        nodes = {row.node_id: traffic_world(row) for row in rows}
        nodes[entry.node_id] = traffic_world(entry, rows, _RULES, balancing=balancing)
        self._calls = SimulatedCalls(nodes, self._backend)

    @property
    def answer_times_us(self) -> list[int]:
        """Times in µs from arrival to answer of well answered calls."""
        return [
            call.ended_us - call.arrived_us
            for call in self._calls.calls.values()
            if call.ended_us is not None and call.status == _OK
        ]

    def run(self, calls: int) -> None:
        """Simulate calls until no message is in transit."""
        rate_per_us = _LOAD_OF_CAPACITY * _OWNERS * _SLOTS / _SERVICE_US
        at_us = 0.0
        for number in range(calls):
            at_us += self._calls.random.expovariate(rate_per_us)
            arrived = CallArrived(CallId(number), "GET", "wind", "/gusts/wanli")
            self._calls.arrive(int(at_us), NodeId("entry"), arrived)
        self._calls.run()

    def _backend(self, node_id: NodeId, random: Random) -> BackendAnswer:
        service_us = random.expovariate(1 / _SERVICE_US)
        if node_id == _FAULTY_NODE and self._fault is BackendFault.SLOW:
            service_us *= _SLOWDOWN_FACTOR
        elif node_id == _FAULTY_NODE and self._fault is BackendFault.FAILING:
            return BackendAnswer(_FAILURE_US, 503)
        return BackendAnswer(int(service_us))


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
