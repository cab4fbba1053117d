"""Messages and effects of the distribution of rules and of the directory.

Types whose first field is ``sender`` travel between nodes.
"""

from dataclasses import dataclass

from papayapost.distribution.tables import BackendServerRow
from papayapost.findings import Finding
from papayapost.ids import Address, NodeId, RuleVersion

__all__ = [
    "Announcement",
    "ObjectSeen",
    "PeerSend",
    "RefreshDue",
    "RulesInForce",
    "RulesRejected",
    "StoreFailed",
    "WatchObject",
]


@dataclass(slots=True)
class WatchObject:
    """Effect: wait until the object is newer than `after_version`."""

    kind: str
    name: str
    after_version: int


@dataclass(slots=True)
class ObjectSeen:
    """Input: the store answered a watch or a read.

    Parameters
    ----------
    version
        The store's version of the object; 0 if it does not exist.
    value
        The object's bytes as text.
    """

    kind: str
    name: str
    version: int
    value: str


@dataclass(slots=True)
class StoreFailed:
    """Input: the store gave no answer for the object."""

    kind: str
    name: str
    reason: str


@dataclass(slots=True)
class PeerSend:
    """Effect: send `message` to the node at `address`."""

    address: Address
    message: object


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
class RulesInForce:
    """Internal: a version was swapped in."""

    version: RuleVersion


@dataclass(slots=True)
class RulesRejected:
    """Internal: a version was refused whole."""

    version: RuleVersion
    findings: tuple[Finding, ...]
