"""Findings: what is wrong with a text, where, and what to write instead."""

from dataclasses import dataclass

__all__ = ["Finding"]


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a text or settings file.

    Parameters
    ----------
    code
        Stable code such as ``R004``.
    place
        Where: ``line:column`` counted from 1, or a path into a JSON file.
    message
        What was found there, quoting it.
    remedy
        What to write instead.

    Examples
    --------
    >>> print(Finding("R001", "3:1", "no owner", "end with '# name: why'"))
    3:1 R001 no owner; end with '# name: why'
    """

    code: str
    place: str
    message: str
    remedy: str

    def __str__(self):
        return f"{self.place} {self.code} {self.message}; {self.remedy}"
