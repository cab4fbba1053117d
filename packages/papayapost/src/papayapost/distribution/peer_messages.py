"""Distribution messages that nodes send to each other.

The first field of every message is ``sender``.
"""

from papayapost.define import define
from papayapost.distribution.line_edits import LineEdit
from papayapost.distribution.status import Laggard, RefusedVersion
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RuleVersion,
    StoreEra,
)
from papayapost.storage import StoreVersion

__all__ = [
    "ChunkRequest",
    "Confirmation",
    "ContactEcho",
    "DataCentreProgress",
    "RulesBusy",
    "RulesChunk",
    "RulesDelta",
    "RulesGone",
    "RulesNotice",
    "RulesProgress",
    "RulesRequest",
    "RulesShared",
    "RulesWanted",
    "StoreContact",
]


@define
class RulesRequest:
    """Child to parent: request for the rules newer than the held version.

    The parent answers with a delta, or with a notice of its newest version.

    Parameters
    ----------
    held_version, held_digest
        Version and digest of the newest text that the child holds; 0 and
        empty if it holds none.
    """

    sender: NodeId
    reply_to: Address
    held_version: RuleVersion
    held_digest: str


@define
class RulesNotice:
    """Parent to child: announcement of the newest version at the parent.

    The child fetches the text in chunks if the version is newer than its own.

    Parameters
    ----------
    size_bytes
        Length of the text in bytes of UTF-8.
    """

    sender: NodeId
    version: RuleVersion
    digest: str
    size_bytes: int


@define
class RulesDelta:
    """Parent to child: edits that turn one version into a later one.

    Parameters
    ----------
    digest
        Digest of the text after all edits.
    position
        Version of the store from which a watch for later rules can go on; 0
        if it is not known.
    """

    sender: NodeId
    base_version: RuleVersion
    base_digest: str
    version: RuleVersion
    digest: str
    edits: tuple[LineEdit, ...]
    position: StoreVersion = StoreVersion(0)


@define
class ChunkRequest:
    """Child to parent: request for the chunk of a text at this offset."""

    sender: NodeId
    reply_to: Address
    version: RuleVersion
    digest: str
    offset_bytes: int


@define
class RulesChunk:
    """Parent to child: one chunk of a rules text in UTF-8.

    Parameters
    ----------
    size_bytes
        Length of the whole text in bytes.
    """

    sender: NodeId
    version: RuleVersion
    digest: str
    offset_bytes: int
    size_bytes: int
    data: bytes


@define
class RulesGone:
    """Parent to child: the requested version is no longer available.

    The child requests the newest version instead.
    """

    sender: NodeId
    version: RuleVersion


@define
class RulesBusy:
    """Parent to child: too many transfers run; retry after this time."""

    sender: NodeId
    retry_after_us: Micros


@define(frozen=True)
class DataCentreProgress:
    """Progress of one data centre's nodes in the sender's subtree.

    Parameters
    ----------
    version
        Newest version that the sender holds.
    nodes_in_force
        Number of reporting nodes with `version` or a later one in force.
    nodes_total
        Number of nodes that report.
    fingerprint
        Sum of the hashes of the nodes in force, modulo 2**64. It reveals a
        node that is counted twice while it changes its parent.
    laggards
        Some of the nodes on which `version` is not in force.
    refused
        The newest refused version; empty if there is none.
    """

    data_centre: DataCentreId
    version: RuleVersion
    nodes_in_force: int
    nodes_total: int
    fingerprint: int
    laggards: tuple[Laggard, ...]
    refused: tuple[RefusedVersion, ...]


@define
class RulesProgress:
    """Child to parent: progress of the child and all nodes below it.

    Parameters
    ----------
    held_version
        Newest version that the child holds; acknowledges it to the parent.
    parts
        Progress per data centre.
    """

    sender: NodeId
    held_version: RuleVersion
    parts: tuple[DataCentreProgress, ...]


@define
class RulesWanted:
    """Request for the rules to a peer with a newer version.

    The answer is a `RulesDelta` or, with the whole text, a `RulesShared`.

    Parameters
    ----------
    known_version
        The newest version that the sender knows; 0 if it knows none.
    held_version, held_digest
        Version and digest of the text that the sender holds, on which the
        answer may be based; 0 and empty if it needs the whole text.
    """

    sender: NodeId
    reply_to: Address
    known_version: RuleVersion
    held_version: RuleVersion = RuleVersion(0)
    held_digest: str = ""


@define
class RulesShared:
    """Answer to `RulesWanted`: the rules that the sender holds.

    Parameters
    ----------
    position
        Version of the store from which a watch for later rules can go on; 0
        if it is not known.
    """

    sender: NodeId
    version: RuleVersion
    text: str
    position: StoreVersion = StoreVersion(0)


@define(frozen=True)
class Confirmation:
    """A time on the clock of another node's process.

    Parameters
    ----------
    incarnation
        The process. A clock may start anew with the next process.
    clock_us
        Reading of its clock in µs.
    """

    incarnation: Incarnation
    clock_us: Micros


@define
class ContactEcho:
    """Node to a relay that reported contact: the clock of the node.

    With it the relay can say by the node's clock how old its evidence is.

    Parameters
    ----------
    incarnation
        Process of the sender.
    clock_us
        Reading of its clock in µs when it sent the message.
    """

    sender: NodeId
    incarnation: Incarnation
    clock_us: Micros


@define
class StoreContact:
    """Relay to the nodes of its region: the store has just answered it.

    A relay also sends it to the relays of the other regions.

    Parameters
    ----------
    version
        Rules version that the sender holds.
    is_relay
        Whether the sender is a relay rather than a deputy.
    watch_us
        Time in µs that an unchanged watch takes the sender, or took a relay of
        its region; None if it is not known.
    confirmed
        When the store held no newer version than `version`, by the clock of
        the receiver; None if the sender does not know that clock.
    era
        Era of the store's answer; 0 if it is not known.
    """

    sender: NodeId
    version: RuleVersion
    is_relay: bool
    watch_us: Micros | None = None
    confirmed: Confirmation | None = None
    era: StoreEra = StoreEra(0)
