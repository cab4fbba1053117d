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


_GONE_CALLER = (
    "the node closes its writing side after the caller's reset: OSError 107 ends the "
    "handler of the effect; test_answer_to_gone_caller"
)
_LATE_ACCEPT = (
    "a connection accepted as the drain ends stays open and silent until the process "
    "ends; test_stop_accepting"
)
_EARLY_HANGUP = "SIGHUP ends a process that has not set its handler yet"
_LATE_TERM = "a second SIGTERM after the loop has closed ends the process with code -15"
_SLOW_START = (
    "a node logged its start some 10 s after its process began and served nothing in "
    "the time for recovery; open: waits for a core were not measured yet"
)
_HELD_CALL = (
    "a call on a draining node was unanswered for 1.5 s or more and closed as the "
    "process ended; open: waits for a core were not measured yet"
)

REGRESSIONS: tuple[RegressionRow, ...] = (
    RegressionRow(1, 8, 20, _GONE_CALLER),
    RegressionRow(3, 8, 20, _LATE_ACCEPT),
    RegressionRow(4, 8, 20, _EARLY_HANGUP),
    RegressionRow(18, 8, 20, _GONE_CALLER),
    RegressionRow(19, 8, 20, _LATE_ACCEPT),
    RegressionRow(23, 8, 20, _EARLY_HANGUP),
    RegressionRow(24, 8, 20, _GONE_CALLER),
    RegressionRow(27, 8, 20, _LATE_ACCEPT),
    RegressionRow(29, 8, 20, _EARLY_HANGUP),
    RegressionRow(30, 8, 20, _LATE_ACCEPT),
    RegressionRow(32, 8, 20, _GONE_CALLER),
    RegressionRow(37, 8, 20, _HELD_CALL),
    RegressionRow(38, 8, 20, _SLOW_START),
    RegressionRow(39, 8, 20, _HELD_CALL),
    RegressionRow(42, 8, 20, _GONE_CALLER),
    RegressionRow(49, 8, 20, f"{_SLOW_START}; {_LATE_TERM}"),
    RegressionRow(55, 8, 20, _LATE_TERM),
    RegressionRow(57, 8, 20, _GONE_CALLER),
    RegressionRow(63, 8, 20, _LATE_ACCEPT),
    RegressionRow(73, 8, 20, _GONE_CALLER),
)
