"""The rules versions that the soak's operator writes."""

from random import Random

from papayapost.ids import AccountName, ServiceName
from papayapost_testing.soak.rows import (
    RouteKind,
    RouteRow,
    SecretKey,
    VersionNumber,
    VersionRow,
)

__all__ = [
    "BASE_PREFIXES",
    "LASTING_KEY",
    "SERVICES",
    "first_version",
    "next_version",
]

SERVICES = (ServiceName("gusts"), ServiceName("vault"))

_GUSTS, _VAULT = SERVICES
_MOVING = "/move/"
_BASE_ROUTES = (
    RouteRow("/read/", _GUSTS, RouteKind.IDEMPOTENT, 2_000),
    RouteRow("/book/", _GUSTS, RouteKind.NON_IDEMPOTENT, 2_500),
    RouteRow("/scan/", _VAULT, RouteKind.DOWNLOAD, 2_500, is_anonymous=True),
)
BASE_PREFIXES = frozenset([*(route.prefix for route in _BASE_ROUTES), _MOVING])
"""Prefixes that every version has a route for."""

LASTING_KEY = SecretKey("key-of-shapers")
"""A key that every version holds."""

_RIDERS = AccountName("riders")
_FIRST_KEYS = {
    LASTING_KEY: AccountName("shapers"),
    SecretKey("key-of-riders-1"): _RIDERS,
}
_MAX_RIDERS_KEYS = 2

_KEPT_ADDED_ROUTES = 4
_MAX_STEP = 3


def first_version() -> VersionRow:
    """Return the version that is written before any node starts."""
    moving = RouteRow(_MOVING, _GUSTS, RouteKind.NON_IDEMPOTENT, 2_500)
    return VersionRow(
        VersionNumber(1),
        {route.prefix: route for route in (*_BASE_ROUTES, moving)},
        dict(_FIRST_KEYS),
    )


def next_version(before: VersionRow, random: Random) -> VersionRow:
    """Return a version that adds one route, drops one and moves one.

    It also adds or removes a key of one account, at times its last one.

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
    return VersionRow(number, routes, _next_keys(before, number, random))


def _next_keys(
    before: VersionRow, number: VersionNumber, random: Random
) -> dict[SecretKey, AccountName]:
    keys = dict(before.keys)
    changing = [key for key, account in keys.items() if account == _RIDERS]
    if len(changing) >= _MAX_RIDERS_KEYS or (changing and random.random() < 0.4):
        del keys[random.choice(changing)]
    else:
        keys[SecretKey(f"key-of-riders-{number}")] = _RIDERS
    return keys
