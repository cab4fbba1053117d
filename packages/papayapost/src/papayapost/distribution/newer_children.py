"""The system that requests rules from a child with a newer version."""

from papayapost.define import define
from papayapost.distribution.peer_messages import RulesRequest
from papayapost.distribution.rules_table import RulesTable
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import ChildJoined, ChildRow, ChildVersionChanged, TreeTables
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["RequestFromChildren"]

_RETRY_US = 1_000_000


@define
class NewerChildDue:
    """Timer: request again if the child still holds a newer version."""

    node_id: NodeId


class RequestFromChildren(System):
    """Requests rules from a child whose heartbeat shows a newer version.

    The standby relay watches the store too. If the link relay cannot reach
    the store, a new version passes from the standby relay up to the link
    relay, because each node on this path requests it from its child. The link
    relay then distributes it to its other children.
    """

    consumes = (ChildVersionChanged, ChildJoined, NewerChildDue)

    def __init__(self, me: SelfRow, rules: RulesTable, tree: TreeTables):
        self._me = me
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Send a request to each child that holds a newer version."""
        for joined in tick.take(ChildJoined):
            self._request_if_newer(tick, joined.child)
        for changed in tick.take(ChildVersionChanged):
            self._request_if_newer(tick, changed.child)
        for due in tick.take(NewerChildDue):
            child = self._tree.children.get(due.node_id)
            if child is not None:
                self._request_if_newer(tick, child)

    def _request_if_newer(self, tick: Tick, child: ChildRow) -> None:
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
        due = NewerChildDue(child.node_id)
        due_us = Micros(tick.now_us + _RETRY_US)
        tick.set_timer(("newer child", child.node_id), due_us, due)
