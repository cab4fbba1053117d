"""Finds routes by host and path without reading all of them.

A prefix pattern is kept by its stem, the text before the ``*``. In the sorted
list of a host's stems, every stem that is a prefix of a path lies at or before
the path's own place, and the longest of them is the stem found there or one
of that stem's own prefixes. So one bisection and a short walk find it.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from papayapost.rules.model import ANY_HOST, Route

__all__ = ["RouteIndex"]


@dataclass(slots=True)
class _Stem:
    """A stem with the routes of itself and its own prefixes, by line."""

    text: str
    routes: tuple[Route, ...]
    parent: "_Stem | None"


class _HostRoutes:
    """The routes of one host pattern."""

    def __init__(self, routes: list[Route]):
        self.routes = routes
        self.exact: dict[str, list[Route]] = {}
        own: dict[str, list[Route]] = {}
        for route in routes:
            stem = route.stem
            if stem is None:
                self.exact.setdefault(route.path, []).append(route)
            else:
                own.setdefault(stem, []).append(route)
        self._texts = sorted(own)
        self._stems = _nest(self._texts, own)

    def under(self, path: str) -> tuple[Route, ...]:
        """Return the prefix routes that match a path, by line."""
        position = bisect_right(self._texts, path) - 1
        stem = self._stems[position] if position >= 0 else None
        while stem is not None and not path.startswith(stem.text):
            stem = stem.parent
        return stem.routes if stem is not None else ()

    def covering(self, route: Route) -> tuple[Sequence[Route], ...]:
        """Return the routes whose path takes in a route's path."""
        stem = route.stem
        if stem is not None:
            return (self.under(stem),)
        return (self.exact.get(route.path, ()), self.under(route.path))


class RouteIndex:
    """Routes in file order, found by host and path.

    Parameters
    ----------
    previous
        An index whose hosts are taken over where their routes are the same.

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
        known = previous._hosts if previous is not None else {}
        self._hosts: dict[str, _HostRoutes] = {
            host: _host_routes(rows, known.get(host)) for host, rows in by_host.items()
        }
        self._any_host = self._hosts.get(ANY_HOST)

    def first(self, method: str, host: str, path: str) -> Route | None:
        """Return the first route in file order that matches a call."""
        best = None
        named = self._hosts.get(host)
        if named is not None:
            best = _first_of(named.exact.get(path, ()), method, best)
            best = _first_of(named.under(path), method, best)
        others = self._any_host
        if others is not None and others is not named:
            best = _first_of(others.exact.get(path, ()), method, best)
            best = _first_of(others.under(path), method, best)
        return best

    def covering(self, route: Route) -> tuple[Sequence[Route], ...]:
        """Return the routes whose host and path take in this one's.

        Each sequence is in file order; the route itself stands in one.
        """
        named = self._hosts[route.host]
        others = self._any_host
        if others is None or others is named:
            return named.covering(route)
        return named.covering(route) + others.covering(route)


def _host_routes(routes: list[Route], known: _HostRoutes | None) -> _HostRoutes:
    if known is not None and known.routes == routes:
        return known
    return _HostRoutes(routes)


def _nest(texts: list[str], own: dict[str, list[Route]]) -> list[_Stem]:
    stems: list[_Stem] = []
    parent: _Stem | None = None
    for text in texts:
        while parent is not None and not text.startswith(parent.text):
            parent = parent.parent
        inherited = parent.routes if parent is not None else ()
        routes = sorted((*own[text], *inherited), key=_line_of)
        parent = _Stem(text, tuple(routes), parent)
        stems.append(parent)
    return stems


def _line_of(route: Route) -> int:
    return route.line


def _first_of(routes: Sequence[Route], method: str, best: Route | None) -> Route | None:
    for route in routes:
        if best is not None and route.line > best.line:
            return best
        if not route.methods or method in route.methods:
            return route
    return best
