"""Chooses the peers with which a node exchanges heartbeats.

The nodes of a region form a ring in the order of their ranks. A node's
partners are its neighbours in the ring of its region, its neighbours in the
ring of each other region, and the leaders of its region. The first leaders of
a region are its relays, which are also partners of those of other regions.
Nodes with the same directory agree on who is whose partner. The number of
partners of a node does not grow with the mesh, but for the leaders, whose
partners are all nodes of their region.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

from papayapost.ids import DataCentreId, NodeId, RegionId
from papayapost.membership.ranking import RankKey
from papayapost.place import Place

__all__ = ["Neighbourhood", "ring_neighbours"]

_RELAYS = 2
_REGION_REACH = 2
_CROSS_REGION_REACH = 1


def ring_neighbours(ring: Sequence[RankKey], rank: RankKey, reach: int) -> set[NodeId]:
    """Return the nodes next to a rank in a ring, up to `reach` on each side.

    Examples
    --------
    >>> ring = [(1, NodeId("a")), (4, NodeId("b")), (6, NodeId("c"))]
    >>> ring.append((9, NodeId("d")))
    >>> sorted(ring_neighbours(ring, (4, NodeId("b")), 1))
    ['a', 'c']
    >>> sorted(ring_neighbours(ring, (10, NodeId("e")), 1))
    ['a', 'd']
    """
    if not ring:
        return set()
    position = bisect_left(ring, rank)
    is_member = position < len(ring) and ring[position] == rank
    first_after = position + is_member
    positions = [*range(position - reach, position)]
    positions += range(first_after, first_after + reach)
    return {ring[item % len(ring)][1] for item in positions} - {rank[1]}


class Neighbourhood:
    """The position of a node among the live nodes of the mesh.

    Parameters
    ----------
    own
        Rank of the node.
    place
        Location of the node.
    others
        Rank and location of each other live node.
    """

    def __init__(
        self, own: RankKey, place: Place, others: Iterable[tuple[RankKey, Place]]
    ):
        self._own = own
        self._rings: dict[RegionId, list[RankKey]] = {}
        self._highest: dict[DataCentreId, RankKey] = {}
        for rank, other_place in [(own, place), *others]:
            self._rings.setdefault(other_place.region, []).append(rank)
            if other_place.region == place.region:
                highest = self._highest.get(other_place.data_centre, rank)
                self._highest[other_place.data_centre] = min(highest, rank)
        for ring in self._rings.values():
            ring.sort()
        self._own_ring = self._rings.pop(place.region)
        self._partners: set[NodeId] | None = None

    def leaders(self) -> set[RankKey]:
        """Return the leaders of this node's region.

        They are the highest-ranked nodes of the region, and the highest-ranked
        node of each of its data centres: if all nodes of a data centre are
        lost, a leader in another one notices.
        """
        return {*self._own_ring[:_RELAYS], *self._highest.values()}

    @property
    def is_relay(self) -> bool:
        """Whether this node passes rows on to its region."""
        return self._own in self._own_ring[:_RELAYS]

    def others_of_region(self) -> set[NodeId]:
        """Return the other nodes of this node's region."""
        return {node_id for _, node_id in self._own_ring} - {self._own[1]}

    def relays(self) -> set[NodeId]:
        """Return the other relays of this node's region."""
        return {node_id for _, node_id in self._own_ring[:_RELAYS]} - {self._own[1]}

    def far_relays(self) -> set[NodeId]:
        """Return the relays of all other regions."""
        return {
            node_id for ring in self._rings.values() for _, node_id in ring[:_RELAYS]
        }

    def partners(self) -> set[NodeId]:
        """Return the nodes with which this one exchanges heartbeats."""
        if self._partners is None:
            self._partners = self._find_partners()
        return self._partners

    def _find_partners(self) -> set[NodeId]:
        own, leaders = self._own, self.leaders()
        chosen = self._own_ring if own in leaders else leaders
        partners = {node_id for _, node_id in chosen} - {own[1]}
        partners |= ring_neighbours(self._own_ring, own, _REGION_REACH)
        for ring in self._rings.values():
            partners |= ring_neighbours(ring, own, _CROSS_REGION_REACH)
            partners |= {rank[1] for rank in ring if self.is_next_to(rank, False)}
        return partners | self.far_relays() if self.is_relay else partners

    def is_next_to(self, rank: RankKey, is_same_region: bool) -> bool:
        """Return whether this node is next to a node in its region's ring.

        Parameters
        ----------
        rank
            Rank of the other node, which may be dead.
        is_same_region
            Whether the other node is in the region of this one.
        """
        reach = _REGION_REACH if is_same_region else _CROSS_REGION_REACH
        return self._own[1] in ring_neighbours(self._own_ring, rank, reach)
