"""Goodput and latency by rank while one rank floods four nodes.

The nodes run as real processes. The backend servers have few slots and a long
service time, which makes them the bottleneck: one load generator on a few
cores can then offer several times their capacity. The baseline of the long
form is a run with nodes that have one FIFO queue for all ranks.
"""

import asyncio
import tempfile
from collections.abc import Iterator
from pathlib import Path

from papayapost.states import Rank
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.floods import FloodDirector, FloodRow, FloodTables
from papayapost_testing.floods.plans import CAPACITY_PER_S
from papayapost_testing.floods.tables import FloodFault
from papayapost_testing.load import TallyRow, Verdict

__all__ = ["run"]

_PERCENTILES = (50, 99, 99.9)
_FLOODING_RANKS = (Rank.BULK, Rank.URGENT)
_FAULT_LOAD = 2.0
_SHORT_MS = 2_000
_LONG_MS = 8_000
_NODE_MODULE = "papayapost_node.main"
_FIFO_MODULE = "papayapost_testing.floods.fifo_node"


def run(short: bool) -> list[BenchRow]:
    """Return goodput and latency by rank and flood, and the error counts.

    An error count is a row whose name begins with ``must be 0``.

    Parameters
    ----------
    short
        Run shorter floods, none of them at five times the capacity.
    """
    baseline = FloodTables([])
    if not short:
        floods = [FloodRow(rank, 2.0, _LONG_MS) for rank in _FLOODING_RANKS]
        baseline = _run(floods, _FIFO_MODULE).floods
    director = _run(_plan(short), _NODE_MODULE)
    rows: list[BenchRow] = []
    for flood in director.floods.floods:
        rows += _flood_rows(flood, baseline.floods.get(flood.name))
    violations = len(director.tables.violations)
    rows.append(BenchRow("must be 0: late steps and exits", 0, violations, ""))
    return [*rows, *_zero_rows(director.floods)]


def _run(floods: list[FloodRow], node_module: str) -> FloodDirector:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run_director(floods, Path(folder), node_module))


async def _run_director(
    floods: list[FloodRow], folder: Path, node_module: str
) -> FloodDirector:
    director = FloodDirector(floods, folder, node_module)
    await director.run()
    return director


def _plan(short: bool) -> list[FloodRow]:
    loads = (0.5, 1.0, 2.0) if short else (0.5, 1.0, 2.0, 5.0)
    duration_ms = _SHORT_MS if short else _LONG_MS
    fault = FloodFault.KILL_AND_SLOW_STORE
    floods = [FloodRow(Rank.NORMAL, 1.5, duration_ms, base_load=0.0)]
    for rank in _FLOODING_RANKS:
        floods += [FloodRow(rank, load, duration_ms) for load in loads]
        floods.append(FloodRow(rank, _FAULT_LOAD, duration_ms, fault))
    return floods


def _flood_rows(flood: FloodRow, baseline: FloodRow | None) -> Iterator[BenchRow]:
    size = int(flood.load * 100)
    tallies = [tally for tally in flood.tallies.values() if tally.arrived]
    arrived = sum(tally.arrived for tally in tallies)
    complete = sum(tally.verdicts[Verdict.WHOLE] for tally in tallies)
    repeats = sum(tally.repeated for tally in tallies)
    for tally in tallies:
        baseline_tally = baseline.tallies[tally.rank] if baseline else None
        yield from _rank_rows(flood, tally, baseline_tally)
    rate = complete * 1e6 / (flood.ended_us - flood.started_us)
    yield BenchRow(f"{flood.name}: answered", size, rate, "calls/s", CAPACITY_PER_S)
    per_call = flood.counter_increase.attempts / max(1, flood.counter_increase.calls)
    yield BenchRow(f"{flood.name}: attempts per call at nodes", size, per_call, "")
    yield BenchRow(f"{flood.name}: repeats per call", size, repeats / arrived, "")
    per_core = flood.counter_increase.calls / max(0.01, flood.counter_increase.cpu_s)
    yield BenchRow(f"{flood.name}: calls per core", size, per_core, "calls/s")


def _rank_rows(
    flood: FloodRow, tally: TallyRow, baseline: TallyRow | None
) -> Iterator[BenchRow]:
    size = int(flood.load * 100)
    name = f"{flood.name}: {tally.rank.name.lower()}"
    baseline_value = _goodput(baseline) if baseline else None
    yield BenchRow(f"{name} goodput", size, _goodput(tally), "%", baseline_value)
    for verdict, calls in tally.verdicts.items():
        if calls and verdict is not Verdict.WHOLE:
            yield BenchRow(f"{name} {verdict.value}", size, calls, "calls")
    for percentile in _PERCENTILES:
        baseline_value = _latency_ms(baseline, percentile) if baseline else None
        value = _latency_ms(tally, percentile)
        yield BenchRow(f"{name} p{percentile:g}", size, value, "ms", baseline_value)


def _goodput(tally: TallyRow) -> float:
    return 100 * tally.verdicts[Verdict.WHOLE] / max(1, tally.arrived)


def _latency_ms(tally: TallyRow, percentile: float) -> float:
    return tally.latency_us.get_value_at_percentile(percentile) / 1_000


def _zero_rows(tables: FloodTables) -> Iterator[BenchRow]:
    floods = list(tables.floods)
    zeros = {
        "doubled keys": tables.repeated_keys,
        "untrue refusals": sum(flood.wrong_refusals for flood in floods),
        "answers without a run": sum(flood.missing_runs for flood in floods),
        "foreign or cut answers taken as whole": sum(
            tally.verdicts[Verdict.WRONG_ANSWER]
            for flood in floods
            for tally in flood.tallies.values()
        ),
    }
    for name, value in zeros.items():
        yield BenchRow(f"must be 0: {name}", len(floods), value, "")
    for flood in floods:
        urgent = flood.tallies.get(Rank.URGENT)
        if flood.rank is Rank.URGENT or urgent is None or not urgent.arrived:
            continue
        unanswered = urgent.arrived - urgent.verdicts[Verdict.WHOLE]
        name = f"must be 0: urgent unanswered, {flood.name}"
        yield BenchRow(name, urgent.arrived, unanswered, "")
