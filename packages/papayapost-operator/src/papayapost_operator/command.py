"""The base class of papaya's commands and what a command returns."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar

from papayapost.errors import FindingsError, PapayapostError
from papayapost.findings import Finding

__all__ = ["Command", "Document", "ErrorDocument", "Result"]


@dataclass(frozen=True, slots=True)
class Result:
    """What a command found out, also where it ended with an error.

    Parameters
    ----------
    report
        Typed report for ``--json``, or None where there is nothing to tell.
    lines
        The same for people.
    """

    report: object
    lines: tuple[str, ...]
    error: PapayapostError | None = None


class Command(ABC):
    """One command with its arguments, not yet run.

    Parsing the command line only constructs a command, so that a mistake
    anywhere in it is found before anything is done.
    """

    name: ClassVar[str]

    @abstractmethod
    def run(self) -> Result:
        """Run the command.

        Raises
        ------
        PapayapostError
            If there is nothing to report but the error.
        """

    def __dir__(self):
        """Offer no members that further words of a command line could name."""
        return ()


@dataclass(frozen=True, slots=True)
class ErrorDocument:
    """An error in the output of ``--json``."""

    code: str
    message: str
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Document:
    """The output of ``--json``, one object for every command."""

    command: str
    exit_code: int
    error: ErrorDocument | None
    report: object


def error_document(error: PapayapostError | None) -> ErrorDocument | None:
    """Return an error as ``--json`` shows it."""
    if error is None:
        return None
    findings = error.findings if isinstance(error, FindingsError) else ()
    message = str(error).partition(": ")[2]
    return ErrorDocument(str(error.code), message, findings)
