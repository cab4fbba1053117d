"""What several systems of the roster do with a peer."""

from dataclasses import replace

from papayapost.distribution import RulesTable
from papayapost.ids import Address, Micros, NodeId
from papayapost.kernel import Tick
from papayapost.membership import BackendServerRow, DirectoryChanged
from papayapost.membership.ranking import rank_key
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.roster.messages import Hello, PeersWanted, SuspicionDue
from papayapost.roster.neighbours import Neighbourhood
from papayapost.roster.tables import (
    PeerRow,
    RosterEntry,
    RosterTables,
    SuspicionCause,
)
from papayapost.states import BackendServerState, MemberState

__all__ = ["Peers"]

ANSWER_TIMEOUT_US = 100_000
"""Time after which a suspected peer is asked again, or counts as dead."""

_LIST_INTERVAL_US = 1_000_000


class Peers:
    """The peers of a node, with the changes that its systems make to them."""

    def __init__(self, roster: RosterTables, rules: RulesTable):
        self._roster = roster
        self._rules = rules

    def add(self, tick: Tick, entry: RosterEntry) -> None:
        """Add the node of an entry as a peer and greet it, if it is new."""
        peer = self._roster.add_peer(entry, tick.now_us)
        if peer is not None:
            self.ask(tick, peer)

    def ask(self, tick: Tick, peer: PeerRow) -> None:
        """Send this node's row to a peer and ask for the peer's row."""
        peer.last_asked_us = tick.now_us
        self.send_hello(tick, peer.address, wants_reply=True)

    def send_hello(self, tick: Tick, address: Address, wants_reply: bool) -> None:
        """Send this node's row to an address."""
        tick.emit(PeerSend(address, self.hello(self._roster.own, wants_reply)))

    def hello(self, own_row: BackendServerRow, wants_reply: bool) -> Hello:
        """Return the announcement of a row of this node."""
        version = self._rules.held_version
        return Hello(
            own_row.node_id, own_row.peer_address, own_row, version, wants_reply
        )

    def send_to_all(self, tick: Tick, message: object) -> None:
        """Send a message to all peers that do not count as dead."""
        for peer in self._roster.peers:
            if peer.state is not MemberState.DEAD:
                tick.emit(PeerSend(peer.address, message))

    def want_list(self, tick: Tick, address: Address) -> None:
        """Ask a peer which nodes it knows, unless one was asked recently."""
        asked = self._roster.peer_list
        is_recent = (
            asked.asked_us is not None
            and tick.now_us - asked.asked_us < _LIST_INTERVAL_US
        )
        if not is_recent:
            asked.asked_us = tick.now_us
            me = self._roster.me
            tick.emit(PeerSend(address, PeersWanted(me.node_id, me.peer_address)))

    def apply_row(self, tick: Tick, peer: PeerRow, row: BackendServerRow) -> None:
        """Record a message from a peer, with the row that it announced."""
        before = self._roster.directory.get(peer.node_id)
        peer.row = row
        if row.is_gone:
            self.declare_dead(tick, peer, "it left the mesh")
            return
        peer.last_heard_us = tick.now_us
        if peer.state is not MemberState.ALIVE:
            peer.state, peer.suspicion = MemberState.ALIVE, None
            tick.cancel_timer(_suspicion_key(peer.node_id))
        if before is None:
            tick.emit(Noted(Event.PEER_FOUND, peer=peer.node_id))
        if before is None or before.stamp != row.stamp:
            self._roster.put_row(row)
            tick.post(DirectoryChanged((row,)))

    def suspect(self, tick: Tick, peer: PeerRow, cause: SuspicionCause) -> None:
        """Ask a live peer for an answer; without one it counts as dead."""
        peer.state, peer.suspicion = MemberState.SUSPECT, cause
        peer.unanswered = 0
        self.ask_suspect(tick, peer)

    def ask_suspect(self, tick: Tick, peer: PeerRow) -> None:
        """Ask a suspected peer, and set the timer for its answer."""
        self.ask(tick, peer)
        due_us = Micros(tick.now_us + ANSWER_TIMEOUT_US)
        due = SuspicionDue(peer.node_id)
        tick.set_timer(_suspicion_key(peer.node_id), due_us, due)

    def declare_dead(self, tick: Tick, peer: PeerRow, reason: str) -> None:
        """Remove a peer from the directory."""
        row = self._roster.pop_row(peer.node_id)
        peer.state, peer.suspicion = MemberState.DEAD, None
        peer.partner_since_us = None
        peer.added_or_lost_us = tick.now_us
        if row is None:
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.post(DirectoryChanged((gone,)))
        last_heard_us = peer.last_heard_us or tick.now_us
        silent_ms = (tick.now_us - last_heard_us) // 1000
        detail = f"{reason}; last message {silent_ms} ms ago"
        tick.emit(Noted(Event.PEER_LOST, peer=peer.node_id, detail=detail))

    def neighbourhood(self) -> Neighbourhood:
        """Return the position of this node among the live nodes."""
        me = self._roster.me
        others = [
            (peer.rank, peer.row.place)
            for peer in self._roster.peers
            if peer.state is not MemberState.DEAD and peer.row is not None
        ]
        return Neighbourhood(rank_key(me.node_id), me.place, others)


def _suspicion_key(node_id: NodeId) -> tuple[str, NodeId]:
    return ("suspicion", node_id)
