"""The result of compiling a rules text."""

from dataclasses import field

from papayapost.define import define
from papayapost.ids import ServiceName
from papayapost.rules.access import AccessIndex
from papayapost.rules.index import RouteIndex
from papayapost.rules.model import (
    AccessRule,
    Account,
    AccountKey,
    CallerLimits,
    Route,
    RuleRow,
    Share,
)

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
    accounts, keys, access_rules
        Rows of the ``account``, ``key`` and ``access`` lines in file order.
    access
        Index that finds the client accounts by name and by key.
    limits
        Bounds on the requests of callers, or None.
    """

    text: str
    digest: str
    routes: tuple[Route, ...]
    shares: tuple[Share, ...]
    services: frozenset[ServiceName]
    index: RouteIndex = field(repr=False, compare=False)
    accounts: tuple[Account, ...] = ()
    keys: tuple[AccountKey, ...] = ()
    access_rules: tuple[AccessRule, ...] = ()
    access: AccessIndex = field(default_factory=AccessIndex, repr=False, compare=False)
    limits: CallerLimits | None = None

    def rows_by_line_text(self) -> dict[str, RuleRow]:
        """Return the row of each rule line, by the text of the line."""
        lines = self.text.split("\n")
        rows: dict[str, RuleRow] = {}
        all_rows: tuple[RuleRow, ...] = (
            *self.routes,
            *self.shares,
            *self.accounts,
            *self.keys,
            *self.access_rules,
            *([self.limits] if self.limits else []),
        )
        for row in all_rows:
            rows[lines[row.line - 1].removesuffix("\r")] = row
        return rows
