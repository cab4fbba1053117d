"""The system that takes rules from a child that is ahead."""

from dataclasses import dataclass

from papayapost.distribution.held import RulesTable
from papayapost.distribution.peer_messages import RulesRequest
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import ChildAcknowledged, ChildJoined, ChildRow, TreeTables
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["FollowChildren"]

_RETRY_US = 1_000_000


@dataclass(slots=True)
class ChildAheadDue:
    """Timer: ask again if the child is still ahead."""

    node_id: NodeId


class FollowChildren(System):
    """Asks a child whose heartbeat shows a newer version than the held one.

    The stand-by watches the store too. Where the link relay has lost the
    store, the news comes up to it along this way and down to the others
    from there.
    """

    consumes = (ChildAcknowledged, ChildJoined, ChildAheadDue)

    def __init__(self, me: SelfRow, rules: RulesTable, tree: TreeTables):
        self._me = me
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Ask each child that is ahead."""
        for joined in tick.take(ChildJoined):
            self._follow(tick, joined.child)
        for beat in tick.take(ChildAcknowledged):
            self._follow(tick, beat.child)
        for due in tick.take(ChildAheadDue):
            child = self._tree.children.get(due.node_id)
            if child is not None:
                self._follow(tick, child)

    def _follow(self, tick: Tick, child: ChildRow) -> None:
        rules = self._rules
        if child.version <= rules.held_version:
            return
        request = RulesRequest(
            self._me.node_id,
            self._me.peer_address,
            rules.held_version,
            rules.held_digest,
        )
        tick.emit(PeerSend(child.address, request))
        due = ChildAheadDue(child.node_id)
        due_us = Micros(tick.now_us + _RETRY_US)
        tick.set_timer(("child ahead", child.node_id), due_us, due)
