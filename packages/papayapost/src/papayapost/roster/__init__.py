"""Flat membership: nodes discover each other through the object store.

It serves meshes of up to a few hundred nodes whose settings name no seeds.
Every node keeps one entry in the store, reads the entries of all other nodes
and exchanges heartbeats with each of them directly. Larger meshes use the tree
of `papayapost.membership`.
"""

from papayapost.roster.entries import ReadEntries, WriteOwnEntry
from papayapost.roster.heartbeats import ExchangeHeartbeats
from papayapost.roster.messages import Beat, Hello, HelloSuperseded, PeersShared
from papayapost.roster.part import RosterPart, build_roster
from papayapost.roster.tables import EntryState, PeerRow, RosterEntry, RosterTables

__all__ = [
    "Beat",
    "EntryState",
    "ExchangeHeartbeats",
    "Hello",
    "HelloSuperseded",
    "PeerRow",
    "PeersShared",
    "ReadEntries",
    "RosterEntry",
    "RosterPart",
    "RosterTables",
    "WriteOwnEntry",
    "build_roster",
]
