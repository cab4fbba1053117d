"""Checks that compare several lines of a rules text with each other."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from papayapost.ids import AccountName, KeyDigest
from papayapost.rules.defaults import DEFAULT_FLOORS_PERCENT
from papayapost.rules.faults import RuleFault
from papayapost.rules.index import RouteIndex
from papayapost.rules.line_compiler import RulesDraft
from papayapost.rules.model import ANY_HOST, Account, AccountKey, Route, Share
from papayapost.states import Rank

__all__ = ["FILE_CHECKS", "FileCheck"]

# With more new routes than this, checking every route costs less time than
# first selecting the routes that the new ones may make unreachable.
_MAX_NEW_ROUTES = 10
# Stands for the methods of a route that matches every method. No list of
# methods covers it, only another route that matches every method.
_ANY_METHOD = frozenset(["*"])


class FileCheck(ABC):
    """A check that looks at all rows of a rules text together."""

    @abstractmethod
    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report each fault as a finding at the line that causes it."""


class RouteReachabilityCheck(FileCheck):
    """Checks that each route matches calls that no earlier route matches."""

    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report each route whose calls are all matched by earlier routes."""
        for route in _routes_to_check(draft):
            shadowing = _shadowing_routes(index, route)
            if shadowing:
                self._report(draft, route, shadowing)

    def _report(self, draft: RulesDraft, route: Route, shadowing: list[Route]) -> None:
        line = draft.line(route.line)
        first = shadowing[0]
        column = line.words[0].column
        if len(shadowing) == 1 and first.pattern == route.pattern:
            line.report(
                RuleFault.DUPLICATE_ROUTE,
                column,
                f"the route of line {first.line} by {first.owner!r} matches the "
                "same calls",
                "remove one of the two",
            )
            return
        numbers = ", ".join(str(earlier.line) for earlier in shadowing)
        line.report(
            RuleFault.UNREACHABLE_ROUTE,
            column,
            f"no call reaches the route: all its calls are matched by line {numbers}",
            f"move it above line {first.line}, or remove it",
        )


def _routes_to_check(draft: RulesDraft) -> Iterable[Route]:
    """Return the routes that may be unreachable and need the full check.

    A route that is reused from the previous text was reachable in that text.
    It still is, unless a new route before it matches some of its calls.
    """
    if len(draft.new_route_lines) > _MAX_NEW_ROUTES:
        return draft.routes
    new_routes: list[Route] = []
    candidates = []
    for route in draft.routes:
        if route.line in draft.new_route_lines:
            new_routes.append(route)
            candidates.append(route)
            continue
        for earlier in new_routes:
            if _covers(earlier, route):
                candidates.append(route)
                break
    return candidates


def _covers(earlier: Route, route: Route) -> bool:
    """Return whether the earlier route's host and path cover the route's."""
    if earlier.host not in (ANY_HOST, route.host):
        return False
    if earlier.path.endswith("*"):
        return route.path.startswith(earlier.path[:-1])
    return earlier.path == route.path


def _shadowing_routes(index: RouteIndex, route: Route) -> list[Route]:
    """Return the earlier routes that together match all calls of a route.

    The list is in file order, and empty if some call reaches the route.
    """
    # The methods of the route that no earlier route matches.
    unmatched = route.methods or _ANY_METHOD
    shadowing = []
    for earlier in _earlier_covering_routes(index, route):
        matched = unmatched & earlier.methods if earlier.methods else unmatched
        if matched:
            shadowing.append(earlier)
            unmatched = unmatched - matched
        if not unmatched:
            return sorted(shadowing, key=lambda row: row.line)
    return []


def _earlier_covering_routes(index: RouteIndex, route: Route) -> Iterator[Route]:
    """Yield the routes before a route whose host and path cover its own."""
    for routes in index.covering_routes(route):
        for earlier in routes:
            if earlier.line >= route.line:
                break
            yield earlier


class ShareFloorsCheck(FileCheck):
    """Checks that ranks have one share each and floors sum to at most 100%."""

    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report repeated shares, and floors that sum to more than 100%."""
        first_by_rank: dict[Rank, Share] = {}
        ranks_with_share = {share.rank for share in draft.shares}
        floors_percent = sum(
            floor
            for rank, floor in DEFAULT_FLOORS_PERCENT.items()
            if rank not in ranks_with_share
        )
        for share in draft.shares:
            earlier = first_by_rank.setdefault(share.rank, share)
            if earlier is not share:
                self._report_duplicate(draft, share, earlier)
                continue
            previous_percent = floors_percent
            floors_percent += share.floor_percent
            if previous_percent <= 100 < floors_percent:
                self._report_sum(draft, share, floors_percent)

    def _report_duplicate(
        self, draft: RulesDraft, share: Share, earlier: Share
    ) -> None:
        line = draft.line(share.line)
        line.report(
            RuleFault.DUPLICATE_SHARE,
            line.words[1].column,
            f"rank {share.rank.name.lower()} has a share on line {earlier.line} "
            f"by {earlier.owner!r}",
            "keep one of the two",
        )

    def _report_sum(self, draft: RulesDraft, share: Share, floors_percent: int) -> None:
        line = draft.line(share.line)
        line.report(
            RuleFault.FLOORS_OVER_WHOLE,
            line.words[1].column,
            f"with this share the floors add up to {floors_percent}%, including "
            "the defaults of ranks without a share line",
            "lower the floors until they add up to 100% at most",
        )


class AccountsCheck(FileCheck):
    """Checks that names and keys are unique, and that keys name accounts."""

    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report repeated accounts and keys, and keys of unknown accounts."""
        accounts: dict[AccountName, Account] = {}
        for account in draft.accounts:
            earlier = accounts.setdefault(account.name, account)
            if earlier is not account:
                draft.line(account.line).report(
                    RuleFault.DUPLICATE_ACCOUNT,
                    draft.line(account.line).words[1].column,
                    f"account {account.name!r} is declared on line {earlier.line} "
                    f"by {earlier.owner!r}",
                    "keep one of the two",
                )
        keys: dict[KeyDigest, AccountKey] = {}
        for key in draft.keys:
            line = draft.line(key.line)
            first = keys.setdefault(key.digest, key)
            if first is not key:
                line.report(
                    RuleFault.DUPLICATE_KEY,
                    line.words[1].column,
                    f"the key is assigned to {first.account!r} on line {first.line}",
                    "keep one of the two; a key belongs to one account",
                )
            if key.account not in accounts:
                line.report(
                    RuleFault.UNKNOWN_ACCOUNT,
                    line.words[3].column,
                    f"no account is named {key.account!r}",
                    f"add the line 'account {key.account}', or remove the key",
                )


FILE_CHECKS: tuple[FileCheck, ...] = (
    RouteReachabilityCheck(),
    ShareFloorsCheck(),
    AccountsCheck(),
)
