"""The result of compiling a rules text."""

from dataclasses import field

from papayapost.define import define
from papayapost.ids import ServiceName
from papayapost.rules.index import RouteIndex
from papayapost.rules.model import Route, Share

__all__ = ["RuleSet"]


@define(frozen=True)
class RuleSet:
    """A rules text that compiled without findings, with its rows.

    Parameters
    ----------
    text
        The rules text as the object store holds it.
    digest
        64-bit hash of the text, in hexadecimal.
    routes
        Routes in file order; the first route that matches a call decides it.
    shares
        Shares in file order, at most one for each rank.
    services
        All services that the routes name.
    index
        Index that finds the routes by host and path.
    """

    text: str
    digest: str
    routes: tuple[Route, ...]
    shares: tuple[Share, ...]
    services: frozenset[ServiceName]
    index: RouteIndex = field(repr=False, compare=False)

    def rows_by_line_text(self) -> dict[str, Route | Share]:
        """Return the row of each rule line, by the text of the line."""
        lines = self.text.split("\n")
        rows: dict[str, Route | Share] = {}
        all_rows: tuple[Route | Share, ...] = (*self.routes, *self.shares)
        for row in all_rows:
            rows[lines[row.line - 1].removesuffix("\r")] = row
        return rows
