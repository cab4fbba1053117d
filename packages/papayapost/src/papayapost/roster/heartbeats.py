"""Heartbeats and failure detection among the nodes of a roster."""

from dataclasses import replace

from papayapost.distribution import PeerRulesVersionSeen, RulesTable
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
    HeartbeatsDue,
    Hello,
    HelloSuperseded,
    PeersShared,
    RosterStarted,
    SuspicionDue,
)
from papayapost.roster.tables import PeerRow, RosterEntry, RosterTables
from papayapost.states import BackendServerState, MemberState
from papayapost.traffic.messages import LossCause, OwnerConnectionLost

__all__ = ["ExchangeHeartbeats"]

_TIMER_INTERVAL_US = 500_000
_REGION_INTERVAL_US = 500_000
_CROSS_REGION_INTERVAL_US = 1_500_000
"""Heartbeats between regions are rarer, as that traffic is paid for."""

_REGION_SILENCE_US = 1_800_000
_CROSS_REGION_SILENCE_US = 4_800_000
"""Silence after which a peer counts as dead. A live peer may lose three
heartbeats in a row."""

_EARLY_PROBE_INTERVAL_US = 500_000
_EARLY_PROBE_PERIOD_US = 15_000_000
"""Time after the loss of a peer in which most restarted nodes are back. A node
that starts while the store is unavailable knows no peer until one contacts it,
so that lost peers are probed more often in this time."""

_PROBE_INTERVAL_US = 2_000_000
_REMOVE_AFTER_US = 120_000_000
"""Time after which a lost peer is no longer probed and is removed."""

_SUSPICION_TIMEOUT_US = 400_000
"""Time for a `Hello` and its answer, including between regions."""

_MAX_SHARED_ENTRIES = 256


