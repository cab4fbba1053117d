"""The system that confirms that suspected peers are dead."""

from papayapost.ids import Address, NodeId
from papayapost.kernel import System, Tick
from papayapost.roster.messages import (
    LossFound,
    PeersLost,
    RowsShared,
    SuspicionDue,
)
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
    suspected. The relays pass it on to all nodes, and each asks the peer
    itself: a node that is busy or behind a full link is silent to some. A
    broken connection is passed on once two nodes report it.
    """

    consumes = (OwnerConnectionLost, PeersLost, RowsShared, SuspicionDue)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers

    def run(self, tick: Tick) -> None:
        """Suspect peers, and report those that did not answer."""
        for lost in tick.take(OwnerConnectionLost):
            if lost.cause is LossCause.CONNECTION:
                self._suspect_at(tick, lost.address)
        shared = tick.take(RowsShared)
        passed_on = [PeersLost(item.sender, item.lost) for item in shared]
        for report in [*tick.take(PeersLost), *passed_on]:
            for node_id in report.node_ids[:_MAX_REPORTED]:
                self._receive_report(tick, report, node_id)
        found_dead: list[PeerRow] = []
        for due in tick.take(SuspicionDue):
            suspect = self._roster.peers.get(due.node_id)
            if suspect is not None and suspect.state is MemberState.SUSPECT:
                self._ask_again(tick, suspect, found_dead)
        if found_dead:
            node_ids = tuple(peer.node_id for peer in found_dead)
            self._peers.report_losses(tick, node_ids)

    def _suspect_at(self, tick: Tick, address: Address) -> None:
        for peer in list(self._roster.peers.find("address", address)):
            if peer.state is MemberState.ALIVE:
                self._peers.suspect(tick, peer, SuspicionCause.CONNECTION)
                if self._is_reporter(peer, SuspicionCause.CONNECTION):
                    self._peers.report_losses(tick, (peer.node_id,), is_asked=False)

    def _receive_report(self, tick: Tick, report: PeersLost, node_id: NodeId) -> None:
        """Suspect a reported peer, and pass a sound report on once."""
        peer = self._roster.peers.get(node_id)
        if peer is None or peer.row is None:
            return
        reporter, known_reporter = report.sender, peer.reporter
        peer.reporter = reporter
        is_second = known_reporter not in (None, reporter)
        if peer.state is not MemberState.DEAD and peer.suspicion is None:
            if self._is_heard(tick, peer):
                peer.reporter = None
                return
            self._peers.suspect(tick, peer, SuspicionCause.REPORT)
        if (report.is_asked or is_second) and not peer.is_loss_passed_on:
            self._pass_on(tick, peer, reporter)

    def _pass_on(self, tick: Tick, peer: PeerRow, reporter: NodeId) -> None:
        """Pass a loss on once, if others rely on this node."""
        peer.is_loss_passed_on = True
        sender = self._roster.peers.get(reporter)
        is_from_far = sender is not None and not sender.is_same_region
        if is_from_far or self._peers.neighbourhood().is_relay:
            tick.post(LossFound(peer.node_id))

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
        if cause is SuspicionCause.SILENCE and not peer.is_loss_passed_on:
            self._pass_on(tick, peer, self._roster.me.node_id)

    def _is_reporter(self, peer: PeerRow, cause: SuspicionCause) -> bool:
        """Return whether this node reports that a peer is dead.

        Most nodes notice a broken connection themselves, so that only the
        neighbours of the peer report it to the others.
        """
        if cause is SuspicionCause.CONNECTION:
            neighbourhood = self._peers.neighbourhood()
            return neighbourhood.is_next_to(peer.rank, peer.is_same_region)
        return cause is SuspicionCause.SILENCE
