"""The system that sends heartbeats and looks for silent peers."""

from papayapost.distribution import RulesTable
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.peering import PeerSend
from papayapost.roster.messages import Beat, HeartbeatsDue, RosterStarted
from papayapost.roster.neighbours import Neighbourhood
from papayapost.roster.peers import Peers
from papayapost.roster.tables import PeerRow, RosterTables, SuspicionCause
from papayapost.states import MemberState

__all__ = ["SendHeartbeats"]

_TIMER_INTERVAL_US = 500_000
_REGION_INTERVAL_US = 500_000
_CROSS_REGION_INTERVAL_US = 1_500_000
"""Heartbeats between regions are rarer, as that traffic is paid for."""

_REGION_SILENCE_US = 1_300_000
_CROSS_REGION_SILENCE_US = 3_600_000
"""Silence after which a partner is suspected, and asked whether it is alive.
A live partner may lose two heartbeats in a row before."""

_REGION_GREETING_US = 1_800_000
_CROSS_REGION_GREETING_US = 4_800_000
"""Time in which a new peer has to answer, or a leader to pass on its row."""

_EARLY_PROBE_INTERVAL_US = 500_000
_EARLY_PROBE_PERIOD_US = 15_000_000
"""Time after the loss of a peer in which most restarted nodes are back. A node
that starts while the store is unavailable knows no peer until one contacts it,
so that lost peers are probed more often in this time."""

_PROBE_INTERVAL_US = 2_000_000
_REMOVE_AFTER_US = 120_000_000
"""Time after which a lost peer is no longer probed and is removed."""


class SendHeartbeats(System):
    """Sends heartbeats to this node's partners and suspects silent ones.

    A silent peer counts as dead until it sends a message again. Dead peers are
    probed for a limited time, because this node itself may have been
    partitioned from them.
    """

    consumes = (HeartbeatsDue, RosterStarted)

    def __init__(self, roster: RosterTables, rules: RulesTable, peers: Peers):
        self._roster = roster
        self._rules = rules
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Send the heartbeats and probes that are due."""
        is_due, is_start = tick.take(HeartbeatsDue), tick.take(RosterStarted)
        if not (is_due or is_start) or self._roster.has_left:
            return
        self._roster.put_row(self._roster.own)
        neighbourhood = self._peers.neighbourhood()
        partners = self._peers.partners()
        self._peers.greet_partners(tick)
        beat = self._beat()
        for peer in list(self._roster.peers):
            if peer.state is MemberState.DEAD:
                self._probe(tick, peer, neighbourhood)
            elif peer.row is None:
                self._check_unmet(tick, peer)
            else:
                self._send(tick, peer, beat, partners)
        due_us = Micros(tick.now_us + _TIMER_INTERVAL_US)
        tick.set_timer("roster beats", due_us, HeartbeatsDue())

    def _beat(self) -> Beat:
        own, version = self._roster.own, self._rules.held_version
        digest = self._roster.digests.total
        return Beat(own.node_id, own.incarnation, own.revision, version, digest)

    def _send(
        self, tick: Tick, peer: PeerRow, beat: Beat, partners: set[NodeId]
    ) -> None:
        if peer.node_id not in partners:
            peer.partner_since_us = None
            peer.digest_mismatches = 0
            return
        if peer.partner_since_us is None:
            peer.partner_since_us = tick.now_us
        self._check_silence(tick, peer)
        interval_us = (
            _REGION_INTERVAL_US if peer.is_same_region else _CROSS_REGION_INTERVAL_US
        )
        if _is_due(peer.last_beat_us, tick.now_us, interval_us):
            peer.last_beat_us = tick.now_us
            tick.emit(PeerSend(peer.address, beat))

    def _check_silence(self, tick: Tick, peer: PeerRow) -> None:
        limit_us = (
            _REGION_SILENCE_US if peer.is_same_region else _CROSS_REGION_SILENCE_US
        )
        silent_since_us = max(peer.last_heard_us or 0, peer.partner_since_us or 0)
        is_alive = peer.state is MemberState.ALIVE
        if is_alive and tick.now_us - silent_since_us > limit_us:
            self._peers.suspect(tick, peer, SuspicionCause.SILENCE)

    def _check_unmet(self, tick: Tick, peer: PeerRow) -> None:
        limit_us = (
            _REGION_GREETING_US if peer.is_same_region else _CROSS_REGION_GREETING_US
        )
        if tick.now_us - peer.added_or_lost_us > limit_us:
            self._peers.declare_dead(tick, peer, "no node has met it")

    def _probe(self, tick: Tick, peer: PeerRow, neighbourhood: Neighbourhood) -> None:
        dead_for_us = tick.now_us - peer.added_or_lost_us
        is_early_probe = dead_for_us < _EARLY_PROBE_PERIOD_US
        interval_us = _EARLY_PROBE_INTERVAL_US if is_early_probe else _PROBE_INTERVAL_US
        if dead_for_us > _REMOVE_AFTER_US:
            self._roster.peers.pop(peer.node_id)
            self._roster.changes += 1
        elif _is_due(
            peer.last_asked_us, tick.now_us, interval_us
        ) and neighbourhood.is_next_to(peer.rank, peer.is_same_region):
            self._peers.ask(tick, peer)


def _is_due(last_us: Micros | None, now_us: Micros, interval_us: int) -> bool:
    # The tolerance of a quarter of a tick interval keeps a tick that runs
    # slightly early from delaying the message by a whole interval.
    return last_us is None or now_us - last_us >= interval_us - _TIMER_INTERVAL_US // 4
