"""Results of the benchmarks, found by benchmark, name and size."""

from pathlib import Path

import msgspec

from papayapost_testing.bench.rows import BenchRow

__all__ = ["BenchResults"]


class BenchResults:
    """The rows of a file that the benchmarks wrote."""

    def __init__(self, rows: dict[str, list[BenchRow]]):
        self._rows = {
            (bench, row.name, row.size): row
            for bench, found in rows.items()
            for row in found
        }

    @classmethod
    def read(cls, path: Path) -> "BenchResults":
        """Read a file of results.

        Raises
        ------
        OSError, msgspec.MsgspecError
            If it cannot be read or is no such file.
        """
        data = path.read_bytes()
        return cls(msgspec.json.decode(data, type=dict[str, list[BenchRow]]))

    def value(self, bench: str, name: str, size: int) -> float:
        """Return a figure.

        Raises
        ------
        KeyError
            If the benchmark gave no such row; run it again.
        """
        return self._rows[bench, name, size].value

    def slope(self, bench: str, name: str, low: int, high: int) -> float:
        """Return the growth for each unit of size between two sizes."""
        rise = self.value(bench, name, high) - self.value(bench, name, low)
        return rise / (high - low)
