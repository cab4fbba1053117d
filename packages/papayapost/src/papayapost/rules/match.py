"""Finds the route that decides a call."""

from papayapost.rules.model import Route
from papayapost.rules.ruleset import RuleSet

__all__ = ["match_route"]


def match_route(rules: RuleSet, method: str, host: str, path: str) -> Route | None:
    """Return the first route in file order that matches, or None.

    Parameters
    ----------
    method
        HTTP method in upper case.
    host
        Host without port, in lower case.
    path
        Path without query.
    """
    return rules.index.first(method, host, path)
