"""The rules versions that a node holds, staged or in force."""

from dataclasses import field

from papayapost.define import define
from papayapost.distribution.status import RefusedVersion
from papayapost.ids import RuleVersion, ServiceName
from papayapost.rules import MAX_TEXT_BYTES, RuleSet
from papayapost.states import StagedState
from papayapost.storage import StoreVersion

__all__ = ["RulesTable", "VersionRow"]


@define
class VersionRow:
    """A compiled rules version and its state.

    Parameters
    ----------
    version
        Version that the store gave the rules text.
    rules
        The compiled rules.
    state
        Whether the version waits for services or is in force.
    missing
        Services that the routes name and that this node does not know yet.
    position
        Version of the store from which a watch for later rules can go on; 0
        if it is not known.
    """

    version: RuleVersion
    rules: RuleSet
    state: StagedState
    missing: set[ServiceName] = field(default_factory=set)
    position: StoreVersion = StoreVersion(0)


class RulesTable:
    """The version in force, the staged version and the last refused one.

    Parameters
    ----------
    max_bytes
        Size limit of a rules text in bytes of UTF-8.

    Attributes
    ----------
    candidate
        On a node that watches the store, a version that compiled but is not
        yet known to be recorded as accepted in the store. It is neither put
        into force nor sent to children.
    in_force
        The version that routes calls; None before the first version.
    staged
        An accepted version that is not in force yet, because services are
        unknown or because it is below the node's version floor.
    refused
        The newest version that did not compile; None after a later version
        is accepted.
    newest_seen_version
        The highest version that any source has offered, refused versions
        included.
    """

    def __init__(self, max_bytes: int = MAX_TEXT_BYTES):
        self.max_bytes = max_bytes
        self.candidate: VersionRow | None = None
        self.in_force: VersionRow | None = None
        self.staged: VersionRow | None = None
        self.refused: RefusedVersion | None = None
        self.newest_seen_version = RuleVersion(0)

    @property
    def version(self) -> RuleVersion:
        """The version in force; 0 if none is in force."""
        return self.in_force.version if self.in_force else RuleVersion(0)

    @property
    def held(self) -> VersionRow | None:
        """The held version: the staged one, or else the one in force."""
        return self.staged or self.in_force

    @property
    def held_version(self) -> RuleVersion:
        """Version of `held`; 0 if the node holds none."""
        return self.held.version if self.held else RuleVersion(0)

    @property
    def held_digest(self) -> str:
        """Digest of the text of `held`; empty if the node holds none."""
        return self.held.rules.digest if self.held else ""
