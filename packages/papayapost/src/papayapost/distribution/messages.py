"""Messages of the distribution of rules versions.

Types whose first field is ``sender`` travel between nodes.
"""

from dataclasses import dataclass

from papayapost.distribution.held import VersionRow
from papayapost.distribution.lines import LineEdit
from papayapost.distribution.status import Laggard, RefusedVersion
from papayapost.findings import Finding
from papayapost.ids import Address, DataCentreId, Micros, NodeId, RuleVersion
from papayapost.storage import ObjectKey

__all__ = [
    "AcceptedRules",
    "ChunkDue",
    "ChunkRequest",
    "FallbackDue",
    "FetchDue",
    "FloorWaitOver",
    "KeepDue",
    "KeepObject",
    "ObjectKept",
    "PartProgress",
    "ProgressCollected",
    "ProgressDue",
    "RepushDue",
    "RequestDue",
    "RulesBusy",
    "RulesChunk",
    "RulesCompiled",
    "RulesDelta",
    "RulesGone",
    "RulesHeld",
    "RulesInForce",
    "RulesNotice",
    "RulesProgress",
    "RulesRejected",
    "RulesRequest",
    "StoreBehind",
    "TextOffered",
    "WatchDue",
]


@dataclass(slots=True)
class RulesInForce:
    """Internal: a version was swapped in."""

    version: RuleVersion


@dataclass(slots=True)
class RulesRejected:
    """Internal: a version was refused whole."""

    version: RuleVersion
    findings: tuple[Finding, ...]


@dataclass(slots=True)
class TextOffered:
    """Internal: a whole text with the version that the store gave it.

    Parameters
    ----------
    base_version, edits
        How it differs from an earlier version; None where that is unknown.
    """

    version: RuleVersion
    text: str
    base_version: RuleVersion | None = None
    edits: tuple[LineEdit, ...] | None = None


@dataclass(slots=True)
class RulesCompiled:
    """Internal: an offered text compiled.

    Parameters
    ----------
    edits
        How it differs from the held text, or None where that is unknown.
    """

    row: VersionRow
    edits: tuple[LineEdit, ...] | None


@dataclass(slots=True)
class RulesHeld:
    """Internal: a version is accepted and staged; children may have it.

    Parameters
    ----------
    before
        What was held until now.
    edits
        How the text differs from it, or None where that is unknown.
    """

    version: RuleVersion
    before: VersionRow | None
    edits: tuple[LineEdit, ...] | None


@dataclass(slots=True)
class StoreBehind:
    """Internal: the store showed a version that the node must refuse."""

    version: RuleVersion
    reason: str


@dataclass(slots=True)
class KeepObject:
    """Internal: the object should hold this value."""

    key: ObjectKey
    value: object


@dataclass(slots=True)
class ObjectKept:
    """Internal: the object holds this value, as wanted or preferred to it."""

    key: ObjectKey
    value: object


@dataclass(frozen=True, slots=True)
class AcceptedRules:
    """Value of the accepted object: the last version that compiled."""

    version: RuleVersion
    text: str


@dataclass(slots=True)
class RulesRequest:
    """Child to parent: send what is newer than this, or say it is newest.

    Parameters
    ----------
    held_version, held_digest
        Newest text that the child holds; 0 and empty without any.
    """

    sender: NodeId
    reply_to: Address
    held_version: RuleVersion
    held_digest: str


@dataclass(slots=True)
class RulesNotice:
    """Parent to child: the newest version here; fetch it if it is newer.

    Parameters
    ----------
    size_bytes
        Length of the text in UTF-8.
    """

    sender: NodeId
    version: RuleVersion
    digest: str
    size_bytes: int


@dataclass(slots=True)
class RulesDelta:
    """Parent to child: edits that lead from one version to another.

    Parameters
    ----------
    digest
        Of the text after all edits.
    """

    sender: NodeId
    base_version: RuleVersion
    base_digest: str
    version: RuleVersion
    digest: str
    edits: tuple[LineEdit, ...]


@dataclass(slots=True)
class ChunkRequest:
    """Child to parent: send the text of a version from this offset on."""

    sender: NodeId
    reply_to: Address
    version: RuleVersion
    digest: str
    offset_bytes: int


@dataclass(slots=True)
class RulesChunk:
    """Parent to child: a part of a version's text in UTF-8."""

    sender: NodeId
    version: RuleVersion
    digest: str
    offset_bytes: int
    size_bytes: int
    data: bytes


@dataclass(slots=True)
class RulesGone:
    """Parent to child: this version is not kept here; ask for the newest."""

    sender: NodeId
    version: RuleVersion


@dataclass(slots=True)
class RulesBusy:
    """Parent to child: no transfer now; come back after this time."""

    sender: NodeId
    retry_after_us: Micros


@dataclass(frozen=True, slots=True)
class PartProgress:
    """Progress of one data centre's nodes below the sender.

    Parameters
    ----------
    version
        Newest version that the sender holds.
    nodes_in_force, nodes_total
        Nodes with `version` or a later one in force, of those that report.
    laggards
        Some of the others.
    refused
        The newest refused version, none or one.
    """

    data_centre: DataCentreId
    version: RuleVersion
    nodes_in_force: int
    nodes_total: int
    laggards: tuple[Laggard, ...]
    refused: tuple[RefusedVersion, ...]


@dataclass(slots=True)
class RulesProgress:
    """Child to parent: acknowledgement of the child and all below it.

    Parameters
    ----------
    held_version
        Newest text that the child itself holds.
    """

    sender: NodeId
    held_version: RuleVersion
    parts: tuple[PartProgress, ...]


@dataclass(slots=True)
class ProgressCollected:
    """Internal: the progress of all data centres below this node."""

    parts: tuple[PartProgress, ...]


@dataclass(slots=True)
class WatchDue:
    """Timer: watch the rules object again."""


@dataclass(slots=True)
class FallbackDue:
    """Timer: without a parent, read the rules object once."""


@dataclass(slots=True)
class FloorWaitOver:
    """Timer: a restarted node no longer waits to hear of its floor."""


@dataclass(slots=True)
class RequestDue:
    """Timer: ask the parent again."""


@dataclass(slots=True)
class FetchDue:
    """Timer: ask for the next chunk again."""


@dataclass(slots=True)
class RepushDue:
    """Timer: send again to children that did not acknowledge."""


@dataclass(slots=True)
class ChunkDue:
    """Timer: the bytes for this child's chunk may leave now."""

    request: ChunkRequest


@dataclass(slots=True)
class ProgressDue:
    """Timer: report the progress below this node."""


@dataclass(slots=True)
class KeepDue:
    """Timer: bring an object to its wanted value."""

    key: ObjectKey
