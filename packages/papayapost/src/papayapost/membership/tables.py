"""Tables of the other nodes: the directory and the tree of relays."""

from dataclasses import dataclass
from itertools import islice

from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.membership.digests import bucket_key
from papayapost.membership.upkeep import (
    NEVER,
    KnownVersion,
    RepairRow,
    SeekRow,
    SuspectRow,
)
from papayapost.place import Place
from papayapost.states import BackendServerState, MemberState, TreeLevel, TreeState

__all__ = [
    "BackendServerRow",
    "ChildRow",
    "Directory",
    "ParentRow",
    "TombstoneRow",
    "TreeTables",
    "directory_table",
]

_VERSION_LIFE_US = 600 * 1_000_000
_MAX_KNOWN_VERSIONS = 5_000
NO_VERSION = RuleVersion(0)


@dataclass(slots=True)
class BackendServerRow:
    """One node with its backend server, as the node announces itself.

    A row with a higher ``(incarnation, revision)`` supersedes a lower one;
    at the same stamp, a row whose state is GONE supersedes the others.

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
    def precedence(self) -> tuple[int, int, bool]:
        """The stamp, completed so that no two different rows tie."""
        return (self.incarnation, self.revision, self.is_gone)

    @property
    def is_gone(self) -> bool:
        """Whether the row says that the node left or died."""
        return self.state is BackendServerState.GONE

    @property
    def place(self) -> Place:
        """Where the backend server runs."""
        return Place(self.data_centre, self.region)


Directory = Table[NodeId, BackendServerRow]


def directory_table() -> Directory:
    """Return an empty directory with its indexes.

    The buckets are those that digests are compared by.
    """
    return Table(
        "backend_servers",
        {
            "service": lambda row: row.service,
            "data_centre": lambda row: row.data_centre,
            "peer_address": lambda row: row.peer_address,
            "bucket": lambda row: bucket_key(row.data_centre, row.node_id),
        },
    )


@dataclass(slots=True)
class TombstoneRow:
    """A node that left or died, kept so that no older row revives it."""

    row: BackendServerRow
    buried_us: Micros


@dataclass(slots=True)
class ParentRow:
    """The node that this one takes rules and directory changes from.

    Parameters
    ----------
    version, digest
        The rules version that the parent last showed, and its digest.
    """

    node_id: NodeId
    address: Address
    version: RuleVersion = NO_VERSION
    digest: int = 0


@dataclass(slots=True)
class ChildRow:
    """A node that takes rules and directory changes from this one.

    Parameters
    ----------
    version, digest
        The rules version that the child last acknowledged, and its digest.
    heard_us
        When the child's last heartbeat arrived.
    """

    node_id: NodeId
    address: Address
    incarnation: Incarnation
    version: RuleVersion
    digest: int = 0
    heard_us: Micros = NEVER
    state: MemberState = MemberState.ALIVE


class TreeTables:
    """The place of this node in the tree of relays.

    Attributes
    ----------
    is_relay
        Whether the node is one of the relays of its data centre.
    is_link_relay
        Whether the node watches the store for its region.
    is_stand_by
        Whether the node watches the store beside the link relay, from
        another data centre where there is one.
    is_top_relay
        Whether the node writes its data centre's directory to the store.
    parent
        None on a link relay, and while no parent has accepted this node.
    is_synced
        Whether the directory was equal to the parent's at least once.
    acknowledged_us
        When the parent last answered a heartbeat.
    floor_version
        The highest rules version that a former process of this node is
        known to have acknowledged; 0 where nobody knows of one.
    own_version, own_digest
        What the heartbeats report; the distribution part writes them.
    known_versions
        Versions of nodes that were children here or are vouched for.
    """

    def __init__(self):
        self.state = TreeState.SEEKING
        self.level = TreeLevel.LEAF
        self.is_relay = False
        self.is_link_relay = False
        self.is_stand_by = False
        self.is_top_relay = False
        self.parent: ParentRow | None = None
        self.is_synced = False
        self.acknowledged_us = Micros(0)
        self.children: Table[NodeId, ChildRow] = Table("children")
        self.seek = SeekRow()
        self.suspects: Table[NodeId, SuspectRow] = Table("suspects")
        self.repair: RepairRow | None = None
        self.floor_version = RuleVersion(0)
        self.own_version = RuleVersion(0)
        self.own_digest = 0
        self.known_versions: Table[NodeId, KnownVersion] = Table("known versions")

    @property
    def watches_store(self) -> bool:
        """Whether the node takes the rules from the store itself."""
        return self.is_link_relay or self.is_stand_by

    def neighbours(self) -> list[tuple[NodeId, Address]]:
        """Return the parent and the children."""
        found = [(child.node_id, child.address) for child in self.children]
        if self.parent is not None:
            found.append((self.parent.node_id, self.parent.address))
        return found

    def remember_version(
        self, node_id: NodeId, version: RuleVersion, now_us: Micros
    ) -> None:
        """Keep the version that a node acknowledged for a bounded time."""
        if not version:
            return
        known = self.known_versions
        known.pop(node_id)
        known.put(node_id, KnownVersion(version, now_us))
        oldest_us = now_us - _VERSION_LIFE_US
        for other, row in list(islice(known.items(), 2)):
            if row.noted_us < oldest_us or len(known) > _MAX_KNOWN_VERSIONS:
                known.pop(other)

    def last_version(self, node_id: NodeId) -> RuleVersion:
        """Return the highest version known of a node, or 0."""
        child = self.children.get(node_id)
        known = self.known_versions.get(node_id)
        versions = (child.version if child else 0, known.version if known else 0)
        return RuleVersion(max(versions))
