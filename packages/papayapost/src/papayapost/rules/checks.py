"""Checks that need more than one line of a rules text."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from papayapost.rules.compilers import RulesDraft
from papayapost.rules.defaults import DEFAULT_FLOORS_PERCENT
from papayapost.rules.faults import RuleFault
from papayapost.rules.index import RouteIndex
from papayapost.rules.model import ANY_HOST, Route, Share
from papayapost.states import Rank

__all__ = ["FILE_CHECKS", "FileCheck"]

# Beyond these, looking at every route is faster.
_MAX_FRESH = 10
_ANY_METHOD = frozenset(["*"])


class FileCheck(ABC):
    """One check over all rows of a draft."""

    @abstractmethod
    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report what is wrong at the lines concerned."""


class ReachableRoutes(FileCheck):
    """Every route decides some call that no earlier route takes."""

    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report each route that earlier ones cover wholly."""
        for route in _suspects(draft):
            takers = _takers_of(index, route)
            if takers:
                self._report(draft, route, takers)

    def _report(self, draft: RulesDraft, route: Route, takers: list[Route]) -> None:
        line = draft.line(route.line)
        first = takers[0]
        column = line.words[0].column
        if len(takers) == 1 and first.pattern == route.pattern:
            line.report(
                RuleFault.DUPLICATE_ROUTE,
                column,
                f"the route of line {first.line} by {first.owner!r} matches the "
                "same calls",
                "remove one of the two",
            )
            return
        numbers = ", ".join(str(taker.line) for taker in takers)
        line.report(
            RuleFault.UNREACHABLE_ROUTE,
            column,
            f"no call reaches the route: line {numbers} takes them all",
            f"move it above line {first.line}, or remove it",
        )


def _suspects(draft: RulesDraft) -> Iterable[Route]:
    """Return the routes that may be unreachable.

    A route that stands in an earlier text after the same routes was reachable
    there. It still is unless a fresh route before it takes some of its calls.
    """
    if len(draft.fresh_lines) > _MAX_FRESH:
        return draft.routes
    fresh: list[Route] = []
    suspects = []
    for route in draft.routes:
        if route.line in draft.fresh_lines:
            fresh.append(route)
            suspects.append(route)
            continue
        for earlier in fresh:
            if _covers(earlier, route):
                suspects.append(route)
                break
    return suspects


def _covers(earlier: Route, route: Route) -> bool:
    """Return whether the earlier route's host and path take in the other's."""
    if earlier.host not in (ANY_HOST, route.host):
        return False
    if earlier.path.endswith("*"):
        return route.path.startswith(earlier.path[:-1])
    return earlier.path == route.path


def _takers_of(index: RouteIndex, route: Route) -> list[Route]:
    """Return the earlier routes that leave this one no call, or none."""
    left = route.methods or _ANY_METHOD
    takers = []
    for earlier in _earlier(index, route):
        taken = left & earlier.methods if earlier.methods else left
        if taken:
            takers.append(earlier)
            left = left - taken
        if not left:
            return sorted(takers, key=lambda taker: taker.line)
    return []


def _earlier(index: RouteIndex, route: Route) -> Iterator[Route]:
    for routes in index.covering(route):
        for earlier in routes:
            if earlier.line >= route.line:
                break
            yield earlier


class ShareSums(FileCheck):
    """Each rank has one share, and the floors fit into the whole."""

    def run(self, draft: RulesDraft, index: RouteIndex) -> None:
        """Report second shares of a rank and the floor that is too much."""
        first: dict[Rank, Share] = {}
        stated = {share.rank for share in draft.shares}
        floors_percent = sum(
            floor
            for rank, floor in DEFAULT_FLOORS_PERCENT.items()
            if rank not in stated
        )
        for share in draft.shares:
            earlier = first.setdefault(share.rank, share)
            if earlier is not share:
                self._report_duplicate(draft, share, earlier)
                continue
            before_percent = floors_percent
            floors_percent += share.floor_percent
            if before_percent <= 100 < floors_percent:
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
            f"with this share the floors add up to {floors_percent}%, defaults "
            "of ranks without a share included",
            "lower the floors until they add up to 100% at most",
        )


FILE_CHECKS: tuple[FileCheck, ...] = (ReachableRoutes(), ShareSums())
