"""Messages and timers of flat membership."""

from papayapost.define import define
from papayapost.ids import Address, Incarnation, NodeId, RuleVersion
from papayapost.membership import BackendServerRow

__all__ = [
    "Beat",
    "CheckDue",
    "EntryDue",
    "EntryUnchecked",
    "HeartbeatsDue",
    "Hello",
    "HelloSuperseded",
    "LossFound",
    "PeersLost",
    "PeersWanted",
    "ReadDue",
    "RelayDue",
    "RosterStarted",
    "RowFound",
    "RowsShared",
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
    """Request for the directory of the receiver.

    Parameters
    ----------
    reply_to
        Address at which the sender receives messages.
    """

    sender: NodeId
    reply_to: Address


@define
class RowsShared:
    """Rows of other nodes that the sender has in its directory.

    Parameters
    ----------
    rows
        Rows as their nodes announced them.
    lost
        Nodes that the sender has removed from its directory.
    is_news
        Whether the sender has just learned all of this. Otherwise it is the
        answer to a `PeersWanted`, which may be behind.
    """

    sender: NodeId
    rows: tuple[BackendServerRow, ...]
    lost: tuple[NodeId, ...] = ()
    is_news: bool = False


@define
class PeersLost:
    """Report to the leaders of a region: the sender has lost some peers.

    Parameters
    ----------
    is_asked
        Whether the sender has asked them in vain. Otherwise its connection to
        them broke.
    """

    sender: NodeId
    node_ids: tuple[NodeId, ...]
    is_asked: bool = True


@define
class RowFound:
    """Internal: this node has learned a row that others may not know.

    Parameters
    ----------
    is_newcomer
        Whether the node of the row has just come, and needs all rows.
    """

    row: BackendServerRow
    is_newcomer: bool = False


@define
class LossFound:
    """Internal: a peer is lost, which others may not know."""

    node_id: NodeId


@define
class RelayDue:
    """Timer: pass on the rows and losses that were found."""


@define
class RosterStarted:
    """First message of the process: flat membership starts now."""


@define
class EntryDue:
    """Timer: write this node's entry if it is not stored yet."""


@define
class CheckDue:
    """Timer: read this node's entry to see whether the store still has it."""


@define
class EntryUnchecked:
    """Internal: the store failed, and may have lost this node's entry."""


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
