"""The load patterns: loads that meshes were seen to serve badly."""

from dataclasses import replace

from papayapost.ids import ServiceName
from papayapost.states import Rank
from papayapost_testing.load_patterns.rows import (
    BurstRow,
    InnerCalls,
    KindRow,
    LoadPattern,
    ServiceRow,
    Trouble,
    TroubleRow,
    WaveRow,
)
from papayapost_testing.traffic_worlds import FOUR_PLACES, NORTH_1

__all__ = ["LOAD_PATTERNS", "pattern"]

_DESK = ServiceName("desk")
_STOCK = ServiceName("stock")
_LOOKUP, _ORDER, _SCAN, _COUNT = "lookup", "order", "scan", "count"
_BOOKING = "booking"
_BOOK, _VAULT = ServiceName("book"), ServiceName("vault")
_DOWNLOAD, _CORRECTION, _PAGE = "download", "correction", "page"
_DOWNLOAD_BYTES = 90_000
_VAULT_LINKS_MBPS = (10.0, 7.5, 7.5, 10.0, 5.0)
_VAULT_LINKS_LOAD = 0.74
_SPEEDS_NEAR_ONE = (0.8, 1.0, 1.2)


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


def _downloads(nodes: int) -> LoadPattern:
    """Return a service whose links are nearly full of large answers.

    One of its five servers is alone in each data centre of the second region.
    Each of the five has three slots and also serves the calls of the servers
    that take corrections. Large answers need 0.74 of all links, and all that
    the two in the second region have.
    """
    places = FOUR_PLACES
    others = max(1, nodes // len(places) - 1)
    books = max(1, others // 3)
    vault = dict(zip(places, (2, 1, 1, 1), strict=True))
    services = (
        ServiceRow(_BOOK, 3, dict.fromkeys(places, books)),
        ServiceRow(_DESK, 3, dict.fromkeys(places, others - books)),
        ServiceRow(_VAULT, 3, vault, _SPEEDS_NEAR_ONE, _VAULT_LINKS_MBPS),
    )
    corrections_per_s = 0.45 * len(places) * books * 3 / 0.18
    return LoadPattern(
        "downloads over links that are nearly full",
        services,
        (
            KindRow(
                _DOWNLOAD,
                _VAULT,
                Rank.NORMAL,
                _VAULT_LINKS_LOAD * sum(_VAULT_LINKS_MBPS) / 8 * 1e6 / _DOWNLOAD_BYTES,
                110,
                1_324,
                3_310,
                3_310,
                answer_bytes=_DOWNLOAD_BYTES,
                is_link_last=True,
            ),
            KindRow(
                _CORRECTION,
                _BOOK,
                Rank.HIGH,
                corrections_per_s,
                180,
                1_123,
                2_807,
                2_807,
                False,
                InnerCalls(_PAGE, 1, 0.7),
            ),
            KindRow(_PAGE, _VAULT, Rank.HIGH, 0, 40, 259, 865, 865),
        ),
        15,
    )


def _waves(nodes: int) -> LoadPattern:
    waves = tuple(
        WaveRow(place, 0.5, 8, 2 * at) for at, place in enumerate(FOUR_PLACES)
    )
    return LoadPattern(
        "data centres whose load varies by half at different times",
        _mesh(nodes),
        _kinds(nodes, 0.8),
        8,
        waves=waves,
    )


def _speeds(nodes: int) -> LoadPattern:
    services = tuple(replace(row, speeds=(0.5, 1.0, 1.5)) for row in _mesh(nodes))
    return LoadPattern("servers of threefold speed", services, _kinds(nodes, 0.8), 8)


def _all_shedding(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 11, _DESK, Trouble.SHEDDING, 1.0, 0.5)
    return LoadPattern(
        "all servers of a service refuse half of their calls for 9 s",
        _mesh(nodes),
        _kinds(nodes, 0.5),
        12,
        troubles=(trouble,),
    )


def _some_shedding(nodes: int) -> LoadPattern:
    trouble = TroubleRow(2, 7, _DESK, Trouble.SHEDDING, 0.33, 0.6)
    return LoadPattern(
        "a third of the servers refuse six tenths of their calls",
        _mesh(nodes),
        _kinds(nodes, 0.5),
        8,
        troubles=(trouble,),
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
    "downloads": _downloads,
    "waves": _waves,
    "speeds": _speeds,
    "all-shedding": _all_shedding,
    "some-shedding": _some_shedding,
}

LOAD_PATTERNS = tuple(_BUILDERS)
"""Names of the patterns."""


def pattern(name: str, nodes: int) -> LoadPattern:
    """Return a pattern for a mesh of about a number of nodes."""
    return _BUILDERS[name](nodes)
