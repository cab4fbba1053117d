"""Flat membership: nodes discover each other through the object store.

It serves meshes of up to a few hundred nodes whose settings name no seeds.
Every node keeps one entry in the store and reads the entries of all other
nodes. It announces its row to its partners and exchanges heartbeats with them;
two relays a region pass rows on to all others. Larger meshes use the tree of
`papayapost.membership`.
"""

from papayapost.roster.entries import ReadEntries, WriteOwnEntry
from papayapost.roster.exchange import ExchangeRows
from papayapost.roster.failures import ConfirmLosses
from papayapost.roster.heartbeats import SendHeartbeats
from papayapost.roster.messages import (
    Beat,
    Hello,
    HelloSuperseded,
    PeersLost,
    PeersWanted,
    RowsShared,
)
from papayapost.roster.part import RosterPart, build_roster
from papayapost.roster.repair import RepairRoster
from papayapost.roster.tables import EntryState, PeerRow, RosterEntry, RosterTables

__all__ = [
    "Beat",
    "ConfirmLosses",
    "EntryState",
    "ExchangeRows",
    "Hello",
    "HelloSuperseded",
    "PeerRow",
    "PeersLost",
    "PeersWanted",
    "ReadEntries",
    "RepairRoster",
    "RosterEntry",
    "RosterPart",
    "RosterTables",
    "RowsShared",
    "SendHeartbeats",
    "WriteOwnEntry",
    "build_roster",
]
