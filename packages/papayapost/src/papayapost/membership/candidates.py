"""Candidates that a node may ask to become its parent, best first."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import chain

from papayapost.ids import Address
from papayapost.membership.members import Members
from papayapost.membership.tables import TreeTables

__all__ = ["Candidates"]


class Candidates:
    """Lists the nodes that this node may ask to become its parent.

    Nodes recommended by other nodes come first, then suitable members of
    the directory. A node without a parent that knows no other member, or
    has finished a round without success, also tries the seeds and the
    contacts read from the store.

    Parameters
    ----------
    seeds
        Peer addresses from the settings, without this node's own.
    """

    def __init__(self, members: Members, tree: TreeTables, seeds: Sequence[Address]):
        self._me = members.me
        self._members = members
        self._tree = tree
        self._seeds = seeds

    def untried_addresses(self) -> Iterator[Address]:
        """Yield the candidate addresses not yet asked in this round."""
        tree, seek = self._tree, self._tree.seek
        sources: list[Iterable[Address]] = [seek.contacts, self.ranked_addresses()]
        if tree.parent is None and (len(self._members.directory) == 1 or seek.rounds):
            sources += [self._seeds, seek.stored_contacts]
        for address in chain.from_iterable(sources):
            if address not in seek.tried and address != self._me.peer_address:
                yield address

    def ranked_addresses(self) -> list[Address]:
        """Return addresses of suitable parents, without the present parent."""
        me, ranking = self._me, self._members.ranking
        ranked = ranking.parents_for(me.node_id, me.place)
        parent = self._tree.parent
        if parent is not None:
            ranked = [
                other
                for other in ranked
                if other != parent.node_id
                and ranking.is_suitable_parent(other, me.node_id, me.place)
            ]
        directory = self._members.directory
        return [directory.require(other).peer_address for other in ranked]
