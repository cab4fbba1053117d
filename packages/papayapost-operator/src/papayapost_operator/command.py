"""The base class of papaya's commands and the types of their results."""

from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost.define import define
from papayapost.errors import FindingsError, PapayapostError
from papayapost.findings import Finding

__all__ = ["Command", "Document", "ErrorDocument", "Result"]


@define(frozen=True)
class Result:
    """Result of a command; it may hold both a report and an error.

    Parameters
    ----------
    report
        Typed report for ``--json``, or None if there is none.
    lines
        The report as lines of text for people.
    error
        The error that ended the command, or None.
    """

    report: object
    lines: tuple[str, ...]
    error: PapayapostError | None = None


class Command(ABC):
    """One command with its arguments, ready to run.

    Parsing the command line only constructs a command, so that a mistake
    anywhere in the command line is found before the command has any effect.
    """

    name: ClassVar[str]

    @abstractmethod
    def run(self) -> Result:
        """Run the command.

        Raises
        ------
        PapayapostError
            If the command fails without a report.
        """

    def __dir__(self):
        """Return no members.

        Python Fire takes further words of the command line for names of
        members, and rejects them because none is listed.
        """
        return ()


@define(frozen=True)
class ErrorDocument:
    """An error as the output of ``--json`` holds it."""

    code: str
    message: str
    findings: tuple[Finding, ...]


@define(frozen=True)
class Document:
    """The output of ``--json``, which has the same keys for every command."""

    command: str
    exit_code: int
    error: ErrorDocument | None
    report: object


def error_document(error: PapayapostError | None) -> ErrorDocument | None:
    """Convert an error, if there is one, for the output of ``--json``."""
    if error is None:
        return None
    findings = error.findings if isinstance(error, FindingsError) else ()
    message = str(error).partition(": ")[2]
    return ErrorDocument(str(error.code), message, findings)
