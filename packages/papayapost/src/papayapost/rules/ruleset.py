"""A rules text compiled whole."""

from dataclasses import dataclass, field

from papayapost.ids import ServiceName
from papayapost.rules.index import RouteIndex
from papayapost.rules.model import Route, Share

__all__ = ["RuleSet"]


@dataclass(frozen=True, slots=True)
class RuleSet:
    """A rules text compiled whole.

    Parameters
    ----------
    text
        The text as the store holds it.
    digest
        64-bit hash of the text, in hexadecimal.
    routes
        In file order; the first that matches a call decides it.
    shares
        At most one for each rank.
    services
        Every service that a route names.
    index
        The routes by host and path.
    """

    text: str
    digest: str
    routes: tuple[Route, ...]
    shares: tuple[Share, ...]
    services: frozenset[ServiceName]
    index: RouteIndex = field(repr=False, compare=False)

    def rows_by_text(self) -> dict[str, Route | Share]:
        """Return what each line of the text compiled to."""
        lines = self.text.split("\n")
        rows: dict[str, Route | Share] = {}
        own: tuple[Route | Share, ...] = (*self.routes, *self.shares)
        for row in own:
            rows[lines[row.line - 1].removesuffix("\r")] = row
        return rows
