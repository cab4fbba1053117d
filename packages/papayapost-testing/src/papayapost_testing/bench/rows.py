"""Result rows, which every benchmark returns."""

from dataclasses import dataclass

__all__ = ["BenchRow"]


@dataclass(frozen=True, slots=True)
class BenchRow:
    """One figure of a benchmark.

    Parameters
    ----------
    name
        What the benchmark measured, such as ``tick of one change``.
    size
        Size of the input, such as a number of rows; the name of the row or
        the benchmark says what it counts.
    value
        Measured figure, in `unit`.
    baseline_value
        Figure of the baseline in the same run, in `unit`; None without one.
    """

    name: str
    size: int
    value: float
    unit: str
    baseline_value: float | None = None

    @property
    def ratio(self) -> float | None:
        """Value divided by the baseline value, or None without a baseline."""
        return self.value / self.baseline_value if self.baseline_value else None
