"""Defines the errors that papayapost raises; each has a stable code.

The hundreds digit of a code gives its group: 1xx rules, 2xx settings, 3xx
object store, 4xx messages between nodes, 5xx backend server reports, 7xx
the operators' command line tool, 9xx faults of papayapost itself.
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
    "StoredValueUnreadable",
    "SurroundingsUnknown",
    "UnknownRow",
    "UsageRefused",
]


class ErrorCode(Enum):
    """Stable code of an error, printed as ``PP`` and the number, as PP101."""

    RULES_REFUSED = 101
    SETTINGS_REFUSED = 201
    ADDRESS_UNAVAILABLE = 202
    SURROUNDINGS_UNKNOWN = 203
    STORE_UNAVAILABLE = 301
    STORE_CONFLICT = 302
    STORED_VALUE_UNREADABLE = 303
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
    """Base class of all errors; programs tell errors apart by ``code``."""

    code: ErrorCode

    def __str__(self):
        return f"{self.code}: {super().__str__()}"


class FindingsError(PapayapostError):
    """An error that reports one or more findings, each with its location.

    Parameters
    ----------
    findings
        All findings in file order; at least one.
    """

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))

    @property
    def summary(self) -> str:
        """The code and the number of findings, for use after their list."""
        count = len(self.findings)
        return f"{self.code}: {count} finding{'s' if count > 1 else ''}"


class RulesRefused(FindingsError):
    """A rules text has findings; none of its rules is accepted."""

    code = ErrorCode.RULES_REFUSED


class SettingsRefused(FindingsError):
    """A settings file has findings and is not applied."""

    code = ErrorCode.SETTINGS_REFUSED


class AddressUnavailable(PapayapostError):
    """The process cannot listen on an address from the settings."""

    code = ErrorCode.ADDRESS_UNAVAILABLE

    def __init__(self, setting: str, address: str, reason: object):
        super().__init__(
            f"{setting} {address} cannot be bound: {reason}; set it to a free port "
            "of an IP address of this VM"
        )


class SurroundingsUnknown(PapayapostError):
    """The module that the setting `surroundings` names cannot be loaded."""

    code = ErrorCode.SURROUNDINGS_UNKNOWN

    def __init__(self, module: str, reason: object):
        super().__init__(
            f"cannot load the surroundings module {module!r}: {reason}; name an "
            "installed module that defines SURROUNDINGS"
        )


class ReportRefused(PapayapostError):
    """A report is malformed, or is about another node's backend server."""

    code = ErrorCode.REPORT_REFUSED


class StoreUnavailable(PapayapostError):
    """The object store did not answer; a write may have taken effect."""

    code = ErrorCode.STORE_UNAVAILABLE


class StoredValueUnreadable(StoreUnavailable):
    """The object store holds an object whose value does not decode."""

    code = ErrorCode.STORED_VALUE_UNREADABLE


class StoreConflict(PapayapostError):
    """A conditional update expected a version that is no longer current."""

    code = ErrorCode.STORE_CONFLICT

    def __init__(self, name: str, expected_version: int, current_version: int):
        self.current_version = current_version
        super().__init__(
            f"{name} is at version {current_version}, not at the expected "
            f"{expected_version}; read it again before the next update"
        )


class DeltaRefused(PapayapostError):
    """A rules delta does not turn the stored text into the announced one."""

    code = ErrorCode.DELTA_REFUSED


class SnapshotRefused(PapayapostError):
    """A rules snapshot is too large or differs from its announcement."""

    code = ErrorCode.SNAPSHOT_REFUSED


class FrameError(PapayapostError):
    """A frame from a peer cannot be decoded to a known message."""

    code = ErrorCode.FRAME_MALFORMED


class CreditExceeded(PapayapostError):
    """A peer sent more bytes of a body than its flow-control credit."""

    code = ErrorCode.CREDIT_EXCEEDED

    def __init__(self, size_bytes: int, granted_bytes: int):
        super().__init__(
            f"received {size_bytes} bytes of a body with a credit of "
            f"{granted_bytes} bytes; check the versions of the two nodes"
        )


class UsageRefused(PapayapostError):
    """A command was called with arguments that it does not accept."""

    code = ErrorCode.USAGE_REFUSED


class FileUnreadable(PapayapostError):
    """A file that was given to a command cannot be read."""

    code = ErrorCode.FILE_UNREADABLE

    def __init__(self, path: str, reason: str):
        super().__init__(f"cannot read {path}: {reason}; name a readable file")


class RulesOvertaken(PapayapostError):
    """Another operator wrote a newer rules version; nothing was written."""

    code = ErrorCode.RULES_OVERTAKEN


class OutcomeUnknown(PapayapostError):
    """It is unknown whether the store accepted a rules version.

    The version may already be in force, or may come into force later.
    """

    code = ErrorCode.OUTCOME_UNKNOWN


class Interrupted(PapayapostError):
    """A command was interrupted before it completed."""

    code = ErrorCode.INTERRUPTED

    def __init__(self):
        super().__init__(
            "interrupted; if the command was 'papaya apply', 'papaya log' shows "
            "whether its version is in the store"
        )


class InternalError(PapayapostError):
    """papayapost raised an exception that none of its code expects."""

    code = ErrorCode.INTERNAL_ERROR

    def __init__(self, error: BaseException):
        super().__init__(
            f"{type(error).__name__}: {error}; this is a bug in papayapost, "
            "please report it with the command that triggers it"
        )


class UnknownRow(PapayapostError):
    """A table has no row for the requested key."""

    code = ErrorCode.UNKNOWN_ROW

    def __init__(self, table: str, key: object):
        super().__init__(
            f"table {table!r} has no row for key {key!r}; use get() where the "
            "row may be missing"
        )
