"""What several systems of the roster do with a peer."""

from dataclasses import replace

from papayapost.distribution import RulesTable
from papayapost.ids import Address, Micros, NodeId
from papayapost.kernel import Tick
from papayapost.membership import BackendServerRow, DirectoryChanged
from papayapost.membership.ranking import rank_key
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.roster.messages import (
    Hello,
    PeersLost,
    PeersWanted,
    RowFound,
    SuspicionDue,
)
from papayapost.roster.neighbours import Neighbourhood
from papayapost.roster.tables import (
    PeerRow,
    RosterTables,
    SuspicionCause,
)
from papayapost.states import BackendServerState, MemberState

__all__ = ["Peers"]

ANSWER_TIMEOUT_US = 100_000
"""Time after which a suspected peer is asked again, or counts as dead."""

_LIST_INTERVAL_US = 1_000_000

_GREETING_INTERVAL_US = 375_000
"""Shortest time between two greetings of a peer that has not answered yet."""


class Peers:
    """The peers of a node, with the changes that its systems make to them."""

    def __init__(self, roster: RosterTables, rules: RulesTable):
        self._roster = roster
        self._rules = rules
        self._neighbourhoods: dict[bool, tuple[int, Neighbourhood]] = {}

    def greet_partners(self, tick: Tick) -> None:
        """Greet the partners of this node that it has not met yet."""
        roster = self._roster
        for node_id in sorted(self.partners(with_unmet=True)):
            peer = roster.peers.require(node_id)
            is_unmet = peer.row is None and peer.state is not MemberState.DEAD
            if is_unmet and not self.is_asked(tick, peer, _GREETING_INTERVAL_US):
                self.ask(tick, peer)

    def is_asked(self, tick: Tick, peer: PeerRow, within_us: int) -> bool:
        """Return whether a peer was asked for its row within some time."""
        asked_us = peer.last_asked_us
        return asked_us is not None and tick.now_us - asked_us < within_us

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

    def send_to_partners(self, tick: Tick, message: object) -> None:
        """Send a message to all partners."""
        for node_id in sorted(self.partners()):
            tick.emit(PeerSend(self._roster.peers.require(node_id).address, message))

    def report_losses(
        self, tick: Tick, node_ids: tuple[NodeId, ...], is_asked: bool = True
    ) -> None:
        """Tell the leaders of this node's region which peers are lost.

        A relay also tells the relays of the other regions.
        """
        report = PeersLost(self._roster.me.node_id, node_ids, is_asked)
        neighbourhood = self.neighbourhood()
        told = {node_id for _, node_id in neighbourhood.leaders()}
        if neighbourhood.is_relay:
            told |= neighbourhood.far_relays()
        for node_id in sorted(told):
            peer = self._roster.peers.get(node_id)
            if peer is not None:
                tick.emit(PeerSend(peer.address, report))

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
        is_revived = peer.state is MemberState.DEAD and peer.row is not None
        is_restarted = peer.row is None or peer.row.incarnation != row.incarnation
        is_news = self.put_row(tick, peer, row)
        is_relay = self.neighbourhood().is_relay
        if row.is_gone:
            if is_news and is_relay:
                tick.post(RowFound(row))
            return
        peer.last_heard_us = tick.now_us
        if peer.suspicion is not None:
            peer.state, peer.suspicion = MemberState.ALIVE, None
            peer.reporter, peer.is_loss_passed_on = None, False
            tick.cancel_timer(_suspicion_key(peer.node_id))
        is_newcomer = is_revived or is_restarted
        if (is_relay and (is_news or is_newcomer)) or is_revived:
            tick.post(RowFound(row, is_newcomer))

    def put_row(self, tick: Tick, peer: PeerRow, row: BackendServerRow) -> bool:
        """Put a peer's row into the directory; return whether it was new.

        A suspected peer stays suspected: it was perhaps not heard itself.
        """
        before = self._roster.directory.get(peer.node_id)
        was_known = peer.row is not None and peer.row.precedence == row.precedence
        peer.row = row
        if row.is_gone:
            if before is not None:
                self.declare_dead(tick, peer, "it left the mesh")
            peer.state = MemberState.DEAD
            return not was_known
        if peer.suspicion is None and peer.state is not MemberState.ALIVE:
            peer.state = MemberState.ALIVE
            peer.reporter, peer.is_loss_passed_on = None, False
            self._roster.changes += 1
        if before is None:
            tick.emit(Noted(Event.PEER_FOUND, peer=peer.node_id))
        if before is None or before.stamp != row.stamp:
            self._roster.put_row(row)
            tick.post(DirectoryChanged((row,)))
            return True
        return False

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
        self._roster.changes += 1
        peer.added_or_lost_us = tick.now_us
        if row is None:
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.post(DirectoryChanged((gone,)))
        last_heard_us = peer.last_heard_us or tick.now_us
        silent_ms = (tick.now_us - last_heard_us) // 1000
        detail = f"{reason}; last message {silent_ms} ms ago"
        tick.emit(Noted(Event.PEER_LOST, peer=peer.node_id, detail=detail))

    def neighbourhood(self, with_unmet: bool = False) -> Neighbourhood:
        """Return the position of this node among the live nodes.

        Parameters
        ----------
        with_unmet
            Whether nodes of which only the entry is known count as live.
        """
        cached = self._neighbourhoods.get(with_unmet)
        if cached is not None and cached[0] == self._roster.changes:
            return cached[1]
        me = self._roster.me
        others = [
            (peer.rank, peer.place)
            for peer in self._roster.peers
            if peer.state is not MemberState.DEAD
            and (with_unmet or peer.row is not None)
        ]
        found = Neighbourhood(rank_key(me.node_id), me.place, others)
        self._neighbourhoods[with_unmet] = (self._roster.changes, found)
        return found

    def partners(self, with_unmet: bool = False) -> set[NodeId]:
        """Return the partners of this node among the live nodes."""
        return self.neighbourhood(with_unmet).partners()


def _suspicion_key(node_id: NodeId) -> tuple[str, NodeId]:
    return ("suspicion", node_id)
