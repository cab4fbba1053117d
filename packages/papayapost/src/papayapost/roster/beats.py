"""The system by which the nodes of a roster know of each other."""

from dataclasses import replace

from papayapost.distribution import PeerVersionSeen, RulesTable
from papayapost.ids import Address, Incarnation, Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    BackendServerRow,
    DirectoryChanged,
    LeaveMesh,
    OwnRowChanged,
)
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.roster.messages import (
    Beat,
    BeatsDue,
    Hello,
    HelloSuperseded,
    PeersShared,
    RosterStarted,
    SuspicionDue,
)
from papayapost.roster.tables import PeerRow, RosterEntry, RosterTables
from papayapost.states import BackendServerState, MemberState
from papayapost.traffic.messages import LossCause, OwnerLost

__all__ = ["ExchangeBeats"]

_TICK_US = 500_000
_NEAR_EVERY_US = 500_000
_FAR_EVERY_US = 1_500_000
"""Beats across the paid link are rarer."""

_NEAR_SILENCE_US = 1_800_000
_FAR_SILENCE_US = 4_800_000
"""Three beats in a row may be lost before a peer is."""

_EARLY_PROBE_EVERY_US = 500_000
_EARLY_PROBES_US = 15_000_000
"""Time in which most nodes that were restarted are back. A node that starts
while the store is away knows nobody until somebody speaks to it."""

_PROBE_EVERY_US = 2_000_000
_FORGET_AFTER_US = 120_000_000
_SUSPICION_US = 400_000
"""Time for a hello and its answer, also across regions."""

_MAX_SHARED = 256


