"""Builds the tables and systems of flat membership."""

from papayapost.define import define
from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import BackendServerRow, Directory
from papayapost.place import SelfRow
from papayapost.roster.entries import ReadEntries, WriteOwnEntry
from papayapost.roster.exchange import ExchangeRows
from papayapost.roster.failures import ConfirmLosses
from papayapost.roster.heartbeats import SendHeartbeats
from papayapost.roster.messages import RosterStarted
from papayapost.roster.peers import Peers
from papayapost.roster.relaying import RelayRows
from papayapost.roster.repair import RepairRoster
from papayapost.roster.tables import RosterTables

__all__ = ["RosterPart", "build_roster"]


@define
class RosterPart:
    """Tables, systems and first messages of flat membership."""

    directory: Directory
    roster: RosterTables
    systems: list[System]
    first_messages: list[object]


def build_roster(me: SelfRow, own: BackendServerRow, rules: RulesTable) -> RosterPart:
    """Return the flat membership of a node that knows only itself.

    Parameters
    ----------
    own
        This node's directory row.
    rules
        Rules of this node; heartbeats carry their version.
    """
    roster = RosterTables(me, own)
    peers = Peers(roster, rules)
    systems: list[System] = [
        WriteOwnEntry(roster),
        ReadEntries(roster, peers),
        ExchangeRows(roster, rules, peers),
        RepairRoster(roster, peers),
        ConfirmLosses(roster, peers),
        SendHeartbeats(roster, rules, peers),
        RelayRows(roster, peers),
    ]
    return RosterPart(roster.directory, roster, systems, [RosterStarted()])
