"""Runs the benchmarks and prints a table of figures for each."""

import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

import fire
import msgspec

from papayapost_testing import bench
from papayapost_testing.bench.rows import BenchRow

__all__ = ["main"]

_HELPER_MODULES = frozenset(["__main__", "herd", "rows"])


def benchmark_names() -> list[str]:
    """Return the names of the modules of this package that are benchmarks."""
    names = [module.name for module in iter_modules(bench.__path__)]
    return [name for name in names if name not in _HELPER_MODULES]


def run(*names: str, long: bool = False, output: str = "") -> None:
    """Run benchmarks and print a table of figures for each.

    Parameters
    ----------
    names
        Benchmarks to run; all of them if no name is given.
    long
        Run the long form, which gives the figures in the documentation.
    output
        Path of a JSON file of results. The rows of the benchmarks that run
        replace their earlier rows in it; no file is written without a path.
    """
    available = benchmark_names()
    unknown = sorted(set(names) - set(available))
    if unknown:
        sys.exit(
            f"no benchmark {', '.join(unknown)}; choose from {', '.join(available)}"
        )
    results: dict[str, list[BenchRow]] = {}
    for name in names or available:
        module = import_module(f"papayapost_testing.bench.{name}")
        print(f"== {name}", flush=True)
        results[name] = module.run(short=not long)
        print_rows(results[name])
    if output:
        write_rows(Path(output), results)


def print_rows(rows: Sequence[BenchRow]) -> None:
    """Print rows as a table, with the ratio of each value to its baseline."""
    for row in rows:
        ratio = f"{row.ratio:9.3f} x baseline" if row.ratio is not None else ""
        figure = f"{row.value:14,.3f} {row.unit:<16}"
        print(f"{row.name:<56} {row.size:>8,} {figure} {ratio}")


def write_rows(path: Path, results: dict[str, list[BenchRow]]) -> None:
    """Replace the rows of some benchmarks in a JSON file of results."""
    stored: dict = {}
    if path.exists():
        stored = msgspec.json.decode(path.read_bytes())
    stored.update(msgspec.to_builtins(results))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(stored), indent=1))


def main() -> None:
    """Run the command line of ``python -m papayapost_testing.bench``."""
    fire.Fire(run, name="bench")


if __name__ == "__main__":
    main()
