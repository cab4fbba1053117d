"""The system that finds missed rows, and nodes that are not known yet."""

from papayapost.ids import Incarnation
from papayapost.kernel import System, Tick
from papayapost.peering import PeerSend
from papayapost.roster.messages import PeersLost, PeersShared, PeersWanted
from papayapost.roster.peers import Peers
from papayapost.roster.tables import RosterEntry, RosterTables
from papayapost.states import MemberState

__all__ = ["RepairRoster"]

_MAX_SHARED_ENTRIES = 256
_ASK_INTERVAL_US = 500_000


class RepairRoster(System):
    """Compares the directories of two nodes if their digests differ.

    A node never takes a row of another node from its peers: it asks the node
    itself for each row that seems to be missing, old or gone.
    """

    consumes = (PeersShared, PeersWanted)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Share this node's list, and ask the nodes in lists of peers."""
        for wanted in tick.take(PeersWanted):
            self._share(tick, wanted)
        for shared in tick.take(PeersShared):
            self._roster.peer_list.is_received = True
            entries = shared.entries[:_MAX_SHARED_ENTRIES]
            for entry, stamp in zip(entries, shared.stamps, strict=False):
                self._compare(tick, entry, stamp)

    def _share(self, tick: Tick, wanted: PeersWanted) -> None:
        own_id = self._roster.me.node_id
        rows = list(self._roster.directory)[:_MAX_SHARED_ENTRIES]
        entries = tuple(
            RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
            for row in rows
        )
        stamps = tuple((row.incarnation, row.revision) for row in rows)
        tick.emit(PeerSend(wanted.reply_to, PeersShared(own_id, entries, stamps)))
        lost = tuple(
            peer.node_id
            for peer in self._roster.peers
            if peer.state is MemberState.DEAD and peer.row is not None
        )
        if lost:
            tick.emit(PeerSend(wanted.reply_to, PeersLost(own_id, lost)))

    def _compare(
        self, tick: Tick, entry: RosterEntry, stamp: tuple[Incarnation, int]
    ) -> None:
        peer = self._roster.peers.get(entry.node_id)
        if peer is None or peer.address != entry.address:
            self._peers.add(tick, entry)
            return
        asked_us = peer.last_asked_us
        if asked_us is not None and tick.now_us - asked_us < _ASK_INTERVAL_US:
            return
        if peer.row is None:
            is_missing = True
        elif peer.state is MemberState.DEAD:
            is_missing = not peer.row.is_gone or peer.row.stamp < stamp
        else:
            is_missing = peer.row.stamp < stamp
        if is_missing:
            self._peers.ask(tick, peer)
