"""Runs the soak and exits with code 1 if a promise was broken."""

import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import fire

from papayapost_testing.soak.mesh import MAX_NODES
from papayapost_testing.soak.regressions import REGRESSIONS
from papayapost_testing.soak.run import Soak, SoakSize
from papayapost_testing.soak.wire import Wire, load_wire

__all__ = ["run"]

_SURROUNDINGS = "platform/tests"
_FRESH_SEEDS_FROM = 1_000_000


def run(
    seed: int = 1,
    seeds: str = "",
    fresh_minutes: float = 0,
    regressions: bool = False,
    nodes: int = 8,
    seconds: float = 20,
    keep: str = "",
    surroundings: str = _SURROUNDINGS,
) -> None:
    """Run seeds one after the other, and print a line for each.

    Parameters
    ----------
    seed
        Seed to run, unless one of the next three options is given.
    seeds
        First and last seed, as in ``1-50``.
    fresh_minutes
        Time in minutes in which to run seeds that no run had before.
    regressions
        Run the seeds that have failed before, with their own sizes.
    nodes
        Number of nodes, 240 at most.
    seconds
        Time in s in which faults begin, for each seed.
    keep
        Folder in which the settings, logs and reports of failed seeds are
        kept. By default nothing is kept.
    surroundings
        Folder of the module ``soak_wire``, which speaks with the nodes.
    """
    if not 2 <= nodes <= MAX_NODES:
        sys.exit(f"cannot run {nodes} nodes; use 2 to {MAX_NODES}")
    wire = load_wire(Path(surroundings))
    size = SoakSize(nodes, seconds)
    if regressions:
        sized = ((row.seed, SoakSize(row.nodes, row.seconds)) for row in REGRESSIONS)
    elif fresh_minutes:
        sized = ((item, size) for item in _fresh_seeds(fresh_minutes))
    else:
        sized = ((item, size) for item in _seeds_of(seeds or str(seed)))
    failed = []
    for item, item_size in sized:
        if not _run_seed(item, item_size, wire, keep):
            failed.append(item)
    if failed:
        print(f"failed seeds: {', '.join(map(str, failed))}", flush=True)
    sys.exit(1 if failed else 0)


def _seeds_of(text: str) -> range:
    first, _, last = str(text).partition("-")
    return range(int(first), int(last or first) + 1)


def _fresh_seeds(minutes: float) -> Iterator[int]:
    due_s = time.monotonic() + minutes * 60
    while time.monotonic() < due_s:
        yield random.randrange(_FRESH_SEEDS_FROM, 1 << 31)


def _run_seed(seed: int, size: SoakSize, wire: Wire, keep: str) -> bool:
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / f"seed-{seed}"
        folder.mkdir()
        try:
            report = asyncio.run(_run(seed, size, folder, wire))
            is_clean = report.is_clean
            print(report.line(), *report.finding_lines(), sep="\n", flush=True)
        finally:
            is_failed = sys.exc_info()[0] is not None or not is_clean
            if keep and is_failed:
                kept = Path(keep) / folder.name
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    return is_clean


async def _run(seed: int, size: SoakSize, folder: Path, wire: Wire):
    # A soak that is terminated ends the processes that it has started.
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await Soak(seed, size, folder, wire).run()


if __name__ == "__main__":
    fire.Fire(run, name="soak")
