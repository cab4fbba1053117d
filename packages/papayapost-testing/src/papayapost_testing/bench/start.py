"""Processor time and memory of a node's imports, beside an earlier build's.

The variables ``PAPAYAPOST_BUILD`` and ``PAPAYAPOST_BASELINE`` name the folders
that `deploy/build.sh` made of this and of an earlier version. Both are started
in turn, so that the load of the machine weighs on both alike. Without the
first one, the packages of this process are measured.
"""

import os
import resource
import sys
from pathlib import Path
from statistics import median

from papayapost_testing.bench.rows import BenchRow

__all__ = ["run"]

_BUILD_VARIABLE = "PAPAYAPOST_BUILD"
_BASELINE_VARIABLE = "PAPAYAPOST_BASELINE"
_SHORT_ROUNDS = 5
_LONG_ROUNDS = 25
_IMPORTS = "import papayapost_platform, papayapost_node.main"
_BARE = "pass"


def run(short: bool) -> list[BenchRow]:
    """Return the median cost of the imports of a node on the platform.

    Parameters
    ----------
    short
        Start fewer processes.
    """
    baseline = os.environ.get(_BASELINE_VARIABLE)
    paths = [os.environ.get(_BUILD_VARIABLE, os.pathsep.join(sys.path))]
    paths += [baseline] if baseline else []
    starts: dict[str, list[tuple[float, float]]] = {path: [] for path in paths}
    bare: list[tuple[float, float]] = []
    for _ in range(_SHORT_ROUNDS if short else _LONG_ROUNDS):
        bare.append(_start(_BARE, paths[0]))
        for path in paths:
            starts[path].append(_start(_IMPORTS, path))
    figures = [_medians(starts[path]) for path in paths]
    earlier = figures[1] if baseline else (None, None)
    return [
        BenchRow("bare interpreter, processor time", 1, _medians(bare)[0], "ms"),
        BenchRow("imports, processor time", 1, figures[0][0], "ms", earlier[0]),
        BenchRow("imports, memory at most", 1, figures[0][1], "MB", earlier[1]),
    ]


def _medians(starts: list[tuple[float, float]]) -> tuple[float, float]:
    return median(cpu for cpu, _ in starts), median(memory for _, memory in starts)


def _start(script: str, path: str) -> tuple[float, float]:
    """Run a script; return its processor time in ms and its memory in MB."""
    environment = {**os.environ, "PYTHONPATH": path}
    command = [sys.executable, "-S", "-c", script]
    process_id = os.posix_spawn(Path(sys.executable), command, environment)
    _, status, usage = os.wait4(process_id, 0)
    if status:
        raise RuntimeError(f"{script!r} failed with status {status}, path {path}")
    return _cpu_ms(usage), usage.ru_maxrss / 1024


def _cpu_ms(usage: resource.struct_rusage) -> float:
    return (usage.ru_utime + usage.ru_stime) * 1000
