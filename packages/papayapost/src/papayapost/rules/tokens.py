"""Splits a rules text into lines, and a line into words and a comment."""

import re
from collections.abc import Iterator

from papayapost.define import define
from papayapost.findings import Finding
from papayapost.ids import Owner
from papayapost.rules.faults import RuleFault
from papayapost.rules.finding_list import FindingList

__all__ = ["MAX_LINE_CHARACTERS", "RuleLine", "Word", "numbered_lines", "rule_lines"]

MAX_LINE_CHARACTERS = 4_000

# Only spaces and tabs separate words, since other white space looks the same
# in an editor. Only "\n" ends a line: str.splitlines also splits at characters
# that editors do not count as line ends.
_WORD = re.compile(r"[^ \t]+")
_OWNER_COMMENT = re.compile(r"#\s*(?P<owner>[^:#]+?)\s*:\s*(?P<reason>\S.*?)\s*$")


@define
class Word:
    """A word of a line, with the column of its first character from 1."""

    text: str
    column: int


class RuleLine:
    """One line of a rules text that holds a rule.

    Parameters
    ----------
    number
        Line number in the rules text, from 1.
    text
        The whole line without its line end.
    findings
        List to which `report` adds findings.

    Attributes
    ----------
    words
        Words before the comment; empty if the whole line is a comment.
    owner, reason
        Who asked for the rule, and why, from the comment ``# owner: reason``
        at the end of the line; empty if there is no such comment.

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
        before_comment = text.partition("#")[0]
        self._end_column = len(before_comment.rstrip()) + 1
        self.words = [
            Word(match.group(), match.start() + 1)
            for match in _WORD.finditer(before_comment)
        ]
        match = _OWNER_COMMENT.match(text, len(before_comment))
        self.owner = Owner(match["owner"]) if match else Owner("")
        self.reason = match["reason"] if match else ""

    def report(self, fault: RuleFault, column: int, message: str, remedy: str) -> None:
        """Add a finding at a column of this line."""
        place = f"{self.number}:{column}"
        self._findings.add(Finding(fault.value, place, message, remedy))

    def require_owner(self) -> None:
        """Report the line unless its comment names an owner and a reason."""
        if not self.owner:
            self.report(
                RuleFault.NO_OWNER,
                self._end_column,
                "the rule does not say who asked for it",
                "end the line with '# name: why'",
            )


def rule_lines(text: str, findings: FindingList) -> Iterator[RuleLine]:
    """Yield the lines of a text that are neither empty nor only a comment."""
    for number, raw in numbered_lines(text):
        yield RuleLine(number, raw, findings)


def numbered_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield the number, from 1, and the text of each line with a rule."""
    for number, raw in enumerate(text.split("\n"), 1):
        stripped = raw.strip(" \t\r")
        if stripped and stripped[0] != "#":
            yield number, raw.removesuffix("\r")
