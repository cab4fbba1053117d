"""Base class of the line compilers, and the draft that they fill."""

from abc import ABC, abstractmethod
from dataclasses import field
from typing import ClassVar

from papayapost.define import define
from papayapost.rules.finding_list import FindingList
from papayapost.rules.model import (
    AccessRule,
    Account,
    AccountKey,
    CallerLimits,
    Route,
    RuleRow,
    Share,
)
from papayapost.rules.tokens import RuleLine

__all__ = ["LineCompiler", "RulesDraft"]


@define
class RulesDraft:
    """A rules text while it is compiled: its rows and findings so far.

    Parameters
    ----------
    texts
        All lines of the rules text, including empty and comment lines.
    findings
        Collects the faults of the text.
    routes, shares, accounts, keys, access_rules, limits
        Rows of the lines read so far, in file order.
    new_route_lines
        Line numbers of the routes that the previous text did not have, or
        had in another order.
    """

    texts: list[str]
    findings: FindingList
    routes: list[Route] = field(default_factory=list)
    shares: list[Share] = field(default_factory=list)
    accounts: list[Account] = field(default_factory=list)
    keys: list[AccountKey] = field(default_factory=list)
    access_rules: list[AccessRule] = field(default_factory=list)
    limits: list[CallerLimits] = field(default_factory=list)
    new_route_lines: set[int] = field(default_factory=set)

    def add(self, row: RuleRow, is_new: bool = True) -> None:
        """Append a row; note the line number if the row is a new route."""
        match row:
            case Route():
                self.routes.append(row)
                if is_new:
                    self.new_route_lines.add(row.line)
            case Share():
                self.shares.append(row)
            case Account():
                self.accounts.append(row)
            case AccountKey():
                self.keys.append(row)
            case AccessRule():
                self.access_rules.append(row)
            case CallerLimits():
                self.limits.append(row)

    def line(self, number: int) -> RuleLine:
        """Return a line by its number from 1, to report findings at it."""
        return RuleLine(number, self.texts[number - 1], self.findings)


class LineCompiler(ABC):
    """Compiles the lines that start with one keyword, such as ``route``."""

    keyword: ClassVar[str]

    @abstractmethod
    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's row to the draft, and report the line's faults.

        A row that can be identified is added even if its options are faulty,
        so that the checks of the whole text report their findings as well.
        """
