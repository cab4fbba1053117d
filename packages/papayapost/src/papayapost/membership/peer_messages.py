"""Membership messages between nodes, and membership values in the store."""

from papayapost.define import define
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    NodeId,
    RegionId,
    RuleVersion,
)
from papayapost.membership.tables import BackendServerRow

__all__ = [
    "Announcement",
    "BucketDigests",
    "BucketRows",
    "BucketsWanted",
    "Contact",
    "DataCentreDigest",
    "DataCentreName",
    "Detach",
    "DigestsOffered",
    "DirectoryDelta",
    "DirectoryObject",
    "Heartbeat",
    "HeartbeatAnswer",
    "JoinAccepted",
    "JoinRedirected",
    "JoinRequest",
    "LiveNode",
    "Probe",
    "ProbeAnswer",
    "ProbeRequest",
    "ProbeResult",
    "Vouch",
]


@define
class Announcement:
    """From a root to any member: the root's own row.

    The receiver answers with a row that supersedes it, if it knows one, and
    with its own row if `wants_reply` is set.
    """

    sender: NodeId
    reply_to: Address
    rows: tuple[BackendServerRow, ...]
    wants_reply: bool


@define
class Contact:
    """Name and peer address of a node, such as a candidate parent."""

    node_id: NodeId
    address: Address


@define
class JoinRequest:
    """Ask the receiver to become the sender's parent.

    Parameters
    ----------
    row
        The sender's own row.
    accepts_any
        Whether the sender found no more suitable parent and accepts any
        node that ranks above it.
    version, digest
        Newest rules version that the sender holds, and the digest of its
        text.
    """

    sender: NodeId
    row: BackendServerRow
    accepts_any: bool
    version: RuleVersion
    digest: int


@define
class JoinAccepted:
    """Accept the receiver as a child of the sender.

    Parameters
    ----------
    last_version
        Highest rules version that an earlier process of the child is known
        to have acknowledged; 0 if none is known.
    version, digest
        Newest rules version that the parent holds, and the digest of its
        text.
    """

    sender: NodeId
    reply_to: Address
    last_version: RuleVersion
    version: RuleVersion
    digest: int


@define
class JoinRedirected:
    """Refuse a join request, and name other nodes or a delay.

    Parameters
    ----------
    contacts
        More suitable parents, best first; empty if the sender knows none.
    last_version
        Highest rules version that an earlier process of the receiver is
        known to have acknowledged; 0 if none is known.
    retry_after_ms
        Time to wait before the next request; 0 to continue at once.
    """

    sender: NodeId
    reply_to: Address
    contacts: tuple[Contact, ...]
    last_version: RuleVersion
    retry_after_ms: int


@define
class Heartbeat:
    """From child to parent: the child is alive and acknowledges its rules.

    Parameters
    ----------
    version, digest
        Rules version that the child last acknowledged, and its digest.
    """

    sender: NodeId
    incarnation: Incarnation
    version: RuleVersion
    digest: int


@define
class HeartbeatAnswer:
    """From parent to child: answer to a heartbeat.

    Parameters
    ----------
    is_child
        Whether the parent lists the sender of the heartbeat as a child.
    version, digest
        Newest rules version that the parent holds, and the digest of its
        text.
    directory_digest
        Digest of all live rows in the parent's directory.
    """

    sender: NodeId
    is_child: bool
    version: RuleVersion
    digest: int
    directory_digest: int


@define
class Detach:
    """From child to former parent: the child has another parent now."""

    sender: NodeId


@define
class DirectoryDelta:
    """Changed rows, complete; each supersedes older rows of its node."""

    sender: NodeId
    reply_to: Address
    rows: tuple[BackendServerRow, ...]


@define
class DataCentreDigest:
    """A data centre and the digest of its live rows."""

    data_centre: DataCentreId
    digest: int


@define
class DigestsOffered:
    """Start of a repair: the digests of the sender's directory."""

    sender: NodeId
    reply_to: Address
    digests: tuple[DataCentreDigest, ...]


@define
class BucketDigests:
    """Answer to `DigestsOffered`: bucket digests of a data centre.

    The data centre is one whose digest differs between the two nodes.
    """

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]


@define
class BucketsWanted:
    """Request for the live rows in the listed buckets of a data centre."""

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]


@define
class BucketRows:
    """Answer to `BucketsWanted`: all live rows in the listed buckets."""

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]
    rows: tuple[BackendServerRow, ...]


@define
class LiveNode:
    """A node that is alive, and the rules version that it acknowledged."""

    node_id: NodeId
    version: RuleVersion


@define
class Vouch:
    """From a parent to the relays of its data centre: list of live nodes."""

    sender: NodeId
    alive: tuple[LiveNode, ...]


@define
class Probe:
    """Ask whether the receiver is alive.

    Parameters
    ----------
    on_behalf_of
        Member that asked the sender to probe; the sender itself if none.
    """

    sender: NodeId
    reply_to: Address
    on_behalf_of: NodeId


@define
class ProbeAnswer:
    """Answer to a probe: the answering node's own row."""

    sender: NodeId
    on_behalf_of: NodeId
    row: BackendServerRow


@define
class ProbeRequest:
    """Ask the receiver to probe a member on behalf of the sender."""

    sender: NodeId
    reply_to: Address
    target: Contact


@define
class ProbeResult:
    """Result of a probe that the sender made on behalf of the receiver.

    Parameters
    ----------
    row
        Row of the target if it answered; None if the probe timed out.
    """

    sender: NodeId
    target: NodeId
    row: BackendServerRow | None


@define
class DataCentreName:
    """A data centre whose directory is in the store, and its region."""

    data_centre: DataCentreId
    region: RegionId


@define
class DirectoryObject:
    """Value of a DIRECTORY object in the store.

    Such an object holds either the rows of one data centre or the index of
    all data centres.

    Parameters
    ----------
    data_centres
        All data centres, in the index; empty in other objects.
    rows
        Live rows and tombstones of one data centre; empty in the index.
    """

    data_centres: tuple[DataCentreName, ...]
    rows: tuple[BackendServerRow, ...]
