"""Tables of the rules versions and of the backend server directory."""

from dataclasses import dataclass

from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.place import Place
from papayapost.rules import RuleSet
from papayapost.states import BackendServerState, StagedState

__all__ = [
    "BackendServerRow",
    "Directory",
    "RulesTable",
    "VersionRow",
    "directory_table",
]


@dataclass(slots=True)
class BackendServerRow:
    """One backend server, as its own node announces it.

    A row with a higher ``(incarnation, revision)`` supersedes a lower one.

    Parameters
    ----------
    peer_address
        Where the owner node takes attempts.
    slots
        Calls that the backend server runs at once.
    """

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    service: ServiceName
    data_centre: DataCentreId
    region: RegionId
    peer_address: Address
    slots: int
    state: BackendServerState

    @property
    def stamp(self) -> tuple[int, int]:
        """Order of this row among all rows of its node."""
        return (self.incarnation, self.revision)

    @property
    def place(self) -> Place:
        """Where the backend server runs."""
        return Place(self.data_centre, self.region)


Directory = Table[NodeId, BackendServerRow]


def directory_table() -> Directory:
    """Return an empty directory, indexed by service."""
    return Table("backend_servers", {"service": lambda row: row.service})


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
