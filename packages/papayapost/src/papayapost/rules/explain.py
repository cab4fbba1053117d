"""Says which rule decides a call, and why others that look alike do not."""

from dataclasses import dataclass
from enum import Enum

from papayapost.rules.match import match_route
from papayapost.rules.model import ANY_HOST, Route, Share
from papayapost.rules.ruleset import RuleSet

__all__ = ["Explanation", "Mismatch", "NearMiss", "explain"]


class Mismatch(Enum):
    """The one thing by which a route misses a call."""

    METHOD = "method"
    HOST = "host"
    PATH = "path"


@dataclass(frozen=True, slots=True)
class NearMiss:
    """An earlier route that misses the call by one thing.

    Parameters
    ----------
    message
        What the route wants and what the call has.
    """

    route: Route
    mismatch: Mismatch
    message: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """How a rules text decides one call.

    Parameters
    ----------
    route
        The route that decides, or None if none matches.
    share
        The share of the route's rank, or None if the text has none.
    near_misses
        Routes before the one that decides, in file order.
    """

    method: str
    host: str
    path: str
    route: Route | None
    share: Share | None
    near_misses: tuple[NearMiss, ...]


def explain(rules: RuleSet, method: str, host: str, path: str) -> Explanation:
    """Explain a call.

    Parameters
    ----------
    method
        HTTP method in upper case.
    host
        Host without port, in lower case.
    path
        Path without query.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> rules = compile_rules("route GET /gusts/* -> gusts # Mei: wind desk")
    >>> found = explain(rules, "GET", "wind.example", "/gusts")
    >>> [miss.message for miss in found.near_misses]
    ["wants a path under '/gusts/', the call has '/gusts'"]
    """
    decided = match_route(rules, method, host, path)
    misses = []
    for route in rules.routes:
        if route is decided:
            break
        miss = _near_miss(route, method, host, path)
        if miss is not None:
            misses.append(miss)
    share = _share_of(rules, decided) if decided else None
    return Explanation(method, host, path, decided, share, tuple(misses))


def _share_of(rules: RuleSet, route: Route) -> Share | None:
    return next((share for share in rules.shares if share.rank == route.rank), None)


def _near_miss(route: Route, method: str, host: str, path: str) -> NearMiss | None:
    stem = route.stem
    has_method = not route.methods or method in route.methods
    has_host = route.host in (ANY_HOST, host)
    has_path = path == route.path if stem is None else path.startswith(stem)
    if (has_method, has_host, has_path).count(False) != 1:
        return None
    if not has_method:
        wanted = " or ".join(sorted(route.methods))
        message = f"wants {wanted}, the call has {method}"
        return NearMiss(route, Mismatch.METHOD, message)
    if not has_host:
        message = f"wants host {route.host!r}, the call has {host!r}"
        return NearMiss(route, Mismatch.HOST, message)
    if not _look_alike(route.path, path):
        return None
    wanted = f"the path {route.path!r}" if stem is None else f"a path under {stem!r}"
    message = f"wants {wanted}, the call has {path!r}"
    return NearMiss(route, Mismatch.PATH, message)


def _look_alike(pattern: str, path: str) -> bool:
    """Return whether both begin with the same segment, in any case."""
    return _first_segment(pattern) == _first_segment(path)


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0].rstrip("*").lower()
