"""Service by rank while one rank floods four nodes, as real processes.

The backend servers' few slots and long service time are the bottleneck, so
that one load generator and a few cores can offer several times the capacity.
The baseline of one queue for all ranks is in the benchmark ``traffic``, in
virtual time.
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
_FLOODING = (Rank.BULK, Rank.URGENT)
_FAULT_LOAD = 2.0


def run(short: bool) -> list[BenchRow]:
    """Return goodput and latency by rank and flood, and what must be zero.

    Parameters
    ----------
    short
        Shorter floods, and none of five times the capacity.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(_plan(short), Path(folder)))


async def _run(floods: list[FloodRow], folder: Path) -> list[BenchRow]:
    director = FloodDirector(floods, folder)
    await director.run()
    rows = [row for flood in director.floods.floods for row in _rows_of(flood)]
    broken = len(director.tables.broken)
    rows.append(BenchRow("must be 0: late steps and exits", 0, broken, ""))
    return [*rows, *_zero_rows(director.floods)]


def _plan(short: bool) -> list[FloodRow]:
    loads = (0.5, 1.0, 2.0) if short else (0.5, 1.0, 2.0, 5.0)
    duration_ms = 2_000 if short else 8_000
    fault = FloodFault.KILL_AND_SLOW_STORE
    floods = [FloodRow(Rank.NORMAL, 1.5, duration_ms, others_load=0.0)]
    for rank in _FLOODING:
        floods += [FloodRow(rank, load, duration_ms) for load in loads]
        floods.append(FloodRow(rank, _FAULT_LOAD, duration_ms, fault))
    return floods


def _rows_of(flood: FloodRow) -> Iterator[BenchRow]:
    size = int(flood.load * 100)
    tallies = [tally for tally in flood.tallies.values() if tally.arrived]
    arrived = sum(tally.arrived for tally in tallies)
    whole = sum(tally.verdicts[Verdict.WHOLE] for tally in tallies)
    repeated = sum(tally.repeated for tally in tallies)
    for tally in tallies:
        yield from _rank_rows(flood, tally)
    rate = whole * 1e6 / (flood.ended_us - flood.begun_us)
    yield BenchRow(f"{flood.name}: answered", size, rate, "calls/s", CAPACITY_PER_S)
    per_call = flood.used.attempts / max(1, flood.used.calls)
    yield BenchRow(f"{flood.name}: attempts per call at nodes", size, per_call, "")
    yield BenchRow(f"{flood.name}: repeats per call", size, repeated / arrived, "")
    per_core = flood.used.calls / max(0.01, flood.used.cpu_s)
    yield BenchRow(f"{flood.name}: calls per core", size, per_core, "calls/s")


def _rank_rows(flood: FloodRow, tally: TallyRow) -> Iterator[BenchRow]:
    size = int(flood.load * 100)
    name = f"{flood.name}: {tally.rank.name.lower()}"
    goodput = 100 * tally.verdicts[Verdict.WHOLE] / tally.arrived
    yield BenchRow(f"{name} goodput", size, goodput, "%")
    for percentile in _PERCENTILES:
        value_ms = tally.latency_us.get_value_at_percentile(percentile) / 1_000
        yield BenchRow(f"{name} p{percentile:g}", size, value_ms, "ms")


def _zero_rows(tables: FloodTables) -> Iterator[BenchRow]:
    floods = list(tables.floods)
    zeros = {
        "doubled keys": tables.doubled_keys,
        "untrue refusals": sum(flood.untrue_refusals for flood in floods),
        "answers without a run": sum(flood.missing_runs for flood in floods),
        "foreign or cut answers taken as whole": sum(
            tally.verdicts[Verdict.FOREIGN]
            for flood in floods
            for tally in flood.tallies.values()
        ),
    }
    for name, value in zeros.items():
        yield BenchRow(f"must be 0: {name}", len(floods), value, "")
    for flood in floods:
        if flood.rank is not Rank.URGENT and Rank.URGENT in flood.tallies:
            urgent = flood.tallies[Rank.URGENT]
            missed = urgent.arrived - urgent.verdicts[Verdict.WHOLE]
            name = f"must be 0: urgent unanswered, {flood.name}"
            yield BenchRow(name, urgent.arrived, missed, "")
