"""Tables of flat membership: this node's entry, its peers, the directory."""

from enum import Enum

from papayapost.define import define
from papayapost.ids import (
    Address,
    DataCentreId,
    Micros,
    NodeId,
    RegionId,
    RuleVersion,
)
from papayapost.kernel import Table
from papayapost.membership import BackendServerRow, Directory, directory_table
from papayapost.membership.digests import Digests
from papayapost.membership.ranking import RankKey, rank_key
from papayapost.place import Place, SelfRow
from papayapost.states import LinkClass, MemberState

__all__ = [
    "EntryState",
    "PeerListRow",
    "PeerRow",
    "RosterEntry",
    "RosterTables",
    "SuspicionCause",
]

_SAME_REGION_LINKS = (LinkClass.SELF, LinkClass.DATA_CENTRE, LinkClass.REGION)


class EntryState(Enum):
    """Whether the store holds this node's entry, as far as the node knows."""

    UNWRITTEN = "unwritten"
    WRITING = "writing"
    STORED = "stored"


class SuspicionCause(Enum):
    """Why a peer is suspected to be dead."""

    SILENCE = "silence"
    CONNECTION = "connection"
    REPORT = "report"


@define(frozen=True)
class RosterEntry:
    """Value of a node's store entry: what other nodes need to reach it.

    Its fields don't change while the process runs. A node therefore writes
    its entry at most once after a start, unless the store loses it.
    """

    node_id: NodeId
    address: Address
    data_centre: DataCentreId
    region: RegionId


@define
class PeerRow:
    """Another node of the mesh.

    Parameters
    ----------
    place
        Location of the peer.
    link
        Class of the link between this node and the peer.
    added_or_lost_us
        Tick time in µs at which the peer was added or, later, lost.
    rank
        Rank of the peer, which determines who exchanges heartbeats with it.
    row
        Row that the peer last announced; None before its first `Hello`.
    last_heard_us
        Tick time in µs of the last message from the peer; None before one.
    last_asked_us
        Tick time in µs of the last request for the peer's row; None before
        one.
    last_beat_us
        Tick time in µs of the last heartbeat to the peer; None before one.
    version
        Rules version that the peer last announced.
    state
        Whether the peer is alive, suspected or dead.
    suspicion
        Why the peer is suspected; None if it is not, or not met yet.
    unanswered
        Number of times that a suspected peer was asked without an answer.
    partner_since_us
        Tick time in µs since which the peer and this node exchange
        heartbeats; None if they do not.
    digest_mismatches
        Number of consecutive heartbeats of the peer with a directory digest
        other than this node's.
    reporter
        Node that reported the loss of the peer, until the peer is heard.
    is_loss_passed_on
        Whether this node has passed the loss on, until the peer is heard.
    """

    node_id: NodeId
    address: Address
    place: Place
    link: LinkClass
    added_or_lost_us: Micros
    rank: RankKey
    row: BackendServerRow | None = None
    last_heard_us: Micros | None = None
    last_asked_us: Micros | None = None
    last_beat_us: Micros | None = None
    version: RuleVersion = RuleVersion(0)
    state: MemberState = MemberState.SUSPECT
    suspicion: SuspicionCause | None = None
    unanswered: int = 0
    partner_since_us: Micros | None = None
    digest_mismatches: int = 0
    reporter: NodeId | None = None
    is_loss_passed_on: bool = False

    @property
    def is_same_region(self) -> bool:
        """Whether the peer is in this node's region."""
        return self.link in _SAME_REGION_LINKS


@define
class PeerListRow:
    """Progress in learning from peers which nodes they know.

    Parameters
    ----------
    is_received
        Whether a peer has sent its list since this node started.
    asked_us
        Tick time in µs of the last request; None before one.
    """

    is_received: bool = False
    asked_us: Micros | None = None


class RosterTables:
    """The mesh as this node knows it.

    Attributes
    ----------
    directory
        Rows of the nodes that count as alive, including this one.
    digests
        Digests of the rows in the directory.
    peers
        All other known nodes, including dead ones that are still probed.
    peer_list
        Progress in learning which nodes the peers know.
    entry
        State of this node's entry in the store.
    entry_version
        Version of this node's entry that the store last reported, 0 if the
        store has no entry.
    has_left
        Whether this node has announced that it leaves. It may still run for
        the last answers.
    changes
        Number of changes of the peers that may change who is whose partner.
    """

    def __init__(self, me: SelfRow, own: BackendServerRow):
        self.me = me
        self.directory: Directory = directory_table()
        self.digests = Digests()
        self.put_row(own)
        self.peers: Table[NodeId, PeerRow] = Table(
            "peers", {"address": lambda row: row.address}
        )
        self.peer_list = PeerListRow()
        self.entry = EntryState.UNWRITTEN
        self.entry_version = 0
        self.has_left = False
        self.changes = 0

    @property
    def own(self) -> BackendServerRow:
        """Directory row of this node."""
        return self.directory.require(self.me.node_id)

    @property
    def own_entry(self) -> RosterEntry:
        """Entry that the store should hold for this node."""
        me = self.me
        place = me.place
        return RosterEntry(me.node_id, me.peer_address, place.data_centre, place.region)

    def put_row(self, row: BackendServerRow) -> None:
        """Put a row into the directory, or replace the one of its node."""
        self.directory.put(row.node_id, row)
        self.digests.put(row.data_centre, row.node_id, row.stamp)

    def pop_row(self, node_id: NodeId) -> BackendServerRow | None:
        """Remove and return the directory row of a node, if it has one."""
        self.digests.remove(node_id)
        return self.directory.pop(node_id)

    def add_peer(self, entry: RosterEntry, now_us: Micros) -> PeerRow | None:
        """Add the node of an entry as a peer.

        Returns
        -------
        PeerRow or None
            The new peer, which replaces one with another address. None if the
            peer is known at this address, or is this node itself.
        """
        if entry.node_id == self.me.node_id:
            return None
        known = self.peers.get(entry.node_id)
        if known is not None and known.address == entry.address:
            return None
        place = Place(entry.data_centre, entry.region)
        link = self.me.place.distance_to(place)
        rank = rank_key(entry.node_id)
        peer = PeerRow(entry.node_id, entry.address, place, link, now_us, rank)
        self.peers.put(entry.node_id, peer)
        self.changes += 1
        return peer
