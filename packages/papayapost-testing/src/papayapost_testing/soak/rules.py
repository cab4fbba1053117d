"""The rules versions that the soak's operator writes."""

from random import Random

from papayapost.ids import ServiceName
from papayapost_testing.soak.rows import (
    RouteKind,
    RouteRow,
    VersionNumber,
    VersionRow,
)

__all__ = ["BASE_PREFIXES", "SERVICES", "first_version", "next_version"]

SERVICES = (ServiceName("gusts"), ServiceName("vault"))

_GUSTS, _VAULT = SERVICES
_MOVING = "/move/"
_BASE_ROUTES = (
    RouteRow("/read/", _GUSTS, RouteKind.IDEMPOTENT, 2_000),
    RouteRow("/book/", _GUSTS, RouteKind.NON_IDEMPOTENT, 2_500),
    RouteRow("/scan/", _VAULT, RouteKind.DOWNLOAD, 2_500),
)
BASE_PREFIXES = frozenset([*(route.prefix for route in _BASE_ROUTES), _MOVING])
"""Prefixes that every version has a route for."""

_KEPT_ADDED_ROUTES = 4
_MAX_STEP = 3


def first_version() -> VersionRow:
    """Return the version that is written before any node starts."""
    moving = RouteRow(_MOVING, _GUSTS, RouteKind.NON_IDEMPOTENT, 2_500)
    return VersionRow(
        VersionNumber(1), {route.prefix: route for route in (*_BASE_ROUTES, moving)}
    )


def next_version(before: VersionRow, random: Random) -> VersionRow:
    """Return a version that adds one route, drops one and moves one.

    The route that is added is named after the version, so that an answer to
    a request on it shows whether a node follows the version.
    """
    number = VersionNumber(before.version + random.randint(1, _MAX_STEP))
    routes = dict(before.routes)
    added = [prefix for prefix in routes if prefix not in BASE_PREFIXES]
    for prefix in added[: max(0, len(added) - _KEPT_ADDED_ROUTES + 1)]:
        del routes[prefix]
    prefix = f"/added-{number}/"
    service = random.choice(SERVICES)
    routes[prefix] = RouteRow(prefix, service, RouteKind.IDEMPOTENT, 2_000)
    moved_to = _VAULT if routes[_MOVING].service == _GUSTS else _GUSTS
    routes[_MOVING] = RouteRow(_MOVING, moved_to, RouteKind.NON_IDEMPOTENT, 2_500)
    return VersionRow(number, routes)
