"""The system that learns rows from peers, and finds missed ones."""

from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow
from papayapost.peering import PeerSend
from papayapost.roster.messages import PeersWanted, RowFound, RowsShared
from papayapost.roster.peers import Peers
from papayapost.roster.tables import PeerRow, RosterEntry, RosterTables
from papayapost.states import MemberState

__all__ = ["MAX_SHARED_ROWS", "RepairRoster"]

MAX_SHARED_ROWS = 256
_ASK_INTERVAL_US = 500_000


class RepairRoster(System):
    """Learns rows that peers pass on, and shares this node's directory.

    Of two rows of a node the one with the newer stamp holds, whoever passes it
    on. A row with the stamp of a peer that counts as dead may be old: only
    news bring it back, and otherwise the peer itself is asked.
    """

    consumes = (PeersWanted, RowsShared)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Share the directory, and take over the rows of peers."""
        for wanted in tick.take(PeersWanted):
            self._share(tick, wanted)
        for shared in tick.take(RowsShared):
            self._take_over(tick, shared)

    def _share(self, tick: Tick, wanted: PeersWanted) -> None:
        rows = tuple(self._roster.directory)[:MAX_SHARED_ROWS]
        lost = tuple(
            peer.node_id
            for peer in self._roster.peers
            if peer.state is MemberState.DEAD and peer.row is not None
        )
        shared = RowsShared(self._roster.me.node_id, rows, lost)
        tick.emit(PeerSend(wanted.reply_to, shared))

    def _take_over(self, tick: Tick, shared: RowsShared) -> None:
        roster = self._roster
        if not shared.is_news:
            roster.peer_list.is_received = True
        sender = roster.peers.get(shared.sender)
        is_from_far = sender is not None and not sender.is_same_region
        is_relay = self._peers.neighbourhood().is_relay
        for row in shared.rows[:MAX_SHARED_ROWS]:
            is_new = self._learn(tick, row, shared.is_news)
            if is_new and (is_relay or is_from_far):
                tick.post(RowFound(row))
        if shared.rows:
            self._peers.greet_partners(tick)

    def _learn(self, tick: Tick, row: BackendServerRow, is_news: bool) -> bool:
        """Take over a row; return whether this node did not have it."""
        roster = self._roster
        if row.node_id == roster.me.node_id:
            return False
        known = roster.peers.get(row.node_id)
        if known is not None and known.row is not None:
            if row.precedence < known.row.precedence:
                return False
            if row.precedence == known.row.precedence:
                return self._learn_again(tick, known, row, is_news)
        entry = RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
        roster.add_peer(entry, tick.now_us)
        return self._peers.put_row(tick, roster.peers.require(row.node_id), row)

    def _learn_again(
        self, tick: Tick, peer: PeerRow, row: BackendServerRow, is_news: bool
    ) -> bool:
        """Bring a dead peer back whose row is already known."""
        if row.is_gone or peer.state is not MemberState.DEAD:
            return False
        if is_news:
            return self._peers.put_row(tick, peer, row)
        if not self._peers.is_asked(tick, peer, _ASK_INTERVAL_US):
            self._peers.ask(tick, peer)
        return False
