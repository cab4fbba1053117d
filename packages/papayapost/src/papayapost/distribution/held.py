"""Tables of the rules versions that a node holds."""

from dataclasses import dataclass, field

from papayapost.distribution.status import RefusedVersion
from papayapost.ids import RuleVersion, ServiceName
from papayapost.rules import RuleSet
from papayapost.states import StagedState

__all__ = ["RulesTable", "VersionRow"]


@dataclass(slots=True)
class VersionRow:
    """A rules version on its way into force.

    Parameters
    ----------
    missing
        Services that its routes name and this node does not know yet.
    """

    version: RuleVersion
    rules: RuleSet
    state: StagedState
    missing: set[ServiceName] = field(default_factory=set)


class RulesTable:
    """The version in force and the one that is staged.

    Attributes
    ----------
    candidate
        On a link relay, a version that compiled and is not yet known to be
        recorded as accepted in the store; nobody else sees it.
    in_force
        What calls are decided by; None before the first version.
    staged
        A complete version that waits for services to become known.
    refused
        The newest version that was refused, until a later one compiles.
    newest_seen
        The highest version that any source has shown, refused ones included.
    """

    def __init__(self):
        self.candidate: VersionRow | None = None
        self.in_force: VersionRow | None = None
        self.staged: VersionRow | None = None
        self.refused: RefusedVersion | None = None
        self.newest_seen = RuleVersion(0)

    @property
    def version(self) -> RuleVersion:
        """The version in force, 0 before the first."""
        return self.in_force.version if self.in_force else RuleVersion(0)

    @property
    def held(self) -> VersionRow | None:
        """The newest accepted version, in force or staged."""
        return self.staged or self.in_force

    @property
    def held_version(self) -> RuleVersion:
        """Version of `held`, 0 without any."""
        return self.held.version if self.held else RuleVersion(0)

    @property
    def held_digest(self) -> str:
        """Digest of the held text, empty without any."""
        return self.held.rules.digest if self.held else ""
