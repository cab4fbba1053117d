"""Finds the route that decides a call."""

from papayapost.rules.model import Route, RuleSet

__all__ = ["match_route"]


def match_route(rules: RuleSet, method: str, host: str, path: str) -> Route | None:
    """Return the first route that matches, or None.

    Parameters
    ----------
    method
        HTTP method in upper case.
    host
        Host without port, in lower case.
    path
        Path without query.
    """
    for route in rules.routes:
        if route.methods and method not in route.methods:
            continue
        if route.host not in ("*", host):
            continue
        if _path_matches(route.path, path):
            return route
    return None


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
