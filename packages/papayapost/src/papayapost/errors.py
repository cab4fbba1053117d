"""Every error that papayapost raises, each with a stable code.

Codes are grouped by hundreds: 1xx rules, 2xx settings, 3xx store, 4xx
messages between nodes, 5xx calls, 7xx operators' tool, 9xx faults of the
program itself.
"""

from collections.abc import Sequence
from enum import Enum

from papayapost.findings import Finding

__all__ = [
    "AddressUnavailable",
    "CreditExceeded",
    "DeltaRefused",
    "ErrorCode",
    "FileUnreadable",
    "FindingsError",
    "FrameError",
    "InternalError",
    "Interrupted",
    "OutcomeUnknown",
    "PapayapostError",
    "ReportRefused",
    "RulesOvertaken",
    "RulesRefused",
    "SettingsRefused",
    "SnapshotRefused",
    "StoreConflict",
    "StoreUnavailable",
    "SurroundingsUnknown",
    "UnknownRow",
    "UsageRefused",
]


class ErrorCode(Enum):
    """Stable code of an error, printed as ``PP`` and its number."""

    RULES_REFUSED = 101
    SETTINGS_REFUSED = 201
    ADDRESS_UNAVAILABLE = 202
    SURROUNDINGS_UNKNOWN = 203
    STORE_UNAVAILABLE = 301
    STORE_CONFLICT = 302
    DELTA_REFUSED = 310
    SNAPSHOT_REFUSED = 311
    FRAME_MALFORMED = 401
    CREDIT_EXCEEDED = 402
    REPORT_REFUSED = 501
    USAGE_REFUSED = 701
    FILE_UNREADABLE = 702
    RULES_OVERTAKEN = 703
    OUTCOME_UNKNOWN = 704
    INTERRUPTED = 705
    UNKNOWN_ROW = 901
    INTERNAL_ERROR = 902

    def __str__(self):
        return f"PP{self.value}"


class PapayapostError(Exception):
    """Base of all errors; ``code`` identifies the kind for programs."""

    code: ErrorCode

    def __str__(self):
        return f"{self.code}: {super().__str__()}"


class FindingsError(PapayapostError):
    """Several findings, reported together with their places.

    Parameters
    ----------
    findings
        Everything that was found, in file order; never empty.
    """

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))

    @property
    def summary(self) -> str:
        """One line, for where the findings are told already."""
        count = len(self.findings)
        return f"{self.code}: {count} finding{'s' if count > 1 else ''}"


class RulesRefused(FindingsError):
    """A rules text has findings and is refused whole."""

    code = ErrorCode.RULES_REFUSED


class SettingsRefused(FindingsError):
    """A settings file has findings; the process does not start."""

    code = ErrorCode.SETTINGS_REFUSED


class AddressUnavailable(PapayapostError):
    """An address of the settings cannot be listened on."""

    code = ErrorCode.ADDRESS_UNAVAILABLE

    def __init__(self, setting: str, address: str, reason: object):
        super().__init__(
            f"{setting} {address} cannot be listened on: {reason}; name a free port "
            "of an IP number of this VM"
        )


class SurroundingsUnknown(PapayapostError):
    """The settings name surroundings that cannot be loaded."""

    code = ErrorCode.SURROUNDINGS_UNKNOWN

    def __init__(self, module: str, reason: object):
        super().__init__(
            f"the surroundings {module!r} cannot be loaded: {reason}; name an "
            "installed module that has SURROUNDINGS"
        )


class ReportRefused(PapayapostError):
    """A backend server's report cannot be read or names another one."""

    code = ErrorCode.REPORT_REFUSED


class StoreUnavailable(PapayapostError):
    """The object store gave no answer; a write may have taken effect."""

    code = ErrorCode.STORE_UNAVAILABLE


class StoreConflict(PapayapostError):
    """A conditional update named a version that is no longer current."""

    code = ErrorCode.STORE_CONFLICT

    def __init__(self, name: str, expected_version: int, current_version: int):
        self.current_version = current_version
        super().__init__(
            f"{name} is no longer at version {expected_version} but at "
            f"{current_version}; read it and decide again"
        )


class DeltaRefused(PapayapostError):
    """A delta of the rules does not lead from the held text to its result."""

    code = ErrorCode.DELTA_REFUSED


class SnapshotRefused(PapayapostError):
    """A snapshot of the rules is too large or not what was announced."""

    code = ErrorCode.SNAPSHOT_REFUSED


class FrameError(PapayapostError):
    """A frame from a peer does not decode to a known message."""

    code = ErrorCode.FRAME_MALFORMED


class CreditExceeded(PapayapostError):
    """A peer sent more of a body than it was granted."""

    code = ErrorCode.CREDIT_EXCEEDED

    def __init__(self, size_bytes: int, granted_bytes: int):
        super().__init__(
            f"{size_bytes} bytes of a body arrived where {granted_bytes} were "
            "granted; check the versions of the two nodes"
        )


class UsageRefused(PapayapostError):
    """A command was given arguments that it does not take."""

    code = ErrorCode.USAGE_REFUSED


class FileUnreadable(PapayapostError):
    """A file that a command names cannot be read."""

    code = ErrorCode.FILE_UNREADABLE

    def __init__(self, path: str, reason: str):
        super().__init__(f"{path} cannot be read: {reason}; name a readable file")


class RulesOvertaken(PapayapostError):
    """Another operator's version came first; nothing was written."""

    code = ErrorCode.RULES_OVERTAKEN


class OutcomeUnknown(PapayapostError):
    """A version was sent to the store and may be, or get, in force."""

    code = ErrorCode.OUTCOME_UNKNOWN


class Interrupted(PapayapostError):
    """A command was interrupted before it had ended."""

    code = ErrorCode.INTERRUPTED

    def __init__(self):
        super().__init__(
            "interrupted; if this was an apply, 'papaya log' shows whether its "
            "version is in the store"
        )


class InternalError(PapayapostError):
    """The program met a state that it was not written for."""

    code = ErrorCode.INTERNAL_ERROR

    def __init__(self, error: BaseException):
        super().__init__(
            f"{type(error).__name__}: {error}; this is a fault of papayapost, "
            "please report it with the command that shows it"
        )


class UnknownRow(PapayapostError):
    """A table holds no row under the key that was asked for."""

    code = ErrorCode.UNKNOWN_ROW

    def __init__(self, table: str, key: object):
        super().__init__(
            f"table {table!r} has no row {key!r}; use get() where a missing "
            "row is expected"
        )
