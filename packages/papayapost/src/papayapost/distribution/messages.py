"""Messages and timers of the distribution systems within one node."""

from papayapost.define import define
from papayapost.distribution.line_edits import LineEdit
from papayapost.distribution.peer_messages import ChunkRequest, DataCentreProgress
from papayapost.distribution.rules_table import VersionRow
from papayapost.findings import Finding
from papayapost.ids import RuleVersion, StoreEra
from papayapost.storage import ObjectKey, StoreVersion

__all__ = [
    "AcceptedRules",
    "CatchUpDue",
    "ChunkDue",
    "CoverDue",
    "FallbackDue",
    "FetchDue",
    "FloorWaitExpired",
    "ObjectReconciled",
    "PeersListed",
    "ProgressCollected",
    "ProgressDue",
    "ReconcileDue",
    "ReconcileObject",
    "RepushDue",
    "RequestDue",
    "RulesCompiled",
    "RulesInForce",
    "RulesRejected",
    "RulesStaged",
    "StoreAnswered",
    "StoreBehind",
    "StoreCaughtUp",
    "StoreEraBegun",
    "StoreRegained",
    "TextOffered",
    "WatchDue",
    "WatchRoleChanged",
]


@define
class RulesInForce:
    """Internal: a rules version was put into force."""

    version: RuleVersion


@define
class RulesRejected:
    """Internal: a rules text did not compile; its version is refused."""

    version: RuleVersion
    findings: tuple[Finding, ...]


@define
class TextOffered:
    """Internal: a source supplied a rules text.

    Parameters
    ----------
    version
        Version that the store gave the text.
    text
        The whole text.
    base_version, edits
        An earlier version and the edits that turn its text into this one;
        None if they are unknown.
    is_recorded
        Whether the store is known to hold the version as accepted. This is
        the case for every version that another node passes on.
    position
        Version of the store from which a watch for later rules can go on; 0
        if it is not known.
    """

    version: RuleVersion
    text: str
    base_version: RuleVersion | None = None
    edits: tuple[LineEdit, ...] | None = None
    is_recorded: bool = True
    position: StoreVersion = StoreVersion(0)


@define
class RulesCompiled:
    """Internal: an offered text was compiled without findings.

    Parameters
    ----------
    edits
        Edits that turn the held text into this one; None if unknown.
    is_recorded
        Whether the store is known to hold the version as accepted.
    """

    row: VersionRow
    edits: tuple[LineEdit, ...] | None
    is_recorded: bool = True


@define
class RulesStaged:
    """Internal: a version is accepted and staged, and may go to children.

    Parameters
    ----------
    before
        The version that was held until now; None if there was none.
    edits
        Edits that turn the text of `before` into the staged one; None if
        unknown.
    """

    version: RuleVersion
    before: VersionRow | None
    edits: tuple[LineEdit, ...] | None


@define
class StoreBehind:
    """Internal: the store showed an older or a conflicting rules version."""

    version: RuleVersion
    reason: str


@define
class StoreCaughtUp:
    """Internal: the store shows the held version or a newer one again."""


@define
class StoreAnswered:
    """Internal: the store answered this node's watch of the rules object."""


@define
class WatchRoleChanged:
    """Internal: this node is to start or end its watch of the rules object."""


@define
class StoreRegained:
    """Internal: the store answers this node, or its relays, again."""


@define
class StoreEraBegun:
    """Internal: the store has come back from an older copy.

    Each node posts it once for an era, also if it hears of it from a relay.
    `StoreEraChanged` reaches only the nodes that call the store themselves.
    """

    era: StoreEra


@define
class PeersListed:
    """Internal: the store has told this node which other nodes there are."""


@define
class ReconcileObject:
    """Internal: request to bring a store object to a desired value."""

    key: ObjectKey
    value: object


@define
class ObjectReconciled:
    """Internal: a store object is known to hold this value.

    It is the desired value or one that takes precedence over it.
    """

    key: ObjectKey
    value: object


@define(frozen=True)
class AcceptedRules:
    """Value of the accepted object: the newest version that compiled."""

    version: RuleVersion
    text: str


@define
class ProgressCollected:
    """Internal: the progress of this node and all nodes below it.

    It has one entry per data centre.
    """

    parts: tuple[DataCentreProgress, ...]


@define
class WatchDue:
    """Timer: watch the rules object again."""


@define
class FallbackDue:
    """Timer: read the accepted object because the node has no parent."""


@define
class FloorWaitExpired:
    """Timer: stop waiting for a parent to report the version floor."""


@define
class CoverDue:
    """Timer: no relay has reported contact with the store in time."""


@define
class RequestDue:
    """Timer: request newer rules from the parent or a peer."""


@define
class CatchUpDue:
    """Timer: request rules if the parent still shows a newer version."""


@define
class FetchDue:
    """Timer: repeat the request for the next chunk."""


@define
class RepushDue:
    """Timer: push again to children that have not acknowledged."""


@define
class ChunkDue:
    """Timer: the rate limit allows sending the requested chunk now."""

    request: ChunkRequest


@define
class ProgressDue:
    """Timer: report the progress of this node and the nodes below it."""


@define
class ReconcileDue:
    """Timer: read or update an object to reach its desired value."""

    key: ObjectKey
