"""The ranking of nodes, which determines all roles in the tree.

The rank of a node is a hash of its name, so that all nodes agree on it and
it never changes. A parent always ranks above its children. The parent links
therefore never form a cycle, even if nodes have different directories.
"""

from bisect import bisect_left, insort
from heapq import nsmallest
from random import Random

from xxhash import xxh64_intdigest

from papayapost.ids import DataCentreId, NodeId, RegionId
from papayapost.place import Place
from papayapost.states import TreeLevel

__all__ = ["RankKey", "Ranking", "rank_key"]

RELAYS_PER_DATA_CENTRE = 3
TARGET_CHILDREN = 38
MAX_CHILDREN = 50

_MAX_CANDIDATES = 6
_FALLBACK_CANDIDATES = 2

RankKey = tuple[int, NodeId]


def rank_key(node_id: NodeId) -> RankKey:
    """Return the sort key of a node; the lowest key ranks highest.

    Examples
    --------
    >>> rank_key(NodeId("a")) < rank_key(NodeId("b"))
    False
    """
    return (xxh64_intdigest(node_id.encode(), seed=1), node_id)


class Ranking:
    """The members that may take a role in the tree, ranked by data centre."""

    def __init__(self):
        self._rank_keys: dict[DataCentreId, list[RankKey]] = {}
        self._places: dict[NodeId, Place] = {}
        self._regions: dict[RegionId, dict[DataCentreId, None]] = {}

    def __contains__(self, node_id: NodeId) -> bool:
        return node_id in self._places

    def add(self, node_id: NodeId, place: Place) -> None:
        """Add a member to the ranking of its data centre, or move it there."""
        if self._places.get(node_id) == place:
            return
        self.remove(node_id)
        self._places[node_id] = place
        self._regions.setdefault(place.region, {})[place.data_centre] = None
        rank_keys = self._rank_keys.setdefault(place.data_centre, [])
        insort(rank_keys, rank_key(node_id))

    def remove(self, node_id: NodeId) -> None:
        """Remove a member from the ranking, so that it takes no role."""
        place = self._places.pop(node_id, None)
        if place is not None:
            rank_keys = self._rank_keys[place.data_centre]
            del rank_keys[bisect_left(rank_keys, rank_key(node_id))]

    def size(self, data_centre: DataCentreId) -> int:
        """Return the number of ranked members of a data centre."""
        return len(self._rank_keys.get(data_centre, ()))

    def level_of(self, node_id: NodeId, data_centre: DataCentreId) -> TreeLevel:
        """Return the tree level of a node, whether or not it is ranked."""
        rank_keys = self._rank_keys.get(data_centre, [])
        position = bisect_left(rank_keys, rank_key(node_id))
        if position < RELAYS_PER_DATA_CENTRE:
            return TreeLevel.RELAY
        if position < RELAYS_PER_DATA_CENTRE + self._count_parents(data_centre):
            return TreeLevel.PARENT
        return TreeLevel.LEAF

    def is_highest(self, node_id: NodeId, data_centre: DataCentreId) -> bool:
        """Return whether no member of the data centre ranks above the node."""
        rank_keys = self._rank_keys.get(data_centre, [])
        return bisect_left(rank_keys, rank_key(node_id)) == 0

    def relays(self, data_centre: DataCentreId) -> list[NodeId]:
        """Return the relays of a data centre, highest rank first."""
        rank_keys = self._rank_keys.get(data_centre, [])
        return [node_id for _, node_id in rank_keys[:RELAYS_PER_DATA_CENTRE]]

    def standby_relay(self, region: RegionId) -> NodeId | None:
        """Return the relay that, like the link relay, watches the store.

        It is the highest-ranked relay in a data centre other than the link
        relay's: if that data centre is partitioned, the region still
        receives rules from the store. In a region with one data centre it
        is the second-highest relay. Returns None if there is no such relay.
        """
        relays = self._relays_of(region)
        if not relays:
            return None
        link_data_centre = self._places[relays[0]].data_centre
        for relay in relays[1:]:
            if self._places[relay].data_centre != link_data_centre:
                return relay
        return relays[1] if len(relays) > 1 else None

    def sample(
        self, data_centre: DataCentreId, count: int, random: Random
    ) -> list[NodeId]:
        """Return up to `count` random members of a data centre."""
        rank_keys = self._rank_keys.get(data_centre, [])
        chosen = random.sample(rank_keys, min(count, len(rank_keys)))
        return [node_id for _, node_id in chosen]

    def parents_for(self, node_id: NodeId, place: Place) -> list[NodeId]:
        """Return the members that suit a node as its parent, best first.

        All of them should rank above the node; the receiver of a join
        request checks this again.
        """
        level = self.level_of(node_id, place.data_centre)
        if level is TreeLevel.RELAY:
            return self._parents_for_relay(node_id, place)
        relays = _rendezvous_order(node_id, self.relays(place.data_centre))
        parents = self._parents(place.data_centre)
        if level is TreeLevel.PARENT:
            own = rank_key(node_id)
            above = [other for other in parents if rank_key(other) < own]
            return relays + _rendezvous_order(node_id, above)[:_FALLBACK_CANDIDATES]
        return _rendezvous_order(node_id, parents)[:_MAX_CANDIDATES] + relays

    def is_suitable_parent(
        self, parent_id: NodeId, node_id: NodeId, place: Place
    ) -> bool:
        """Return whether a member has the rank and level to be the parent."""
        if rank_key(parent_id) >= rank_key(node_id):
            return False
        level = self.level_of(node_id, place.data_centre)
        if level is TreeLevel.RELAY:
            return parent_id in self._parents_for_relay(node_id, place)[:1]
        if level is TreeLevel.LEAF and self._count_parents(place.data_centre):
            return parent_id in self._parents(place.data_centre)
        return parent_id in self.relays(place.data_centre)

    def _parents_for_relay(self, node_id: NodeId, place: Place) -> list[NodeId]:
        own = rank_key(node_id)
        relays = self._relays_of(place.region)
        above = [relay for relay in relays if rank_key(relay) < own]
        near = [
            r for r in above[1:] if self._places[r].data_centre == place.data_centre
        ]
        far = [relay for relay in above[1:] if relay not in near]
        return [*above[:1], *near, *far]

    def _relays_of(self, region: RegionId) -> list[NodeId]:
        """Return the relays of a whole region, highest rank first."""
        relays = [
            relay
            for data_centre in self._regions.get(region, {})
            for relay in self.relays(data_centre)
        ]
        return sorted(relays, key=rank_key)

    def _count_parents(self, data_centre: DataCentreId) -> int:
        size = self.size(data_centre)
        if size <= RELAYS_PER_DATA_CENTRE + TARGET_CHILDREN:
            return 0
        return -(-size // TARGET_CHILDREN)

    def _parents(self, data_centre: DataCentreId) -> list[NodeId]:
        last = RELAYS_PER_DATA_CENTRE + self._count_parents(data_centre)
        rank_keys = self._rank_keys.get(data_centre, [])
        return [node_id for _, node_id in rank_keys[RELAYS_PER_DATA_CENTRE:last]]


def _rendezvous_order(node_id: NodeId, candidates: list[NodeId]) -> list[NodeId]:
    """Sort candidates by rendezvous hash, so that nodes choose differently."""
    return nsmallest(
        len(candidates),
        candidates,
        key=lambda candidate: xxh64_intdigest(f"{node_id}/{candidate}".encode()),
    )
