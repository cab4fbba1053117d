"""Time per call and memory of the event recorder and the call meter."""

import asyncio
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

from papayapost.ids import DataCentreId, NodeId, ServiceName
from papayapost.states import Rank
from papayapost_node.clock import SystemClock
from papayapost_node.observe import (
    EVENT_BUFFER_ROWS,
    CallMeter,
    EventRecorder,
    Hop,
    RunnerObserver,
)
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.observed_calls import ObservedCalls

__all__ = ["run"]

_ROUNDS = 15
_WARM_UP_CALLS = 200
_EVENTS_PER_CALL = 7
_SERVICES = 810

ObserverFactory = Callable[[], Sequence[RunnerObserver]]


def run(short: bool) -> list[BenchRow]:
    """Return the time per call in µs, and the memory of full observers.

    The baseline of a time is the same call without an observer. Rounds of the
    variants alternate, and each figure is the median over the rounds.

    Parameters
    ----------
    short
        Make fewer calls in each round.
    """
    calls = 300 if short else 2_000
    rows = asyncio.run(_time_rows(calls))
    rows.append(
        _memory_row("memory of the recorder, events", EVENT_BUFFER_ROWS, _full_recorder)
    )
    rows.append(_memory_row("memory of the meter, services", _SERVICES, _full_meter))
    return rows


async def _time_rows(calls: int) -> list[BenchRow]:
    variants: dict[str, ObserverFactory] = {
        "call, nobody": list,
        "call, recorder": lambda: [_recorder()],
        "call, meter": lambda: [CallMeter(SystemClock())],
        "call, recorder and meter": lambda: [_recorder(), CallMeter(SystemClock())],
    }
    observed_by_variant = {
        name: ObservedCalls(create()) for name, create in variants.items()
    }
    rounds: dict[str, list[float]] = {name: [] for name in variants}
    for observed in observed_by_variant.values():
        _call_us(observed, _WARM_UP_CALLS)
    for _ in range(_ROUNDS):
        for name, observed in observed_by_variant.items():
            rounds[name].append(_call_us(observed, calls))
    for observed in observed_by_variant.values():
        observed.close()
    medians = {name: statistics.median(values) for name, values in rounds.items()}
    unobserved_us = medians.pop("call, nobody")
    return [
        BenchRow(name, calls, value, "us", unobserved_us)
        for name, value in medians.items()
    ]


def _call_us(observed: ObservedCalls, calls: int) -> float:
    start_ns = time.perf_counter_ns()
    for _ in range(calls):
        observed.run_one()
    return (time.perf_counter_ns() - start_ns) / calls / 1_000


def _memory_row(name: str, size: int, create: Callable[[], object]) -> BenchRow:
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    observer = create()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del observer
    return BenchRow(name, size, (after_bytes - before_bytes) / (1 << 20), "MB")


def _recorder() -> EventRecorder:
    return EventRecorder(NodeId("node"), DataCentreId("north-1"), SystemClock())


def _full_recorder() -> EventRecorder:
    recorder = _recorder()
    asyncio.run(_run_calls(recorder, EVENT_BUFFER_ROWS // _EVENTS_PER_CALL + 1))
    return recorder


async def _run_calls(recorder: EventRecorder, calls: int) -> None:
    observed = ObservedCalls([recorder])
    for _ in range(calls):
        observed.run_one()
    observed.close()


def _full_meter() -> CallMeter:
    meter = CallMeter(SystemClock())
    for hop in Hop:
        for rank in Rank:
            meter.record(hop, rank, 1_000)
    for number in range(_SERVICES):
        meter.record_service(ServiceName(f"service-{number}"), 1_000)
    return meter
