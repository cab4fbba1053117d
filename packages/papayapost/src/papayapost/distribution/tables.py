"""Tables of the rules versions."""

from dataclasses import dataclass

from papayapost.ids import RuleVersion
from papayapost.rules import RuleSet
from papayapost.states import StagedState

__all__ = ["RulesTable", "VersionRow"]


@dataclass(slots=True)
class VersionRow:
    """A rules version on its way into force."""

    version: RuleVersion
    rules: RuleSet
    state: StagedState


class RulesTable:
    """The version in force and the one that is staged.

    Attributes
    ----------
    in_force
        What calls are decided by; None before the first version.
    staged
        A complete version that waits for services to become known.
    newest_seen
        The highest version that any source has shown, refused ones included.
    """

    def __init__(self):
        self.in_force: VersionRow | None = None
        self.staged: VersionRow | None = None
        self.newest_seen = RuleVersion(0)

    @property
    def version(self) -> RuleVersion:
        """The version in force, 0 before the first."""
        return self.in_force.version if self.in_force else RuleVersion(0)
