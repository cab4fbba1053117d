"""Messages of membership within a node, which systems of any part consume."""

from papayapost.define import define
from papayapost.ids import Address, NodeId, RuleVersion
from papayapost.membership.tables import BackendServerRow, ChildRow, ParentRow

__all__ = [
    "ChildJoined",
    "ChildLeft",
    "ChildVersionChanged",
    "DirectoryChanged",
    "LeaveMesh",
    "MemberSuspected",
    "OwnRowChanged",
    "ParentChanged",
    "ParentLost",
    "ParentVersionChanged",
    "RoleChanged",
    "RowsReceived",
    "RowsToDisseminate",
]


@define
class LeaveMesh:
    """Input: this process is about to exit; notify the other nodes."""


@define
class OwnRowChanged:
    """Internal: this node's own row changed and has to be announced."""


@define
class RowsReceived:
    """Internal: rows received from another node or read from the store.

    Parameters
    ----------
    source
        Node that sent the rows; None if they come from the store or from
        this node's failure detection.
    reply_to
        Address to which rows that supersede the received ones are sent;
        None to send no answer.
    """

    source: NodeId | None
    reply_to: Address | None
    rows: tuple[BackendServerRow, ...]


@define
class RowsToDisseminate:
    """Internal: disseminate the changed rows of these members in the tree.

    Parameters
    ----------
    source
        Node from which the rows came, to which they are not sent back; None
        if there is no such node.
    is_urgent
        Whether the changes affect where calls may be sent.
    """

    source: NodeId | None
    node_ids: tuple[NodeId, ...]
    is_urgent: bool


@define
class DirectoryChanged:
    """Internal: rows of the directory were inserted, replaced or removed.

    A removed row has the state GONE.
    """

    rows: tuple[BackendServerRow, ...]


@define
class ParentChanged:
    """Internal: this node has a new parent, or no longer has one."""

    parent: ParentRow | None


@define
class ParentLost:
    """Internal: the parent failed or no longer lists this node as a child."""

    reason: str


@define
class ParentVersionChanged:
    """Internal: the parent reported a rules version different from before."""

    version: RuleVersion
    digest: int


@define
class ChildJoined:
    """Internal: a child was accepted; its row holds its rules version."""

    child: ChildRow


@define
class ChildVersionChanged:
    """Internal: a child's heartbeat reported a different rules version."""

    child: ChildRow


@define
class ChildLeft:
    """Internal: a child left, or was removed because it failed."""

    node_id: NodeId


@define
class MemberSuspected:
    """Internal: a member was silent, or not reported alive, for too long."""

    node_id: NodeId


@define
class RoleChanged:
    """Internal: the relay roles in this node's `TreeTables` changed."""
