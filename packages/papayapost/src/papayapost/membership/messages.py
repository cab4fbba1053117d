"""Messages of membership and of the tree of relays.

Types whose first field is ``sender`` travel between nodes.
"""

from dataclasses import dataclass

from papayapost.ids import Address, NodeId
from papayapost.membership.tables import BackendServerRow, ChildRow, ParentRow

__all__ = [
    "Announcement",
    "ChildJoined",
    "ChildLeft",
    "DirectoryChanged",
    "OwnRowChanged",
    "ParentChanged",
    "RefreshDue",
    "RoleChanged",
]


@dataclass(slots=True)
class Announcement:
    """Rows of the directory, each superseding its older revisions."""

    sender: NodeId
    reply_to: Address
    rows: tuple[BackendServerRow, ...]
    wants_reply: bool


@dataclass(slots=True)
class RefreshDue:
    """Timer: announce to the seeds again."""


@dataclass(slots=True)
class OwnRowChanged:
    """Internal: this node's own row has a new revision to announce."""


@dataclass(slots=True)
class DirectoryChanged:
    """Internal: these rows were inserted, replaced or removed."""

    rows: tuple[BackendServerRow, ...]


@dataclass(slots=True)
class ParentChanged:
    """Internal: the node has a new parent, or none."""

    parent: ParentRow | None


@dataclass(slots=True)
class ChildJoined:
    """Internal: a child was accepted; its version is in its row."""

    child: ChildRow


@dataclass(slots=True)
class ChildLeft:
    """Internal: a child left or was given up."""

    node_id: NodeId


@dataclass(slots=True)
class RoleChanged:
    """Internal: the node's relay roles changed; see `TreeTables`."""
