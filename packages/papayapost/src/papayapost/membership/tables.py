"""Tables and rows for the directory of nodes and the tree of relays."""

from itertools import islice

from papayapost.define import define
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
    SoftwareVersion,
)
from papayapost.kernel import Table
from papayapost.membership.digests import bucket_key
from papayapost.membership.progress_rows import (
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

_VERSION_LIFETIME_US = 600 * 1_000_000
_MAX_KNOWN_VERSIONS = 5_000
NO_VERSION = RuleVersion(0)


@define
class BackendServerRow:
    """A node and its backend server, as announced by the node.

    A row with a higher ``(incarnation, revision)``, its stamp, supersedes
    one with a lower stamp. Of two rows with the same stamp, the one whose
    state is GONE supersedes the other.

    Parameters
    ----------
    revision
        Counter that the node raises with each change of its row.
    service
        Service of the backend server, or None on a VM without one.
    peer_address
        Address on which the node accepts attempts and control messages.
    slots
        Number of calls that the backend server runs concurrently.
    link_mbps
        Rate of the VM's link in Mbit/s; 0 if it is not known.
    software_version
        Version of the software that the backend server runs; empty if it is
        not known or the mesh has no roll-outs.
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
    link_mbps: float = 0.0
    software_version: SoftwareVersion = SoftwareVersion("")

    @property
    def stamp(self) -> tuple[int, int]:
        """Incarnation and revision, by which rows of one node are compared."""
        return (self.incarnation, self.revision)

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """The stamp and `is_gone`; a row with a higher value supersedes."""
        return (self.incarnation, self.revision, self.is_gone)

    @property
    def is_gone(self) -> bool:
        """Whether the row says that the node left or died."""
        return self.state is BackendServerState.GONE

    @property
    def place(self) -> Place:
        """Location of the node and its backend server."""
        return Place(self.data_centre, self.region)


Directory = Table[NodeId, BackendServerRow]


def directory_table() -> Directory:
    """Return an empty directory with its indexes.

    The index ``bucket`` holds the digest bucket of each row.
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


@define
class TombstoneRow:
    """The last row of a node that left or died.

    It is kept so that an older row of the node that arrives late does not
    bring the node back into the directory.
    """

    row: BackendServerRow
    created_us: Micros


@define
class ParentRow:
    """The node from which this one receives rules and directory changes.

    Parameters
    ----------
    version, digest
        Rules version that the parent last reported, and its digest.
    """

    node_id: NodeId
    address: Address
    version: RuleVersion = NO_VERSION
    digest: int = 0


@define
class ChildRow:
    """A node that receives rules and directory changes from this one.

    Parameters
    ----------
    version, digest
        Rules version that the child last acknowledged, and its digest.
    last_heard_us
        Time of the child's last heartbeat or join request, in µs.
    """

    node_id: NodeId
    address: Address
    incarnation: Incarnation
    version: RuleVersion
    digest: int = 0
    last_heard_us: Micros = NEVER
    state: MemberState = MemberState.ALIVE


class TreeTables:
    """Position of this node in the tree of relays, and its tree tables.

    Attributes
    ----------
    is_relay
        Whether the node is one of the relays of its data centre.
    is_link_relay
        Whether the node is the root of its region's tree, which watches the
        store for the region.
    is_standby_relay
        Whether the node watches the store in addition to the link relay.
        Where possible, it is in another data centre than the link relay.
    is_top_relay
        Whether the node ranks highest in its data centre and writes the
        data centre's directory to the store.
    parent
        Parent of this node; None on a link relay, and until a candidate
        accepts this node.
    is_synced
        Whether the directory was equal to the parent's at least once.
    parent_answered_us
        Time at which the parent last answered a heartbeat, in µs.
    suspects
        Members whose suspected failure is being confirmed.
    floor_version
        Highest rules version that an earlier process of this node is known
        to have acknowledged; 0 if none is known.
    own_version, own_digest
        Rules version and digest that heartbeats report. The distribution
        part sets them.
    known_versions
        Rules versions of former children and of nodes in `Vouch` messages.
    """

    def __init__(self):
        self.state = TreeState.SEEKING
        self.level = TreeLevel.LEAF
        self.is_relay = False
        self.is_link_relay = False
        self.is_standby_relay = False
        self.is_top_relay = False
        self.parent: ParentRow | None = None
        self.is_synced = False
        self.parent_answered_us = Micros(0)
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
        """Whether the node receives the rules directly from the store."""
        return self.is_link_relay or self.is_standby_relay

    def neighbours(self) -> list[tuple[NodeId, Address]]:
        """Return name and peer address of the children and the parent."""
        found = [(child.node_id, child.address) for child in self.children]
        if self.parent is not None:
            found.append((self.parent.node_id, self.parent.address))
        return found

    def remember_version(
        self, node_id: NodeId, version: RuleVersion, now_us: Micros
    ) -> None:
        """Record the rules version that a node acknowledged.

        Entries expire after a fixed time; the oldest are dropped if there
        are too many.
        """
        if not version:
            return
        known = self.known_versions
        known.pop(node_id)
        known.put(node_id, KnownVersion(version, now_us))
        oldest_us = now_us - _VERSION_LIFETIME_US
        for other, row in list(islice(known.items(), 2)):
            if row.recorded_us < oldest_us or len(known) > _MAX_KNOWN_VERSIONS:
                known.pop(other)

    def last_version(self, node_id: NodeId) -> RuleVersion:
        """Return the highest rules version known to be acknowledged, or 0."""
        child = self.children.get(node_id)
        known = self.known_versions.get(node_id)
        versions = (child.version if child else 0, known.version if known else 0)
        return RuleVersion(max(versions))
