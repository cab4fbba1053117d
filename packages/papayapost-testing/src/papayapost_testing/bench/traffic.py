"""Time per call in the traffic systems, and results of simulated policies."""

import time

from papayapost.ids import (
    Address,
    AttemptId,
    CallId,
    ConnectionEpoch,
    Incarnation,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.states import Rank
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallEnded,
    CallArrived,
    OfferSend,
)
from papayapost_testing.bench.balance import balance_rows
from papayapost_testing.bench.flood import flood_rows
from papayapost_testing.bench.retries import retry_rows
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.traffic_worlds import backend_row, traffic_world

__all__ = ["run"]

_RULES = "route GET /gusts/* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"
_CALL_INTERVAL_US = 100


def run(short: bool) -> list[BenchRow]:
    """Return the time per call at the entry node and at the owner node.

    The rows of the simulations follow: balancing, retries and floods.

    Parameters
    ----------
    short
        Make fewer calls.
    """
    calls = 2_000 if short else 20_000
    rows = [
        BenchRow("call at the entry node", size, _entry_us(size, calls), "us")
        for size in (10, 100, 1_000)
    ]
    rows.append(BenchRow("attempt at the owner node", 9, _owner_us(calls), "us"))
    rows.extend(balance_rows(short))
    rows.extend(retry_rows(short))
    rows.extend(flood_rows(short))
    return rows


def _entry_us(upstreams: int, calls: int) -> float:
    """Return the time in µs that an entry node spends on one call."""
    others = [backend_row(f"u{number}", "gusts") for number in range(upstreams)]
    world = traffic_world(backend_row("entry", None), others, _RULES).world
    now_us = 0
    start_ns = 0
    for number in range(calls + 100):
        if number == 100:
            start_ns = time.perf_counter_ns()
        now_us += _CALL_INTERVAL_US
        call_id = CallId(number)
        effects = world.tick(
            Micros(now_us), [CallArrived(call_id, "GET", "wind", "/gusts/wanli")]
        )
        offer = next(e.offer for e in effects if type(e) is OfferSend)
        answer = [
            AnswerBegun(NodeId("u"), offer.attempt_id, 200, 4),
            AnswerEnded(NodeId("u"), offer.attempt_id, True),
        ]
        world.tick(Micros(now_us + 50), answer)
    return (time.perf_counter_ns() - start_ns) / calls / 1_000


def _owner_us(calls: int) -> float:
    """Return the time in µs that an owner node spends on one attempt."""
    world = traffic_world(backend_row("owner", "gusts"), [], _RULES).world
    now_us = 0
    start_ns = 0
    for number in range(calls + 100):
        if number == 100:
            start_ns = time.perf_counter_ns()
        now_us += _CALL_INTERVAL_US
        attempt_id = AttemptId(f"entry/1/{number:x}")
        offer = AttemptOffer(
            NodeId("entry"),
            Address("entry:1"),
            attempt_id,
            ConnectionEpoch(1),
            ServiceName("gusts"),
            Rank.URGENT,
            True,
            Micros(1_000_000),
            None,
            Incarnation(1),
            number + 1,
        )
        world.tick(Micros(now_us), [offer])
        ended = [
            BackendCallBegun(attempt_id, 200),
            BackendCallEnded(attempt_id, True, True),
        ]
        world.tick(Micros(now_us + 50), ended)
    return (time.perf_counter_ns() - start_ns) / calls / 1_000
