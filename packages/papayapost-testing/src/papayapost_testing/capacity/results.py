"""Looks up results of the benchmarks by benchmark, row name and size."""

from pathlib import Path

import msgspec

from papayapost_testing.bench.rows import BenchRow

__all__ = ["BenchResults"]


class BenchResults:
    """The rows of a JSON file that the benchmarks wrote."""

    def __init__(self, rows: dict[str, list[BenchRow]]):
        self._rows = {
            (bench, row.name, row.size): row
            for bench, bench_rows in rows.items()
            for row in bench_rows
        }

    @classmethod
    def read(cls, path: Path) -> "BenchResults":
        """Read a JSON file of results.

        Raises
        ------
        OSError, msgspec.MsgspecError
            If the file cannot be read, or does not contain rows of benchmarks.
        """
        data = path.read_bytes()
        return cls(msgspec.json.decode(data, type=dict[str, list[BenchRow]]))

    def value(self, bench: str, name: str, size: int) -> float:
        """Return the value of one row, in the unit of the row.

        Raises
        ------
        KeyError
            If the file has no such row; a new run of the benchmark adds it.
        """
        return self._rows[bench, name, size].value

    def slope(self, bench: str, name: str, low: int, high: int) -> float:
        """Return the slope of a value by size, between two sizes.

        Raises
        ------
        KeyError
            If the file lacks the row of one of the sizes.
        """
        rise = self.value(bench, name, high) - self.value(bench, name, low)
        return rise / (high - low)
