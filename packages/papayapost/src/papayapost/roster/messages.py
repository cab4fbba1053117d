"""Messages and timers of flat membership."""

from papayapost.define import define
from papayapost.ids import Address, Incarnation, NodeId, RuleVersion
from papayapost.membership import BackendServerRow
from papayapost.roster.tables import RosterEntry

__all__ = [
    "Beat",
    "EntryDue",
    "HeartbeatsDue",
    "Hello",
    "HelloSuperseded",
    "PeersLost",
    "PeersShared",
    "PeersWanted",
    "ReadDue",
    "RosterStarted",
    "SuspicionDue",
]


@define
class Beat:
    """Heartbeat that a node sends to its partners at intervals.

    Parameters
    ----------
    incarnation, revision
        Stamp of the row that the sender last announced.
    version
        Rules version that the sender holds.
    directory_digest
        Digest of the rows in the sender's directory.
    """

    sender: NodeId
    incarnation: Incarnation
    revision: int
    version: RuleVersion
    directory_digest: int = 0


@define
class Hello:
    """Announcement of the sender's complete row to a peer.

    Parameters
    ----------
    reply_to
        Address at which the sender receives messages.
    version
        Rules version that the sender holds.
    wants_reply
        Whether the receiver is to answer with its own row.
    """

    sender: NodeId
    reply_to: Address
    row: BackendServerRow
    version: RuleVersion
    wants_reply: bool


@define
class HelloSuperseded:
    """Answer to a `Hello` whose row is older than the one known of its sender.

    It tells a node that its clock was set back before it started.

    Parameters
    ----------
    known
        Newest row that the sender of this message knows of the receiver.
    """

    sender: NodeId
    known: BackendServerRow


@define
class PeersWanted:
    """Request for the nodes that the receiver knows.

    Parameters
    ----------
    reply_to
        Address at which the sender receives messages.
    """

    sender: NodeId
    reply_to: Address


@define
class PeersShared:
    """Answer to a `PeersWanted`: the nodes that the sender knows.

    Parameters
    ----------
    entries
        Entries of nodes in the sender's directory.
    stamps
        Stamp of the row that the sender has of each of these nodes.
    """

    sender: NodeId
    entries: tuple[RosterEntry, ...]
    stamps: tuple[tuple[Incarnation, int], ...] = ()


@define
class PeersLost:
    """Report that the sender has lost some peers.

    The receiver asks each of them before it believes the report.
    """

    sender: NodeId
    node_ids: tuple[NodeId, ...]


@define
class RosterStarted:
    """First message of the process: flat membership starts now."""


@define
class EntryDue:
    """Timer: write this node's entry if it is not stored yet."""


@define
class ReadDue:
    """Timer: read the entries of all nodes.

    Parameters
    ----------
    may_be_stale
        Whether the store may answer from an older state, at a lower cost.
    """

    may_be_stale: bool


@define
class HeartbeatsDue:
    """Timer: send heartbeats and check for silent peers."""


@define
class SuspicionDue:
    """Timer: a suspected peer has had some time to answer a `Hello`."""

    node_id: NodeId