class ExchangeHeartbeats(System):
    """Announces this node's row and removes silent peers from the directory.

    A silent peer counts as dead until it sends a message again. Dead peers are
    probed for a limited time, because this node itself may have been
    partitioned from them.
    """

    consumes = (
        Beat,
        HeartbeatsDue,
        Hello,
        HelloSuperseded,
        LeaveMesh,
        OwnerConnectionLost,
        OwnRowChanged,
        PeersShared,
        RosterStarted,
        SuspicionDue,
    )

    def __init__(self, roster: RosterTables, rules: RulesTable):
        self._roster = roster
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Process the messages of peers first, then send heartbeats."""
        self._receive_from_peers(tick)
        for lost in tick.take(OwnerConnectionLost):
            if lost.cause is LossCause.CONNECTION:
                self._suspect(tick, lost.address)
        for due in tick.take(SuspicionDue):
            self._end_suspicion(tick, due)
        self._publish_own_row(tick)
        is_due, is_start = tick.take(HeartbeatsDue), tick.take(RosterStarted)
        if is_due or is_start:
            self._send_heartbeats(tick)

    def _receive_from_peers(self, tick: Tick) -> None:
        for hello in tick.take(Hello):
            self._receive_hello(tick, hello)
        for beat in tick.take(Beat):
            self._receive_heartbeat(tick, beat)
        for shared in tick.take(PeersShared):
            for entry in shared.entries[:_MAX_SHARED_ENTRIES]:
                self._add_peer(tick, entry)
        for superseded in tick.take(HelloSuperseded):
            self._raise_incarnation(tick, superseded.known)

    def _publish_own_row(self, tick: Tick) -> None:
        if tick.take(OwnRowChanged):
            tick.post(DirectoryChanged((self._roster.own,)))
            self._announce(tick, self._roster.own)
        if tick.take(LeaveMesh):
            own_row = self._roster.own
            gone = replace(
                own_row, revision=own_row.revision + 1, state=BackendServerState.GONE
            )
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
        self._record_version(tick, peer, hello.version)
        self._apply_row(tick, peer, row)
        if hello.wants_reply:
            self._send_hello(tick, hello.reply_to, wants_reply=False)
            self._share_peers(tick, hello.reply_to)

    def _apply_row(self, tick: Tick, peer: PeerRow, row: BackendServerRow) -> None:
        directory = self._roster.directory
        before = directory.get(peer.node_id)
        peer.row = row
        if row.is_gone:
            self._declare_dead(tick, peer, "it left the mesh")
            return
        peer.last_heard_us = tick.now_us
        if peer.state is not MemberState.ALIVE:
            peer.state = MemberState.ALIVE
            tick.emit(Noted(Event.PEER_FOUND, peer=peer.node_id))
        if before is None or before.stamp != row.stamp:
            directory.put(row.node_id, row)
            tick.post(DirectoryChanged((row,)))

    def _receive_heartbeat(self, tick: Tick, beat: Beat) -> None:
        peer = self._roster.peers.get(beat.sender)
        if peer is None:
            return
        self._record_version(tick, peer, beat.version)
        row = peer.row
        stamp = (beat.incarnation, beat.revision)
        if row is None or row.is_gone or row.stamp != stamp:
            self._send_hello(tick, peer.address, wants_reply=True)
        else:
            self._apply_row(tick, peer, row)

    def _record_version(self, tick: Tick, peer: PeerRow, version: RuleVersion) -> None:
        peer.version = version
        if version > self._rules.held_version:
            tick.post(PeerRulesVersionSeen(peer.node_id, peer.address, version))

    def _add_peer(self, tick: Tick, entry: RosterEntry) -> None:
        peer = self._roster.add_peer(entry, tick.now_us)
        if peer is not None:
            self._send_hello(tick, peer.address, wants_reply=True)

    def _raise_incarnation(self, tick: Tick, known: BackendServerRow) -> None:
        """Raise this node's incarnation above that of its earlier process.

        Peers hold a newer stamp than this process has if the clock was set
        back before it started.
        """
        roster = self._roster
        own_row = roster.own
        if known.node_id != own_row.node_id or known.stamp < own_row.stamp:
            return
        roster.me.incarnation = Incarnation(known.incarnation + 1)
        raised = replace(own_row, incarnation=roster.me.incarnation)
        roster.directory.put(own_row.node_id, raised)
        tick.emit(Noted(Event.DEATH_REFUTED, detail="the clock was set back"))
        tick.post(OwnRowChanged())

    def _suspect(self, tick: Tick, address: Address) -> None:
        for peer in self._roster.peers.find("address", address):
            if peer.state is MemberState.ALIVE:
                peer.state = MemberState.SUSPECT
                self._send_hello(tick, address, wants_reply=True)
                due_us = Micros(tick.now_us + _SUSPICION_TIMEOUT_US)
                due = SuspicionDue(peer.node_id)
                tick.set_timer(("suspicion", peer.node_id), due_us, due)

    def _end_suspicion(self, tick: Tick, due: SuspicionDue) -> None:
        peer = self._roster.peers.get(due.node_id)
        if peer is not None and peer.state is MemberState.SUSPECT:
            self._declare_dead(tick, peer, "its connection broke and it did not answer")

    def _declare_dead(self, tick: Tick, peer: PeerRow, reason: str) -> None:
        row = self._roster.directory.pop(peer.node_id)
        peer.state = MemberState.DEAD
        peer.added_or_lost_us = tick.now_us
        if row is None:
            return
        gone = replace(row, state=BackendServerState.GONE)
        tick.post(DirectoryChanged((gone,)))
        last_heard_us = peer.last_heard_us or tick.now_us
        silent_ms = (tick.now_us - last_heard_us) // 1000
        detail = f"{reason}; last message {silent_ms} ms ago"
        tick.emit(Noted(Event.PEER_LOST, peer=peer.node_id, detail=detail))

    def _send_heartbeats(self, tick: Tick) -> None:
        roster = self._roster
        own_row = roster.own
        own_id = roster.me.node_id
        version = self._rules.held_version
        beat = Beat(own_id, own_row.incarnation, own_row.revision, version)
        for peer in list(roster.peers):
            self._check_silence(tick, peer)
            if peer.state is MemberState.DEAD:
                self._probe(tick, peer)
                continue
            interval_us = (
                _REGION_INTERVAL_US
                if peer.is_same_region
                else _CROSS_REGION_INTERVAL_US
            )
            if _is_due(peer.last_sent_us, tick.now_us, interval_us):
                peer.last_sent_us = tick.now_us
                tick.emit(PeerSend(peer.address, beat))
        tick.set_timer(
            "roster beats", Micros(tick.now_us + _TIMER_INTERVAL_US), HeartbeatsDue()
        )

    def _check_silence(self, tick: Tick, peer: PeerRow) -> None:
        limit_us = (
            _REGION_SILENCE_US if peer.is_same_region else _CROSS_REGION_SILENCE_US
        )
        silent_since_us = (
            peer.added_or_lost_us if peer.last_heard_us is None else peer.last_heard_us
        )
        if (
            peer.state is not MemberState.DEAD
            and tick.now_us - silent_since_us > limit_us
        ):
            self._declare_dead(tick, peer, "no message arrived in time")

    def _probe(self, tick: Tick, peer: PeerRow) -> None:
        dead_for_us = tick.now_us - peer.added_or_lost_us
        is_early_probe = dead_for_us < _EARLY_PROBE_PERIOD_US
        interval_us = _EARLY_PROBE_INTERVAL_US if is_early_probe else _PROBE_INTERVAL_US
        if dead_for_us > _REMOVE_AFTER_US:
            self._roster.peers.pop(peer.node_id)
        elif _is_due(peer.last_sent_us, tick.now_us, interval_us):
            peer.last_sent_us = tick.now_us
            self._send_hello(tick, peer.address, wants_reply=True)

    def _announce(self, tick: Tick, row: BackendServerRow) -> None:
        version = self._rules.held_version
        hello = Hello(row.node_id, row.peer_address, row, version, False)
        for peer in self._roster.peers:
            if peer.state is not MemberState.DEAD:
                tick.emit(PeerSend(peer.address, hello))

    def _send_hello(self, tick: Tick, address: Address, wants_reply: bool) -> None:
        own_row = self._roster.own
        version = self._rules.held_version
        hello = Hello(
            own_row.node_id, own_row.peer_address, own_row, version, wants_reply
        )
        tick.emit(PeerSend(address, hello))

    def _share_peers(self, tick: Tick, address: Address) -> None:
        entries = tuple(
            RosterEntry(row.node_id, row.peer_address, row.data_centre, row.region)
            for row in self._roster.directory
        )
        shared = PeersShared(self._roster.me.node_id, entries[:_MAX_SHARED_ENTRIES])
        tick.emit(PeerSend(address, shared))


def _is_due(last_us: Micros | None, now_us: Micros, interval_us: int) -> bool:
    # The tolerance of a quarter of a tick interval keeps a tick that runs
    # slightly early from delaying the message by a whole interval.
    return last_us is None or now_us - last_us >= interval_us - _TIMER_INTERVAL_US // 4