class ExchangeBeats(System):
    """Announces the own row, and takes silent peers out of the directory.

    A peer that falls silent is lost until it is heard again; meanwhile it is
    probed, for it may have been this node that was cut off.
    """

    consumes = (
        Beat,
        BeatsDue,
        Hello,
        HelloSuperseded,
        LeaveMesh,
        OwnerLost,
        OwnRowChanged,
        PeersShared,
        RosterStarted,
        SuspicionDue,
    )

    def __init__(self, roster: RosterTables, rules: RulesTable):
        self._roster = roster
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Hear the others first, then speak."""
        self._hear_peers(tick)
        for lost in tick.take(OwnerLost):
            if lost.cause is LossCause.CONNECTION:
                self._suspect(tick, lost.address)
        for due in tick.take(SuspicionDue):
            self._judge(tick, due)
        self._follow_own_row(tick)
        is_due, is_start = tick.take(BeatsDue), tick.take(RosterStarted)
        if is_due or is_start:
            self._beat(tick)

    def _hear_peers(self, tick: Tick) -> None:
        for hello in tick.take(Hello):
            self._greet(tick, hello)
        for beat in tick.take(Beat):
            self._hear(tick, beat)
        for shared in tick.take(PeersShared):
            for entry in shared.entries[:_MAX_SHARED]:
                self._meet(tick, entry)
        for superseded in tick.take(HelloSuperseded):
            self._refute(tick, superseded.known)

    def _follow_own_row(self, tick: Tick) -> None:
        if tick.take(OwnRowChanged):
            tick.post(DirectoryChanged((self._roster.own,)))
            self._announce(tick, self._roster.own)
        if tick.take(LeaveMesh):
            own = self._roster.own
            gone = replace(
                own, revision=own.revision + 1, state=BackendServerState.GONE
            )
            self._announce(tick, gone)
            tick.emit(Noted(Event.MESH_LEFT))

    def _greet(self, tick: Tick, hello: Hello) -> None:
        roster, row = self._roster, hello.row
        if row.node_id == roster.me.node_id or row.node_id != hello.sender:
            return
        entry = RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
        is_new = roster.meet(entry, tick.now_us) is not None
        peer = roster.peers.require(row.node_id)
        if peer.row is not None and row.stamp < peer.row.stamp and not is_new:
            superseded = HelloSuperseded(roster.me.node_id, peer.row)
            tick.emit(PeerSend(hello.reply_to, superseded))
            return
        self._see_version(tick, peer, hello.version)
        self._admit(tick, peer, row)
        if hello.wants_reply:
            self._send_hello(tick, hello.reply_to, wants_reply=False)
            self._share_peers(tick, hello.reply_to)

    def _admit(self, tick: Tick, peer: PeerRow, row: BackendServerRow) -> None:
        directory = self._roster.directory
        before = directory.get(peer.node_id)
        peer.row = row
        if row.is_gone:
            self._lose(tick, peer, "it left")
            return
        peer.heard_us = tick.now_us
        if peer.state is not MemberState.ALIVE:
            peer.state = MemberState.ALIVE
            tick.emit(Noted(Event.PEER_FOUND, peer=peer.node_id))
        if before is None or before.stamp != row.stamp:
            directory.put(row.node_id, row)
            tick.post(DirectoryChanged((row,)))

    def _hear(self, tick: Tick, beat: Beat) -> None:
        peer = self._roster.peers.get(beat.sender)
        if peer is None:
            return
        self._see_version(tick, peer, beat.version)
        row = peer.row
        stamp = (beat.incarnation, beat.revision)
        if row is None or row.is_gone or row.stamp != stamp:
            self._send_hello(tick, peer.address, wants_reply=True)
        else:
            self._admit(tick, peer, row)

    def _see_version(self, tick: Tick, peer: PeerRow, version: RuleVersion) -> None:
        peer.version = version
        if version > self._rules.held_version:
            tick.post(PeerVersionSeen(peer.node_id, peer.address, version))

    def _meet(self, tick: Tick, entry: RosterEntry) -> None:
        peer = self._roster.meet(entry, tick.now_us)
        if peer is not None:
            self._send_hello(tick, peer.address, wants_reply=True)

    def _refute(self, tick: Tick, known: BackendServerRow) -> None:
        """Take a higher stamp than a former process of this node had."""
        roster = self._roster
        own = roster.own
        if known.node_id != own.node_id or known.stamp < own.stamp:
            return
        roster.me.incarnation = Incarnation(known.incarnation + 1)
        raised = replace(own, incarnation=roster.me.incarnation)
        roster.directory.put(own.node_id, raised)
        tick.emit(Noted(Event.DEATH_REFUTED, detail="the clock was set back"))
        tick.post(OwnRowChanged())

    def _suspect(self, tick: Tick, address: Address) -> None:
        for peer in self._roster.peers.find("address", address):
            if peer.state is MemberState.ALIVE:
                peer.state = MemberState.SUSPECT
                self._send_hello(tick, address, wants_reply=True)
                due_us = Micros(tick.now_us + _SUSPICION_US)
                due = SuspicionDue(peer.node_id)
                tick.set_timer(("suspicion", peer.node_id), due_us, due)

    def _judge(self, tick: Tick, due: SuspicionDue) -> None:
        peer = self._roster.peers.get(due.node_id)
        if peer is not None and peer.state is MemberState.SUSPECT:
            self._lose(tick, peer, "its connection broke and it does not answer")

    def _lose(self, tick: Tick, peer: PeerRow, reason: str) -> None:
        row = self._roster.directory.pop(peer.node_id)
        peer.state = MemberState.DEAD
        peer.met_us = tick.now_us
        if row is None:
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.post(DirectoryChanged((gone,)))
        heard_us = peer.heard_us or tick.now_us
        silent_ms = (tick.now_us - heard_us) // 1000
        detail = f"{reason}; last heard {silent_ms} ms ago"
        tick.emit(Noted(Event.PEER_LOST, peer=peer.node_id, detail=detail))

    def _beat(self, tick: Tick) -> None:
        roster = self._roster
        own = roster.own
        me = roster.me.node_id
        version = self._rules.held_version
        beat = Beat(me, own.incarnation, own.revision, version)
        for peer in list(roster.peers):
            self._check_silence(tick, peer)
            if peer.state is MemberState.DEAD:
                self._probe(tick, peer)
                continue
            every_us = _NEAR_EVERY_US if peer.is_near else _FAR_EVERY_US
            if _is_due(peer.beaten_us, tick.now_us, every_us):
                peer.beaten_us = tick.now_us
                tick.emit(PeerSend(peer.address, beat))
        tick.set_timer("roster beats", Micros(tick.now_us + _TICK_US), BeatsDue())

    def _check_silence(self, tick: Tick, peer: PeerRow) -> None:
        limit_us = _NEAR_SILENCE_US if peer.is_near else _FAR_SILENCE_US
        since_us = peer.met_us if peer.heard_us is None else peer.heard_us
        if peer.state is not MemberState.DEAD and tick.now_us - since_us > limit_us:
            self._lose(tick, peer, "it is silent")

    def _probe(self, tick: Tick, peer: PeerRow) -> None:
        lost_for_us = tick.now_us - peer.met_us
        is_early = lost_for_us < _EARLY_PROBES_US
        every_us = _EARLY_PROBE_EVERY_US if is_early else _PROBE_EVERY_US
        if lost_for_us > _FORGET_AFTER_US:
            self._roster.peers.pop(peer.node_id)
        elif _is_due(peer.beaten_us, tick.now_us, every_us):
            peer.beaten_us = tick.now_us
            self._send_hello(tick, peer.address, wants_reply=True)

    def _announce(self, tick: Tick, row: BackendServerRow) -> None:
        version = self._rules.held_version
        hello = Hello(row.node_id, row.peer_address, row, version, False)
        for peer in self._roster.peers:
            if peer.state is not MemberState.DEAD:
                tick.emit(PeerSend(peer.address, hello))

    def _send_hello(self, tick: Tick, address: Address, wants_reply: bool) -> None:
        own = self._roster.own
        version = self._rules.held_version
        hello = Hello(own.node_id, own.peer_address, own, version, wants_reply)
        tick.emit(PeerSend(address, hello))

    def _share_peers(self, tick: Tick, address: Address) -> None:
        entries = tuple(
            RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
            for row in self._roster.directory
        )
        shared = PeersShared(self._roster.me.node_id, entries[:_MAX_SHARED])
        tick.emit(PeerSend(address, shared))


def _is_due(last_us: Micros | None, now_us: Micros, every_us: int) -> bool:
    # A tick that comes a little early must not skip a whole interval.
    return last_us is None or now_us - last_us >= every_us - _TICK_US // 4
