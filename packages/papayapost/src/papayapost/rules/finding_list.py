"""Collects the findings of a rules text, up to a maximum number."""

from collections.abc import Iterable

from papayapost.findings import Finding
from papayapost.rules.faults import RuleFault

__all__ = ["MAX_FINDINGS", "FindingList", "TooManyFindings"]

MAX_FINDINGS = 500
"""Limit of findings for one text; 1 MB of junk could have a million."""


class TooManyFindings(Exception):
    """Ends the compilation of a text that has `MAX_FINDINGS` findings."""


class FindingList:
    """The findings of one rules text while it is compiled.

    Attributes
    ----------
    items
        The findings, in the order in which they were found.
    """

    def __init__(self):
        self.items: list[Finding] = []

    def add(self, finding: Finding) -> None:
        """Add a finding.

        Raises
        ------
        TooManyFindings
            If the list now holds `MAX_FINDINGS` findings.
        """
        self.items.append(finding)
        if len(self.items) >= MAX_FINDINGS:
            raise TooManyFindings

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add findings one by one, as `add` does."""
        for finding in findings:
            self.add(finding)

    def sorted_items(self) -> list[Finding]:
        """Return the findings by line and column, and a note at the limit."""
        found = sorted(self.items, key=_place_of)
        if len(found) >= MAX_FINDINGS:
            found.append(
                Finding(
                    RuleFault.TOO_MANY_FINDINGS.value,
                    found[-1].place,
                    f"checking stopped after {MAX_FINDINGS} findings",
                    "fix these and check again",
                )
            )
        return found


def _place_of(finding: Finding) -> tuple[int, int]:
    line, _, column = finding.place.partition(":")
    return int(line), int(column)
