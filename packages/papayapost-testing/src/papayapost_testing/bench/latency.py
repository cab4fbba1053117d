"""Latency and CPU time that nodes add to a call.

Each run alternates between calls directly to the backend server, calls over
one node and calls over two nodes, so that changes in the load of the machine
affect all three alike.
"""

import asyncio
import tempfile
from pathlib import Path

from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.latency_mesh.caller import WARM_UP_CALLS
from papayapost_testing.latency_mesh.processes import (
    BenchMesh,
    measure_calls,
    process_cpu_us,
)

__all__ = ["run"]

_RATES_PER_S = (150, 600, 1_200)
# With rate 0, a call is sent when the one before is answered.
_BACK_TO_BACK = 0
_PERCENTILES = (50.0, 99.0, 99.9)
_PATHS = ("direct", "one node", "two nodes")


def run(short: bool) -> list[BenchRow]:
    """Return percentiles of the added latency in µs, by path and rate.

    The baseline is the same percentile of the direct calls.

    Parameters
    ----------
    short
        Make fewer calls, at fewer rates.
    """
    return asyncio.run(_run(short))


async def _run(short: bool) -> list[BenchRow]:
    rates = (300, _BACK_TO_BACK) if short else (*_RATES_PER_S, _BACK_TO_BACK)
    rows: list[BenchRow] = []
    with tempfile.TemporaryDirectory() as folder:
        mesh = await BenchMesh.start(Path(folder))
        try:
            for rate in rates:
                rows += await _measure_latency(mesh, rate, short)
            rows += await _measure_cpu(mesh, short)
        finally:
            await mesh.close()
    return rows


async def _measure_latency(mesh: BenchMesh, rate: int, short: bool) -> list[BenchRow]:
    calls = 1_500 if short else 4 * (rate or 2_000)
    addresses = [mesh.backend_address, mesh.owner_address, mesh.entry_address]
    times_us = await measure_calls(calls, rate, addresses)
    rows = []
    for percentile in _PERCENTILES:
        direct_us = _percentile(times_us[0], percentile)
        for path, path_times_us in zip(_PATHS[1:], times_us[1:], strict=True):
            added_us = _percentile(path_times_us, percentile) - direct_us
            name = f"{path}, added, p{percentile:g}, calls/s"
            rows.append(BenchRow(name, rate, added_us, "us", direct_us))
    return rows


async def _measure_cpu(mesh: BenchMesh, short: bool) -> list[BenchRow]:
    """Return the CPU time of each node per call, in µs.

    The paths are measured one after the other, to attribute the time of a
    node to one path.
    """
    calls, rate = (600, 600) if short else (4_000, 1_000)
    rows = []
    for path, address in (
        ("one node", mesh.owner_address),
        ("two nodes", mesh.entry_address),
    ):
        before = [process_cpu_us(pid) for pid in mesh.node_pids]
        await measure_calls(calls, rate, [address])
        used = [
            (process_cpu_us(pid) - start) / (calls + WARM_UP_CALLS)
            for pid, start in zip(mesh.node_pids, before, strict=True)
        ]
        for node, value in zip(("owner", "entry"), used, strict=True):
            if path == "two nodes" or node == "owner":
                name = f"{path}, processor time a call, {node} node"
                rows.append(BenchRow(name, rate, value, "us"))
    return rows


def _percentile(values: list[float], percentile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percentile / 100))]
