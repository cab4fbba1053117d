"""Explains which route decides a call, and why similar routes do not."""

from enum import Enum

from papayapost.define import define
from papayapost.rules.match import match_route
from papayapost.rules.model import ANY_HOST, Route, Share
from papayapost.rules.ruleset import RuleSet

__all__ = ["Explanation", "Mismatch", "NearMiss", "explain"]


class Mismatch(Enum):
    """Which part of a route does not match a call, while the others do."""

    METHOD = "method"
    HOST = "host"
    PATH = "path"


@define(frozen=True)
class NearMiss:
    """An earlier route that matches a call in all parts but one.

    Parameters
    ----------
    mismatch
        Which of method, host and path does not match.
    message
        What the route requires there and what the call has instead.
    """

    route: Route
    mismatch: Mismatch
    message: str


@define(frozen=True)
class Explanation:
    """How a rules text decides one call.

    Parameters
    ----------
    route
        The route that decides the call, or None if no route matches.
    share
        The ``share`` line of the route's rank, or None if the text has none.
    near_misses
        Routes before `route` that almost match, in file order.
    needs_key
        Whether the call needs a key of a client account.
    """

    method: str
    host: str
    path: str
    route: Route | None
    share: Share | None
    near_misses: tuple[NearMiss, ...]
    needs_key: bool = False


def explain(rules: RuleSet, method: str, host: str, path: str) -> Explanation:
    """Explain how a rules text decides a call.

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
    ["requires a path under '/gusts/', the call has '/gusts'"]
    """
    matched = match_route(rules, method, host, path)
    near_misses = []
    for route in rules.routes:
        if route is matched:
            break
        miss = _near_miss(route, method, host, path)
        if miss is not None:
            near_misses.append(miss)
    share = _share_of(rules, matched) if matched else None
    needs_key = (
        matched is not None and rules.access.requires_keys and not matched.anonymous
    )
    misses = tuple(near_misses)
    return Explanation(method, host, path, matched, share, misses, needs_key)


def _share_of(rules: RuleSet, route: Route) -> Share | None:
    return next((share for share in rules.shares if share.rank == route.rank), None)


def _near_miss(route: Route, method: str, host: str, path: str) -> NearMiss | None:
    """Return the one mismatch of a route with a call, or None.

    A route that differs by its path alone is a near miss only if both paths
    have the same first segment.
    """
    stem = route.stem
    is_method_matched = not route.methods or method in route.methods
    is_host_matched = route.host in (ANY_HOST, host)
    is_path_matched = path == route.path if stem is None else path.startswith(stem)
    if (is_method_matched, is_host_matched, is_path_matched).count(False) != 1:
        return None
    if not is_method_matched:
        required = " or ".join(sorted(route.methods))
        message = f"requires {required}, the call has {method}"
        return NearMiss(route, Mismatch.METHOD, message)
    if not is_host_matched:
        message = f"requires host {route.host!r}, the call has {host!r}"
        return NearMiss(route, Mismatch.HOST, message)
    if not _have_same_first_segment(route.path, path):
        return None
    required = f"the path {route.path!r}" if stem is None else f"a path under {stem!r}"
    message = f"requires {required}, the call has {path!r}"
    return NearMiss(route, Mismatch.PATH, message)


def _have_same_first_segment(pattern: str, path: str) -> bool:
    """Return whether the first path segments are equal, ignoring case."""
    return _first_segment(pattern) == _first_segment(path)


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0].rstrip("*").lower()
