"""Splits a rules text into lines, and a line into words and its owner."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from papayapost.findings import Finding
from papayapost.ids import Owner
from papayapost.rules.faults import RuleFault
from papayapost.rules.gathering import FindingList

__all__ = ["MAX_LINE_CHARACTERS", "RuleLine", "Word", "numbered_lines", "rule_lines"]

MAX_LINE_CHARACTERS = 4_000

# Only spaces and tabs part words: other blanks look like them but are not,
# and str.splitlines would count lines that no editor counts.
_WORD = re.compile(r"[^ \t]+")
_OWNER = re.compile(r"#\s*(?P<owner>[^:#]+?)\s*:\s*(?P<reason>\S.*?)\s*$")


@dataclass(slots=True)
class Word:
    """A word of a line, with its column counted from 1."""

    text: str
    column: int


class RuleLine:
    """One line that holds a rule.

    Parameters
    ----------
    number
        Line number, from 1.
    findings
        Where `report` adds to.

    Attributes
    ----------
    words
        The words before the comment; none if the line is all comment.
    owner, reason
        Of the trailing comment; empty where it is missing.

    Examples
    --------
    >>> text = "share bulk floor=5% # Ana: downloads"
    >>> line = RuleLine(1, text, FindingList())
    >>> [word.text for word in line.words], line.owner
    (['share', 'bulk', 'floor=5%'], 'Ana')
    """

    def __init__(self, number: int, text: str, findings: FindingList):
        self.number = number
        self.text = text
        self._findings = findings
        head = text.partition("#")[0]
        self._comment_column = len(head.rstrip()) + 1
        self.words = [
            Word(match.group(), match.start() + 1) for match in _WORD.finditer(head)
        ]
        match = _OWNER.match(text, len(head))
        self.owner = Owner(match["owner"]) if match else Owner("")
        self.reason = match["reason"] if match else ""

    def report(self, fault: RuleFault, column: int, message: str, remedy: str) -> None:
        """Add a finding at a column of this line."""
        place = f"{self.number}:{column}"
        self._findings.add(Finding(fault.value, place, message, remedy))

    def require_owner(self) -> None:
        """Report the line unless its comment says who asked and why."""
        if not self.owner:
            self.report(
                RuleFault.NO_OWNER,
                self._comment_column,
                "the rule does not say who asked for it",
                "end the line with '# name: why'",
            )


def rule_lines(text: str, findings: FindingList) -> Iterator[RuleLine]:
    """Yield the lines of a text that are neither empty nor all comment."""
    for number, raw in numbered_lines(text):
        yield RuleLine(number, raw, findings)


def numbered_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield number and text of each line that holds a rule."""
    for number, raw in enumerate(text.split("\n"), 1):
        stripped = raw.strip(" \t\r")
        if stripped and stripped[0] != "#":
            yield number, raw.removesuffix("\r")
