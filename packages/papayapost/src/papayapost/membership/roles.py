"""Determines this node's relay roles from the ranking and the tree."""

from papayapost.kernel import System, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import DirectoryChanged, ParentChanged, RoleChanged
from papayapost.membership.peer_messages import HeartbeatAnswer
from papayapost.membership.tables import TreeTables
from papayapost.observe import Event, Noted
from papayapost.states import TreeLevel, TreeState

__all__ = ["AssignRoles"]


class AssignRoles(System):
    """Updates this node's relay roles and reports changes of them.

    Only a root, or a node whose directory was in sync with its parent's at
    least once, takes a role. Before that a node knows few members, and
    would rank too high among them.
    """

    consumes = (DirectoryChanged, HeartbeatAnswer, ParentChanged)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Determine the roles again and post a message if they changed."""
        tree, ranking, me = self._tree, self._members.ranking, self._members.me
        data_centre = me.place.data_centre
        is_root = tree.state is TreeState.ROOT
        knows_members = is_root or tree.is_synced
        is_eligible = knows_members and me.node_id in ranking
        before = _roles(tree)
        tree.level = ranking.level_of(me.node_id, data_centre)
        tree.is_link_relay = is_root
        tree.is_relay = is_root or (is_eligible and tree.level is TreeLevel.RELAY)
        tree.is_top_relay = is_eligible and ranking.is_highest(me.node_id, data_centre)
        is_standby = ranking.standby_relay(me.place.region) == me.node_id
        tree.is_standby_relay = is_eligible and is_standby and not is_root
        if _roles(tree) != before:
            tick.post(RoleChanged())
            detail = f"{tree.level.value}, {tree.state.value}"
            tick.emit(Noted(Event.ROLE_CHANGED, detail=detail))


def _roles(tree: TreeTables) -> tuple[TreeLevel, bool, bool, bool, bool]:
    return (
        tree.level,
        tree.is_relay,
        tree.is_link_relay,
        tree.is_standby_relay,
        tree.is_top_relay,
    )
