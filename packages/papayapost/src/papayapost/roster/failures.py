"""The system that confirms that suspected peers are dead."""

from papayapost.ids import NodeId
from papayapost.kernel import System, Tick
from papayapost.roster.messages import PeersLost, SuspicionDue
from papayapost.roster.peers import Peers
from papayapost.roster.tables import PeerRow, RosterTables, SuspicionCause
from papayapost.states import MemberState
from papayapost.traffic.messages import LossCause, OwnerConnectionLost

__all__ = ["ConfirmLosses"]

_MAX_UNANSWERED = 4
_RECENTLY_US = 700_000
_MAX_REPORTED = 256

_REASONS = {
    SuspicionCause.SILENCE: "no message arrived in time",
    SuspicionCause.CONNECTION: "its connection broke and it did not answer",
    SuspicionCause.REPORT: "a peer lost it and it did not answer",
}


class ConfirmLosses(System):
    """Asks suspected peers, and removes those that do not answer.

    A report of another node, like a broken connection, only makes a peer
    suspected. A node that is itself partitioned can therefore not remove its
    peers from the directories of others.
    """

    consumes = (OwnerConnectionLost, PeersLost, SuspicionDue)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Suspect peers, and report those that did not answer."""
        for lost in tick.take(OwnerConnectionLost):
            if lost.cause is LossCause.CONNECTION:
                for peer in list(self._roster.peers.find("address", lost.address)):
                    if peer.state is MemberState.ALIVE:
                        self._peers.suspect(tick, peer, SuspicionCause.CONNECTION)
        for report in tick.take(PeersLost):
            for node_id in report.node_ids[:_MAX_REPORTED]:
                self._receive_report(tick, node_id)
        found_dead: list[PeerRow] = []
        for due in tick.take(SuspicionDue):
            suspect = self._roster.peers.get(due.node_id)
            if suspect is not None and suspect.state is MemberState.SUSPECT:
                self._ask_again(tick, suspect, found_dead)
        if found_dead:
            node_ids = tuple(peer.node_id for peer in found_dead)
            self._peers.send_to_all(tick, PeersLost(self._roster.me.node_id, node_ids))

    def _receive_report(self, tick: Tick, node_id: NodeId) -> None:
        peer = self._roster.peers.get(node_id)
        if peer is None:
            return
        if peer.suspicion is not None:
            # The other node has reported the loss, so this one need not.
            peer.suspicion = SuspicionCause.REPORT
        elif peer.state is MemberState.ALIVE and not self._is_heard(tick, peer):
            self._peers.suspect(tick, peer, SuspicionCause.REPORT)

    def _is_heard(self, tick: Tick, peer: PeerRow) -> bool:
        heard_us = peer.last_heard_us
        return heard_us is not None and tick.now_us - heard_us < _RECENTLY_US

    def _ask_again(self, tick: Tick, peer: PeerRow, found_dead: list[PeerRow]) -> None:
        cause = peer.suspicion
        if cause is None:
            return
        peer.unanswered += 1
        if peer.unanswered < _MAX_UNANSWERED:
            self._peers.ask_suspect(tick, peer)
            return
        if self._is_reporter(peer, cause):
            found_dead.append(peer)
        self._peers.declare_dead(tick, peer, _REASONS[cause])

    def _is_reporter(self, peer: PeerRow, cause: SuspicionCause) -> bool:
        """Return whether this node reports that a peer is dead.

        Most nodes notice a broken connection themselves, so that only the
        neighbours of the peer report it to the others.
        """
        if cause is SuspicionCause.CONNECTION:
            neighbourhood = self._peers.neighbourhood()
            return neighbourhood.is_next_to(peer.rank, peer.is_same_region)
        return cause is SuspicionCause.SILENCE
