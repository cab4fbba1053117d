"""What each kind of line compiles to."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import ClassVar

from papayapost.rules.gathering import FindingList
from papayapost.rules.model import Route, Share
from papayapost.rules.tokens import RuleLine

__all__ = ["LineCompiler", "RulesDraft"]


@dataclass(slots=True)
class RulesDraft:
    """Rows read so far, and where findings about them go.

    Parameters
    ----------
    texts
        Every line of the rules text, also those without a rule.
    fresh_lines
        Lines of the routes that do not stand in an earlier text, after the
        same routes as there.
    """

    texts: list[str]
    findings: FindingList
    routes: list[Route] = field(default_factory=list)
    shares: list[Share] = field(default_factory=list)
    fresh_lines: set[int] = field(default_factory=set)

    def add(self, row: Route | Share, is_fresh: bool = True) -> None:
        """Add a row after all earlier ones of its kind."""
        if isinstance(row, Share):
            self.shares.append(row)
            return
        self.routes.append(row)
        if is_fresh:
            self.fresh_lines.add(row.line)

    def line(self, number: int) -> RuleLine:
        """Return a line, so that checks of the whole file report at it."""
        return RuleLine(number, self.texts[number - 1], self.findings)


class LineCompiler(ABC):
    """Compiles the lines that start with one keyword."""

    keyword: ClassVar[str]

    @abstractmethod
    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's row to the draft and report what is wrong with it.

        A row whose key can be read is added even if the rest is faulty, so
        that checks of the whole file find everything at once.
        """
