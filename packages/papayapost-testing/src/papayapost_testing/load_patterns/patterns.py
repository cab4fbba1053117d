"""The load patterns: loads that meshes were seen to serve badly."""

from dataclasses import replace

from papayapost.ids import AccountName, ServiceName
from papayapost.states import Rank
from papayapost_testing.load_patterns.rows import (
    AccountRow,
    BurstRow,
    InnerCalls,
    KindRow,
    LoadPattern,
    ServiceRow,
    Trouble,
    TroubleRow,
)
from papayapost_testing.traffic_worlds import FOUR_PLACES, NORTH_1

__all__ = ["LOAD_PATTERNS", "pattern"]

_DESK = ServiceName("desk")
_STOCK = ServiceName("stock")
_LOOKUP, _ORDER, _SCAN, _COUNT = "lookup", "order", "scan", "count"
_BOOKING = "booking"


def _mesh(nodes: int) -> tuple[ServiceRow, ...]:
    """Return two services on a number of nodes, four fifths for the first."""
    per_place = nodes // len(FOUR_PLACES)
    stock = max(1, per_place // 5)
    return (
        ServiceRow(_DESK, 4, dict.fromkeys(FOUR_PLACES, per_place - stock)),
        ServiceRow(_STOCK, 4, dict.fromkeys(FOUR_PLACES, stock)),
    )


def _kinds(nodes: int, load: float) -> tuple[KindRow, ...]:
    """Return kinds that use a share of the slots of the first service."""
    desk, _ = _mesh(nodes)
    slots = sum(desk.servers.values()) * desk.slots
    # A lookup holds its slot for its own work or, if longer, its inner calls.
    orders_per_s = load * slots / 4 / 0.42
    lookups_per_s = load * slots * 3 / 4 / 0.34
    return (
        KindRow(
            _LOOKUP,
            _DESK,
            Rank.URGENT,
            lookups_per_s,
            320,
            1_000,
            2_000,
            3_000,
            inner=InnerCalls(_COUNT, 2, 0.3),
        ),
        KindRow(
            _ORDER, _DESK, Rank.HIGH, orders_per_s, 420, 1_500, 2_500, 4_000, False
        ),
        KindRow(
            _SCAN, _STOCK, Rank.NORMAL, lookups_per_s / 20, 260, 3_000, 4_000, 4_000
        ),
        KindRow(_COUNT, _STOCK, Rank.URGENT, 0, 81, 300, 1_000, 1_000),
    )


def _burst(nodes: int) -> LoadPattern:
    return LoadPattern(
        "a burst of 1.7 times the slots",
        _mesh(nodes),
        _kinds(nodes, 0.85),
        8,
        bursts=(BurstRow(2, 7, 2.0),),
    )


def _repeats(nodes: int) -> LoadPattern:
    burst = _burst(nodes)
    return replace(
        burst,
        name="a burst whose callers repeat three times at once",
        impatient_share=0.4,
    )


def _slow(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 7, _DESK, Trouble.SLOW, 0.5, 4.0, NORTH_1)
    return LoadPattern(
        "half of one data centre's servers are slow",
        _mesh(nodes),
        _kinds(nodes, 0.6),
        8,
        troubles=(trouble,),
    )


def _shedding(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 7, _STOCK, Trouble.SHEDDING, 0.25, 1.0)
    return LoadPattern(
        "a quarter of the servers of inner calls refuse everything",
        _mesh(nodes),
        _kinds(nodes, 0.7),
        8,
        troubles=(trouble,),
    )


def _failing(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 7, _STOCK, Trouble.FAILING, 0.25, 1.0)
    return LoadPattern(
        "a quarter of the servers of inner calls fail everything",
        _mesh(nodes),
        _kinds(nodes, 0.7),
        8,
        troubles=(trouble,),
    )


def _partly_shedding(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 7, _STOCK, Trouble.SHEDDING, 1.0, 0.55)
    return LoadPattern(
        "all servers of inner calls refuse half of their calls",
        _mesh(nodes),
        _kinds(nodes, 0.7),
        8,
        troubles=(trouble,),
    )


def _contended(nodes: int) -> LoadPattern:
    """Return a burst at the servers of inner calls, as urgent as they are."""
    stock = _mesh(nodes)[1]
    bookings_per_s = 0.7 * sum(stock.servers.values()) * stock.slots / 0.21
    lookup, order, _, _ = _kinds(nodes, 0.6)
    kinds = (
        replace(lookup, target_ms=700, patience_ms=2_500, timeout_ms=1_200),
        order,
        KindRow(
            _BOOKING, _STOCK, Rank.HIGH, bookings_per_s, 210, 800, 1_500, 3_000, False
        ),
        KindRow(_COUNT, _STOCK, Rank.HIGH, 0, 40, 150, 500, 500),
    )
    return LoadPattern(
        "a burst of fresh work at the servers of inner calls",
        _mesh(nodes),
        kinds,
        8,
        bursts=(BurstRow(2, 7, 1.7),),
    )


_FEED, _PUBLISHING, _DOWNLOAD = "feed", "publishing", "download"
_DESK_LOOKUP, _VAULT_LOOKUP = "desk-lookup", "vault-lookup"
_HOUSE = ServiceName("house")
_VAULT = ServiceName("vault")
_LARGE_ACCOUNTS = 6
_ACCOUNTS = 86


def _accounts(ranked_every: int = 0) -> tuple[AccountRow, ...]:
    """Return accounts of which a few send a twentieth of the calls each.

    Parameters
    ----------
    ranked_every
        Every how many accounts have a rank of their own; 0 for none.
    """
    return tuple(
        AccountRow(
            AccountName(f"account-{number}"),
            10.0 if number < _LARGE_ACCOUNTS else 1.5,
            Rank.HIGH if ranked_every and number % ranked_every == 0 else None,
        )
        for number in range(_ACCOUNTS)
    )


def _podcasts(nodes: int) -> LoadPattern:
    """Return the load of a mesh whose services call each other's servers.

    Feed requests look things up at the servers of publishing requests, and
    publishing requests at those of downloads.
    """
    per_place = nodes // len(FOUR_PLACES)
    desks, vaults = max(1, round(per_place * 33 / 87)), max(1, per_place * 8 // 87)
    houses = per_place - desks - vaults
    services = tuple(
        ServiceRow(name, 9, dict.fromkeys(FOUR_PLACES, count))
        for name, count in ((_HOUSE, houses), (_DESK, desks), (_VAULT, vaults))
    )
    size = len(FOUR_PLACES)
    kinds = (
        KindRow(
            _FEED,
            _HOUSE,
            Rank.URGENT,
            588 / 46 * houses * size,
            390,
            1_086,
            8_686,
            8_686,
            inner=InnerCalls(_DESK_LOOKUP, 2, 0.7),
        ),
        KindRow(
            _PUBLISHING,
            _DESK,
            Rank.BULK,
            240 / 33 * desks * size,
            500,
            3_086,
            10_287,
            10_287,
            False,
            InnerCalls(_VAULT_LOOKUP, 1, 0.7),
        ),
        KindRow(
            _DOWNLOAD,
            _VAULT,
            Rank.NORMAL,
            85 / 8 * vaults * size,
            310,
            1_431,
            9_543,
            9_543,
        ),
        KindRow(_DESK_LOOKUP, _DESK, Rank.NORMAL, 0, 96, 478, 1_435, 1_435),
        KindRow(_VAULT_LOOKUP, _VAULT, Rank.NORMAL, 0, 96, 478, 1_435, 1_435),
    )
    return LoadPattern(
        "calls of running requests and new work at the same few servers",
        services,
        kinds,
        8,
        bursts=(BurstRow(2, 7, 2.0, _PUBLISHING), BurstRow(2, 7, 1.8, _FEED)),
        accounts=_accounts(),
        retry_slack=200.0,
    )


def _ranked_accounts(nodes: int) -> LoadPattern:
    return replace(
        _podcasts(nodes),
        name="the same, with accounts that set the rank of their requests",
        accounts=_accounts(ranked_every=5),
    )


def _account_surge(nodes: int) -> LoadPattern:
    podcasts = _podcasts(nodes)
    account = podcasts.accounts[0].name
    return replace(
        podcasts,
        name="an account at 7.5 times its usual rate",
        seconds=10,
        bursts=(BurstRow(4, 9, 1.5), BurstRow(4, 9, 7.5, account=account)),
    )


def _return_twice(nodes: int) -> LoadPattern:
    return replace(
        _podcasts(nodes), name="callers that return twice", caller_attempts=3
    )


def _shedding_half(nodes: int) -> LoadPattern:
    troubles = tuple(
        TroubleRow(2, 7, service, Trouble.SHEDDING, 1.0, 0.5)
        for service in (_HOUSE, _DESK, _VAULT)
    )
    return replace(
        _podcasts(nodes),
        name="all servers shed half of their load",
        bursts=(),
        troubles=troubles,
    )


def _nodes_killed(nodes: int) -> LoadPattern:
    troubles = tuple(
        TroubleRow(3, 8, service, Trouble.KILLED, 0.55, 1.0)
        for service in (_HOUSE, _DESK, _VAULT)
    )
    return replace(
        _podcasts(nodes),
        name="55% of the nodes are killed under full load",
        bursts=(BurstRow(0, 8, 1.3),),
        seconds=7,
        troubles=troubles,
    )


_BUILDERS = {
    "calm": lambda nodes: LoadPattern("calm", _mesh(nodes), _kinds(nodes, 0.5), 6),
    "burst": _burst,
    "repeats": _repeats,
    "slow": _slow,
    "shedding": _shedding,
    "failing": _failing,
    "partly-shedding": _partly_shedding,
    "contended": _contended,
    "podcasts": _podcasts,
    "ranked-accounts": _ranked_accounts,
    "account-surge": _account_surge,
    "return-twice": _return_twice,
    "shedding-half": _shedding_half,
    "nodes-killed": _nodes_killed,
}

LOAD_PATTERNS = tuple(_BUILDERS)
"""Names of the patterns."""


def pattern(name: str, nodes: int) -> LoadPattern:
    """Return a pattern for a mesh of about a number of nodes."""
    return _BUILDERS[name](nodes)
