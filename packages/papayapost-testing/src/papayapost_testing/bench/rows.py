"""Rows that every benchmark returns."""

from dataclasses import dataclass

__all__ = ["BenchRow"]


@dataclass(frozen=True, slots=True)
class BenchRow:
    """One figure of a benchmark.

    Parameters
    ----------
    name
        What was measured, such as ``tick of one change``.
    size
        The size that it was measured at, such as a number of rows.
    value
        The figure, in `unit`.
    baseline_value
        The same figure of the baseline in the same run, or None.
    """

    name: str
    size: int
    value: float
    unit: str
    baseline_value: float | None = None

    @property
    def ratio(self) -> float | None:
        """Value over baseline, or None without a baseline."""
        return self.value / self.baseline_value if self.baseline_value else None
