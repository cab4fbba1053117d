"""Exit codes of papaya."""

from enum import IntEnum

from papayapost.errors import ErrorCode, PapayapostError

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """Exit codes by which scripts can tell the outcomes of a command apart.

    docs/PAPAYA.md describes them.
    """

    DONE = 0
    STORE_UNAVAILABLE = 1
    REFUSED = 2
    OVERTAKEN = 3
    OUTCOME_UNKNOWN = 4
    INTERNAL_ERROR = 70
    INTERRUPTED = 130


_EXIT_CODES = {
    ErrorCode.STORE_UNAVAILABLE: ExitCode.STORE_UNAVAILABLE,
    ErrorCode.RULES_REFUSED: ExitCode.REFUSED,
    ErrorCode.SETTINGS_REFUSED: ExitCode.REFUSED,
    ErrorCode.USAGE_REFUSED: ExitCode.REFUSED,
    ErrorCode.FILE_UNREADABLE: ExitCode.REFUSED,
    ErrorCode.RULES_OVERTAKEN: ExitCode.OVERTAKEN,
    ErrorCode.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorCode.INTERRUPTED: ExitCode.INTERRUPTED,
}


def exit_code_of(error: PapayapostError | None) -> ExitCode:
    """Return the exit code for a command's error, or DONE without an error."""
    if error is None:
        return ExitCode.DONE
    return _EXIT_CODES.get(error.code, ExitCode.INTERNAL_ERROR)
