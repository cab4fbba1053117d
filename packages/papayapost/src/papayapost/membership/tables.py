"""Tables of the other nodes: the directory and the tree of relays."""

from dataclasses import dataclass

from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.place import Place
from papayapost.states import BackendServerState

__all__ = [
    "BackendServerRow",
    "ChildRow",
    "Directory",
    "ParentRow",
    "TreeTables",
    "directory_table",
]


@dataclass(slots=True)
class BackendServerRow:
    """One node with its backend server, as the node announces itself.

    A row with a higher ``(incarnation, revision)`` supersedes a lower one.

    Parameters
    ----------
    service
        Service of the backend server, or None on a VM without one.
    peer_address
        Where the owner node takes attempts and control messages.
    slots
        Calls that the backend server runs at once.
    """

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    service: ServiceName | None
    data_centre: DataCentreId
    region: RegionId
    peer_address: Address
    slots: int
    state: BackendServerState

    @property
    def stamp(self) -> tuple[int, int]:
        """Order of this row among all rows of its node."""
        return (self.incarnation, self.revision)

    @property
    def place(self) -> Place:
        """Where the backend server runs."""
        return Place(self.data_centre, self.region)


Directory = Table[NodeId, BackendServerRow]


def directory_table() -> Directory:
    """Return an empty directory, indexed by service and data centre."""
    return Table(
        "backend_servers",
        {
            "service": lambda row: row.service,
            "data_centre": lambda row: row.data_centre,
        },
    )


@dataclass(slots=True)
class ParentRow:
    """The node that this one takes rules and directory changes from."""

    node_id: NodeId
    address: Address


@dataclass(slots=True)
class ChildRow:
    """A node that takes rules and directory changes from this one.

    Parameters
    ----------
    version
        The rules version that the child last acknowledged.
    """

    node_id: NodeId
    address: Address
    incarnation: Incarnation
    version: RuleVersion


class TreeTables:
    """The place of this node in the tree of relays.

    Attributes
    ----------
    is_relay
        Whether the node is one of the relays of its data centre.
    is_link_relay
        Whether the node watches the store for its region.
    parent
        None on a link relay, and while no parent has accepted this node.
    floor_version
        The highest version that others saw this node reach before its
        restart; it must not serve an older one.
    """

    def __init__(self):
        self.is_relay = False
        self.is_link_relay = False
        self.parent: ParentRow | None = None
        self.floor_version = RuleVersion(0)
        self.children: Table[NodeId, ChildRow] = Table("children")
