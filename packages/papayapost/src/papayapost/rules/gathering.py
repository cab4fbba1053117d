"""Gathers the findings of a rules text, up to a bound."""

from collections.abc import Iterable

from papayapost.findings import Finding
from papayapost.rules.faults import RuleFault

__all__ = ["MAX_FINDINGS", "FindingList", "TooManyFindings"]

MAX_FINDINGS = 500
"""Findings of one text; a megabyte of junk would have a million."""


class TooManyFindings(Exception):
    """Ends the compilation of a text that has no room for more findings."""


class FindingList:
    """The findings so far.

    Attributes
    ----------
    items
        In the order in which they were found.
    """

    def __init__(self):
        self.items: list[Finding] = []

    def add(self, finding: Finding) -> None:
        """Add a finding.

        Raises
        ------
        TooManyFindings
            If there is no room for a further one.
        """
        self.items.append(finding)
        if len(self.items) >= MAX_FINDINGS:
            raise TooManyFindings

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add findings one by one."""
        for finding in findings:
            self.add(finding)

    def sorted_items(self) -> list[Finding]:
        """Return the findings by place, with a note where some are missing."""
        found = sorted(self.items, key=_place_of)
        if len(found) >= MAX_FINDINGS:
            found.append(
                Finding(
                    RuleFault.TOO_MANY_FINDINGS.value,
                    found[-1].place,
                    f"there are more than {MAX_FINDINGS} findings",
                    "mend these and check again",
                )
            )
        return found


def _place_of(finding: Finding) -> tuple[int, int]:
    line, _, column = finding.place.partition(":")
    return int(line), int(column)
