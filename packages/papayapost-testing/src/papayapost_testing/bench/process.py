"""Memory and CPU time of a node process without calls."""

import asyncio
import tempfile
from pathlib import Path

import psutil

from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.latency_mesh.processes import BenchMesh, process_cpu_us

__all__ = ["run"]

_SHORT_S = 3
_LONG_S = 15


def run(short: bool) -> list[BenchRow]:
    """Return the memory and CPU time of an idle owner node.

    Parameters
    ----------
    short
        Measure for a shorter time.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(Path(folder), _SHORT_S if short else _LONG_S))


async def _run(folder: Path, seconds: int) -> list[BenchRow]:
    mesh = await BenchMesh.start(folder)
    try:
        owner = mesh.node_pids[0]
        before_us = process_cpu_us(owner)
        await asyncio.sleep(seconds)
        idle_core = (process_cpu_us(owner) - before_us) / seconds / 1e6
        memory = psutil.Process(owner).memory_full_info()
    finally:
        await mesh.close()
    return [
        BenchRow("idle node", 2, idle_core * 100, "% of a core"),
        BenchRow("resident memory of a node", 2, memory.rss / 1e6, "MB"),
        BenchRow("of it, private to the process", 2, memory.uss / 1e6, "MB"),
    ]
