"""Messages of membership within one node; all parts may take them."""

from dataclasses import dataclass

from papayapost.ids import Address, NodeId, RuleVersion
from papayapost.membership.tables import BackendServerRow, ChildRow, ParentRow

__all__ = [
    "ChildAcknowledged",
    "ChildJoined",
    "ChildLeft",
    "DirectoryChanged",
    "LeaveMesh",
    "MemberSuspected",
    "OwnRowChanged",
    "ParentChanged",
    "ParentLost",
    "ParentVersionSeen",
    "RoleChanged",
    "RowsArrived",
    "RowsToSpread",
]


@dataclass(slots=True)
class LeaveMesh:
    """Input: the process is about to exit; tell the others."""


@dataclass(slots=True)
class OwnRowChanged:
    """Internal: this node's own row has a new revision to announce."""


@dataclass(slots=True)
class RowsArrived:
    """Internal: rows from another node or from the store.

    Parameters
    ----------
    source, reply_to
        Who sent them, and where rows that supersede them go; None for the
        store.
    """

    source: NodeId | None
    reply_to: Address | None
    rows: tuple[BackendServerRow, ...]


@dataclass(slots=True)
class RowsToSpread:
    """Internal: these members' rows changed and go on through the tree."""

    source: NodeId | None
    node_ids: tuple[NodeId, ...]
    is_urgent: bool


@dataclass(slots=True)
class DirectoryChanged:
    """Internal: these rows were inserted, replaced or removed.

    A removed row is reported with the state GONE.
    """

    rows: tuple[BackendServerRow, ...]


@dataclass(slots=True)
class ParentChanged:
    """Internal: the node has a new parent, or none."""

    parent: ParentRow | None


@dataclass(slots=True)
class ParentLost:
    """Internal: the parent is gone or no longer knows this node."""

    reason: str


@dataclass(slots=True)
class ParentVersionSeen:
    """Internal: the parent shows another rules version than before."""

    version: RuleVersion
    digest: int


@dataclass(slots=True)
class ChildJoined:
    """Internal: a child was accepted; its version is in its row."""

    child: ChildRow


@dataclass(slots=True)
class ChildAcknowledged:
    """Internal: a child's heartbeat shows another version than before."""

    child: ChildRow


@dataclass(slots=True)
class ChildLeft:
    """Internal: a child left or was given up."""

    node_id: NodeId


@dataclass(slots=True)
class MemberSuspected:
    """Internal: a member was silent for too long."""

    node_id: NodeId


@dataclass(slots=True)
class RoleChanged:
    """Internal: the node's relay roles changed; see `TreeTables`."""
