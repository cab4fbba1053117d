"""Messages of membership that travel between nodes, and the stored values."""

from dataclasses import dataclass

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
    "DataCentreImage",
    "DataCentreName",
    "Detach",
    "DigestsOffered",
    "DirectoryDelta",
    "Heartbeat",
    "HeartbeatAnswer",
    "JoinAccepted",
    "JoinRedirected",
    "JoinRequest",
    "Probe",
    "ProbeAnswer",
    "ProbeRequest",
    "ProbeResult",
    "Vouch",
    "Vouched",
]


@dataclass(slots=True)
class Announcement:
    """A root to any member: my own row; answer with what supersedes it."""

    sender: NodeId
    reply_to: Address
    rows: tuple[BackendServerRow, ...]
    wants_reply: bool


@dataclass(slots=True)
class Contact:
    """A node that may become a parent."""

    node_id: NodeId
    address: Address


@dataclass(slots=True)
class JoinRequest:
    """Take me as your child, or tell me whom to ask.

    Parameters
    ----------
    row
        The sender's own row.
    accepts_any
        Whether all better parents failed, so that any will do.
    version, digest
        The sender's rules version in force and its digest.
    """

    sender: NodeId
    row: BackendServerRow
    accepts_any: bool
    version: RuleVersion
    digest: int


@dataclass(slots=True)
class JoinAccepted:
    """You are my child.

    Parameters
    ----------
    last_version
        The highest rules version that the child's former process is known
        to have acknowledged, or 0.
    version, digest
        The parent's rules version in force and its digest.
    """

    sender: NodeId
    reply_to: Address
    last_version: RuleVersion
    version: RuleVersion
    digest: int


@dataclass(slots=True)
class JoinRedirected:
    """Ask these instead, or ask again later.

    Parameters
    ----------
    contacts
        Better parents, best first; none if the sender knows of none.
    retry_after_ms
        Pause before the next request; 0 where none is needed.
    """

    sender: NodeId
    reply_to: Address
    contacts: tuple[Contact, ...]
    last_version: RuleVersion
    retry_after_ms: int


@dataclass(slots=True)
class Heartbeat:
    """Child to parent: alive, with the rules version last acknowledged."""

    sender: NodeId
    incarnation: Incarnation
    version: RuleVersion
    digest: int


@dataclass(slots=True)
class HeartbeatAnswer:
    """Parent to child: heard you.

    Parameters
    ----------
    is_child
        False if the sender of the heartbeat is no child here.
    directory_digest
        Digest of all live rows that the parent knows.
    """

    sender: NodeId
    is_child: bool
    version: RuleVersion
    digest: int
    directory_digest: int


@dataclass(slots=True)
class Detach:
    """Child to former parent: another parent has taken me."""

    sender: NodeId


@dataclass(slots=True)
class DirectoryDelta:
    """Whole rows that changed; each supersedes its older revisions."""

    sender: NodeId
    reply_to: Address
    rows: tuple[BackendServerRow, ...]


@dataclass(slots=True)
class DataCentreDigest:
    """Digest of the live rows of one data centre."""

    data_centre: DataCentreId
    digest: int


@dataclass(slots=True)
class DigestsOffered:
    """Child to parent: this is what my directory amounts to."""

    sender: NodeId
    reply_to: Address
    digests: tuple[DataCentreDigest, ...]


@dataclass(slots=True)
class BucketDigests:
    """Parent to child: the digests of a data centre that differs."""

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]


@dataclass(slots=True)
class BucketsWanted:
    """Child to parent: send the rows of these buckets."""

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]


@dataclass(slots=True)
class BucketRows:
    """Parent to child: all live rows of these buckets."""

    sender: NodeId
    reply_to: Address
    data_centre: DataCentreId
    buckets: tuple[int, ...]
    rows: tuple[BackendServerRow, ...]


@dataclass(slots=True)
class Vouched:
    """A child that is alive, with the version that it acknowledged."""

    node_id: NodeId
    version: RuleVersion


@dataclass(slots=True)
class Vouch:
    """Parent to the relays of its data centre: these nodes are alive."""

    sender: NodeId
    alive: tuple[Vouched, ...]


@dataclass(slots=True)
class Probe:
    """Ask whether the receiver is alive.

    Parameters
    ----------
    on_behalf_of
        Whom the answer is for, or the sender itself.
    """

    sender: NodeId
    reply_to: Address
    on_behalf_of: NodeId


@dataclass(slots=True)
class ProbeAnswer:
    """I am here; this is my row."""

    sender: NodeId
    on_behalf_of: NodeId
    row: BackendServerRow


@dataclass(slots=True)
class ProbeRequest:
    """Please probe this member for me."""

    sender: NodeId
    reply_to: Address
    target: Contact


@dataclass(slots=True)
class ProbeResult:
    """What came of a probe on another's behalf.

    Parameters
    ----------
    row
        The target's row if it answered, else None.
    """

    sender: NodeId
    target: NodeId
    row: BackendServerRow | None


@dataclass(slots=True)
class DataCentreName:
    """A data centre that keeps its directory in the store."""

    data_centre: DataCentreId
    region: RegionId


@dataclass(slots=True)
class DataCentreImage:
    """Value of a DIRECTORY object: rows of one data centre, or the index.

    Parameters
    ----------
    data_centres
        In the index, all data centres; else empty.
    rows
        Live rows and tombstones.
    """

    data_centres: tuple[DataCentreName, ...]
    rows: tuple[BackendServerRow, ...]
