"""The system that exchanges rows with peers and receives heartbeats."""

from dataclasses import replace

from papayapost.distribution import PeerRulesVersionSeen, RulesTable
from papayapost.ids import Incarnation, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    BackendServerRow,
    DirectoryChanged,
    LeaveMesh,
    OwnRowChanged,
)
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.roster.messages import Beat, Hello, HelloSuperseded, RowFound
from papayapost.roster.peers import Peers
from papayapost.roster.tables import PeerRow, RosterEntry, RosterTables
from papayapost.states import BackendServerState, MemberState

__all__ = ["ExchangeRows"]

_REPAIR_AFTER_MISMATCHES = (2, 4, 8, 16, 32)
"""Numbers of consecutive heartbeats with another digest at which directories
are compared. Digests differ for a short time after each change, and for a long
time if only one of two nodes can reach a third one."""


class ExchangeRows(System):
    """Announces this node's row, and keeps the rows that peers announce."""

    consumes = (Beat, Hello, HelloSuperseded, LeaveMesh, OwnRowChanged)

    def __init__(self, roster: RosterTables, rules: RulesTable, peers: Peers):
        self._roster = roster
        self._rules = rules
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Process the messages of peers first, then announce changes."""
        for hello in tick.take(Hello):
            self._receive_hello(tick, hello)
        for beat in tick.take(Beat):
            self._receive_heartbeat(tick, beat)
        for superseded in tick.take(HelloSuperseded):
            self._raise_incarnation(tick, superseded.known)
        if tick.take(OwnRowChanged):
            own = self._roster.own
            self._roster.put_row(own)
            tick.post(DirectoryChanged((own,)))
            if not self._roster.has_left:
                self._announce(tick, own)
        if tick.take(LeaveMesh):
            self._roster.has_left = True
            own = self._roster.own
            state = BackendServerState.GONE
            gone = replace(own, revision=own.revision + 1, state=state)
            self._announce(tick, gone)
            tick.emit(Noted(Event.MESH_LEFT))

    def _receive_hello(self, tick: Tick, hello: Hello) -> None:
        roster, row = self._roster, hello.row
        if row.node_id == roster.me.node_id or row.node_id != hello.sender:
            return
        entry = RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
        is_new = roster.add_peer(entry, tick.now_us) is not None
        peer = roster.peers.require(row.node_id)
        if peer.row is not None and row.stamp < peer.row.stamp and not is_new:
            superseded = HelloSuperseded(roster.me.node_id, peer.row)
            tick.emit(PeerSend(hello.reply_to, superseded))
            return
        was_cut_off = _is_back_without_restart(peer, row)
        self._record_version(tick, peer, hello.version)
        self._peers.apply_row(tick, peer, row)
        if hello.wants_reply and not roster.has_left:
            self._peers.send_hello(tick, hello.reply_to, wants_reply=False)
        if (is_new and not roster.peer_list.is_received) or (
            was_cut_off and not hello.wants_reply
        ):
            self._peers.want_list(tick, hello.reply_to)

    def _receive_heartbeat(self, tick: Tick, beat: Beat) -> None:
        peer = self._roster.peers.get(beat.sender)
        if peer is None:
            return
        self._record_version(tick, peer, beat.version)
        row = peer.row
        stamp = (beat.incarnation, beat.revision)
        if row is None or row.is_gone or row.stamp != stamp:
            self._peers.ask(tick, peer)
            return
        self._peers.apply_row(tick, peer, row)
        self._compare_digests(tick, peer, beat.directory_digest)

    def _compare_digests(self, tick: Tick, peer: PeerRow, digest: int) -> None:
        if digest == self._roster.digests.total:
            peer.digest_mismatches = 0
            return
        peer.digest_mismatches += 1
        if peer.digest_mismatches in _REPAIR_AFTER_MISMATCHES:
            self._peers.want_list(tick, peer.address)
        if peer.digest_mismatches == max(_REPAIR_AFTER_MISMATCHES):
            peer.digest_mismatches //= 2

    def _record_version(self, tick: Tick, peer: PeerRow, version: RuleVersion) -> None:
        peer.version = version
        if version > self._rules.held_version:
            seen = PeerRulesVersionSeen(
                peer.node_id, peer.address, version, peer.is_same_region
            )
            tick.post(seen)

    def _raise_incarnation(self, tick: Tick, known: BackendServerRow) -> None:
        """Raise this node's incarnation above that of its earlier process.

        Peers hold a newer stamp than this process has if the clock was set
        back before it started. If they hold its own stamp, only a greeting was
        late: relays had passed on the row of a later one.
        """
        roster = self._roster
        own_row = roster.own
        if known.node_id != own_row.node_id or known.stamp <= own_row.stamp:
            return
        if roster.has_left:
            return
        roster.me.incarnation = Incarnation(known.incarnation + 1)
        roster.put_row(replace(own_row, incarnation=roster.me.incarnation))
        tick.emit(Noted(Event.DEATH_REFUTED, detail="the clock was set back"))
        tick.post(OwnRowChanged())

    def _announce(self, tick: Tick, row: BackendServerRow) -> None:
        """Send a row of this node to its partners; relays tell the others."""
        hello = self._peers.hello(row, wants_reply=False)
        self._peers.send_to_partners(tick, hello)
        if self._peers.neighbourhood().is_relay:
            tick.post(RowFound(row))


def _is_back_without_restart(peer: PeerRow, row: BackendServerRow) -> bool:
    return (
        peer.state is MemberState.DEAD
        and peer.row is not None
        and peer.row.incarnation == row.incarnation
    )
