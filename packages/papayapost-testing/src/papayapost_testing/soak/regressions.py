"""Seeds that have failed, each with the cause that was found."""

from dataclasses import dataclass

__all__ = ["REGRESSIONS", "RegressionRow"]


@dataclass(frozen=True, slots=True)
class RegressionRow:
    """A seed that has failed once.

    Parameters
    ----------
    seconds
        Time in s in which faults begin.
    cause
        Cause of the failure, in one line.
    """

    seed: int
    nodes: int
    seconds: float
    cause: str


REGRESSIONS: tuple[RegressionRow, ...] = ()
