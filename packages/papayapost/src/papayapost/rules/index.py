"""Finds routes by host and path without trying every route.

A path pattern that ends in ``*`` is stored by its stem, the text before the
``*``. The stems of a host are sorted. Bisection by the path of a call finds
the last stem that sorts at or before the path. The longest stem that is a
prefix of the path is either that stem or one of its prefixes. Each stem has
its longest prefix among the stems as its parent, so that one bisection and a
short walk along the parents find the stem.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence

from papayapost.define import define
from papayapost.rules.model import ANY_HOST, Route

__all__ = ["RouteIndex"]


@define
class _Stem:
    """A stem, with the routes of it and of its prefixes in file order."""

    text: str
    routes: tuple[Route, ...]
    parent: "_Stem | None"


class _HostRoutes:
    """Index of the routes of one host pattern by path."""

    def __init__(self, routes: list[Route]):
        self.routes = routes
        self.exact: dict[str, list[Route]] = {}
        routes_by_stem: dict[str, list[Route]] = {}
        for route in routes:
            stem = route.stem
            if stem is None:
                self.exact.setdefault(route.path, []).append(route)
            else:
                routes_by_stem.setdefault(stem, []).append(route)
        self._stem_texts = sorted(routes_by_stem)
        self._stems = _build_stems(self._stem_texts, routes_by_stem)

    def prefix_matches(self, path: str) -> tuple[Route, ...]:
        """Return the routes with a stem that begins a path, in file order."""
        position = bisect_right(self._stem_texts, path) - 1
        stem = self._stems[position] if position >= 0 else None
        while stem is not None and not path.startswith(stem.text):
            stem = stem.parent
        return stem.routes if stem is not None else ()

    def covering_routes(self, route: Route) -> tuple[Sequence[Route], ...]:
        """Return the routes whose path pattern covers that of a route."""
        stem = route.stem
        if stem is not None:
            return (self.prefix_matches(stem),)
        return (self.exact.get(route.path, ()), self.prefix_matches(route.path))


class RouteIndex:
    """Index of routes by host and path; earlier routes take precedence.

    Parameters
    ----------
    routes
        The routes to index, in file order.
    previous
        Index of an earlier text. Its part for a host is reused if that host
        still has the same routes on the same lines.

    Examples
    --------
    >>> from papayapost.rules import compile_rules
    >>> rules = compile_rules("route GET /scans/* -> records # Ana: scans")
    >>> rules.index.first("GET", "oleaje.example", "/scans/7").service
    'records'
    """

    def __init__(self, routes: Iterable[Route], previous: "RouteIndex | None" = None):
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        previous_hosts = previous._hosts if previous is not None else {}
        self._hosts: dict[str, _HostRoutes] = {
            host: _reuse_or_index(rows, previous_hosts.get(host))
            for host, rows in by_host.items()
        }
        self._any_host_routes = self._hosts.get(ANY_HOST)

    def first(self, method: str, host: str, path: str) -> Route | None:
        """Return the first route in file order that matches a call."""
        best = None
        host_routes = self._hosts.get(host)
        if host_routes is not None:
            best = _first_match(host_routes.exact.get(path, ()), method, best)
            best = _first_match(host_routes.prefix_matches(path), method, best)
        any_host_routes = self._any_host_routes
        if any_host_routes is not None and any_host_routes is not host_routes:
            best = _first_match(any_host_routes.exact.get(path, ()), method, best)
            best = _first_match(any_host_routes.prefix_matches(path), method, best)
        return best

    def covering_routes(self, route: Route) -> tuple[Sequence[Route], ...]:
        """Return the routes whose host and path cover those of a route.

        Each returned sequence is in file order. One of them contains the
        route itself.
        """
        host_routes = self._hosts[route.host]
        any_host_routes = self._any_host_routes
        if any_host_routes is None or any_host_routes is host_routes:
            return host_routes.covering_routes(route)
        return host_routes.covering_routes(route) + any_host_routes.covering_routes(
            route
        )


def _reuse_or_index(routes: list[Route], previous: _HostRoutes | None) -> _HostRoutes:
    if previous is not None and previous.routes == routes:
        return previous
    return _HostRoutes(routes)


def _build_stems(
    texts: list[str], routes_by_stem: dict[str, list[Route]]
) -> list[_Stem]:
    """Return the stems for their sorted texts, each with its parent set."""
    stems: list[_Stem] = []
    parent: _Stem | None = None
    for text in texts:
        while parent is not None and not text.startswith(parent.text):
            parent = parent.parent
        inherited = parent.routes if parent is not None else ()
        routes = sorted((*routes_by_stem[text], *inherited), key=_line_of)
        parent = _Stem(text, tuple(routes), parent)
        stems.append(parent)
    return stems


def _line_of(route: Route) -> int:
    return route.line


def _first_match(
    routes: Sequence[Route], method: str, best: Route | None
) -> Route | None:
    """Return the first route for a method, or `best` if that comes earlier."""
    for route in routes:
        if best is not None and route.line > best.line:
            return best
        if not route.methods or method in route.methods:
            return route
    return best
