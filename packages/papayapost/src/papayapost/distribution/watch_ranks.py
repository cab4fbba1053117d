"""Ranks the nodes of each region by how well they suit as relays of rules."""

from collections.abc import Iterable

from papayapost.define import define
from papayapost.ids import DataCentreId, NodeId, RegionId
from papayapost.membership import BackendServerRow, Directory, rank_key
from papayapost.states import BackendServerState

__all__ = ["RELAYS", "RegionRank", "WatchRanks", "rank_region"]

RELAYS = 2
_DEPUTIES = 2
_MIN_SERVED = 4
_MBPS_FOR_EACH_SERVED = 2.0
"""How many nodes that start get the whole rules from one node, by the rate of
its link: a compressed text of 150 KB takes 0.6 s at 2 Mbit/s."""

_LEAVING_STATES = (BackendServerState.DRAINING, BackendServerState.GONE)


def rank_region(directory: Directory, region: RegionId) -> list[BackendServerRow]:
    """Return the nodes of a region that may become relays, best first.

    Nodes with faster links come first: a relay reads the whole rules from the
    store, which on a slow link would hold up the calls of its VM.
    The highest-ranked nodes of all data centres come before the others, so
    that the loss of one data centre does not take all relays.
    """
    rows = [
        row
        for row in directory
        if row.region == region and row.state not in _LEAVING_STATES
    ]
    rows.sort(key=lambda row: (-row.link_mbps, rank_key(row.node_id)))
    firsts: dict[DataCentreId, NodeId] = {}
    for row in rows:
        firsts.setdefault(row.data_centre, row.node_id)
    return sorted(
        rows,
        key=lambda row: (-row.link_mbps, firsts[row.data_centre] != row.node_id),
    )


@define
class RegionRank:
    """The nodes of one region that may become relays, best first.

    Parameters
    ----------
    relays
        Those that watch the store for their region.
    deputies
        Those that watch it first if the relays do not reach it.
    """

    relays: list[NodeId]
    deputies: list[NodeId]


@define(frozen=True)
class _Standing:
    """What the rank of a node depends on, besides its name."""

    region: RegionId
    data_centre: DataCentreId
    link_mbps: float
    is_leaving: bool

    @classmethod
    def of(cls, row: BackendServerRow | None) -> "_Standing | None":
        if row is None:
            return None
        is_leaving = row.state in _LEAVING_STATES
        return cls(row.region, row.data_centre, row.link_mbps, is_leaving)


class WatchRanks:
    """Ranks of the nodes in the directory, refreshed when that changes.

    Attributes
    ----------
    regions
        First nodes of each region.
    """

    def __init__(self, directory: Directory, region: RegionId):
        self._directory = directory
        self._region = region
        self._standings: dict[NodeId, _Standing] = {}
        self._positions: dict[NodeId, int] = {}
        self._ranked: list[NodeId] = []
        self.regions: dict[RegionId, RegionRank] = {}
        self.refresh(directory)

    def refresh(self, changed: Iterable[BackendServerRow]) -> None:
        """Rank the nodes of those regions anew in which a rank may change.

        Most changes of a row, as of the state of its backend server, leave
        the ranks as they are.
        """
        regions: set[RegionId] = set()
        for row in changed:
            before = self._standings.get(row.node_id)
            standing = _Standing.of(self._directory.get(row.node_id))
            if standing != before:
                regions |= {item.region for item in (before, standing) if item}
                if standing is None:
                    del self._standings[row.node_id]
                else:
                    self._standings[row.node_id] = standing
        for region in regions:
            self._rank(region)

    def _rank(self, region: RegionId) -> None:
        ranked = [row.node_id for row in rank_region(self._directory, region)]
        heads = ranked[: RELAYS + _DEPUTIES]
        self.regions[region] = RegionRank(heads[:RELAYS], heads[RELAYS:])
        if region == self._region:
            self._ranked = ranked
            self._positions = {node_id: at for at, node_id in enumerate(ranked)}

    @property
    def own(self) -> RegionRank:
        """First nodes of this node's region."""
        return self.regions.get(self._region) or RegionRank([], [])

    @property
    def size(self) -> int:
        """Number of nodes of this node's region that may become relays."""
        return max(1, len(self._positions))

    def position(self, node_id: NodeId) -> int:
        """Return a node's place in the rank of this region, from 0 on.

        Nodes that may not become relays come after all others.
        """
        return self._positions.get(node_id, len(self._positions))

    def text_source(self, node_id: NodeId) -> NodeId | None:
        """Return from whom a node of this region gets the whole rules.

        The region is a tree in the order of rank. Each node serves as many
        others as its link allows; None for a relay and for an unknown node.
        """
        position = self.position(node_id)
        if position < RELAYS or position >= len(self._ranked):
            return None
        served_until = RELAYS
        for above in self._ranked[:position]:
            row = self._directory.get(above)
            link_mbps = row.link_mbps if row else 0.0
            served_until += max(_MIN_SERVED, int(link_mbps / _MBPS_FOR_EACH_SERVED))
            if position < served_until:
                return above
        return None

    def far_relays(self) -> list[BackendServerRow]:
        """Return the relays of the other regions."""
        rows = (
            self._directory.get(node_id)
            for region, rank in sorted(self.regions.items())
            if region != self._region
            for node_id in rank.relays
        )
        return [row for row in rows if row is not None]
