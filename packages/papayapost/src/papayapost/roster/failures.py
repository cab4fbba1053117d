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
_CONFIRMED = "two peers lost it"


class ConfirmLosses(System):
    """Asks suspected peers, and removes those that do not answer.

    A report of another node, like a broken connection, only makes a peer
    suspected. The loss is confirmed once two nodes have asked the peer in
    vain, and then it is passed on to all nodes, which need not ask. A node
    that is itself partitioned can therefore not remove its peers from the
    directories of others.
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
        for report in tick.take(PeersLost):
            for node_id in report.node_ids[:_MAX_REPORTED]:
                self._receive_report(tick, report.sender, node_id)
        for shared in tick.take(RowsShared):
            if shared.is_news:
                self._receive_news(tick, shared)
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

    def _receive_news(self, tick: Tick, news: RowsShared) -> None:
        for node_id in news.lost[:_MAX_REPORTED]:
            self._receive_confirmed(tick, news.sender, node_id)

    def _receive_report(self, tick: Tick, reporter: NodeId, node_id: NodeId) -> None:
        """Suspect a reported peer; a second report confirms the first."""
        peer = self._roster.peers.get(node_id)
        if peer is None or peer.row is None:
            return
        is_second = peer.reporter not in (None, reporter)
        if peer.state is MemberState.DEAD:
            if peer.reporter is None:
                self._pass_on(tick, peer, reporter)
        elif peer.suspicion is None:
            if not self._is_heard(tick, peer):
                peer.reporter = reporter
                self._peers.suspect(tick, peer, SuspicionCause.REPORT)
        elif is_second:
            self._peers.declare_dead(tick, peer, _CONFIRMED)
            self._pass_on(tick, peer, reporter)
        else:
            peer.reporter = reporter

    def _receive_confirmed(self, tick: Tick, sender: NodeId, node_id: NodeId) -> None:
        """Drop a peer whose loss a relay has passed on."""
        peer = self._roster.peers.get(node_id)
        if peer is None or peer.row is None:
            return
        if peer.state is not MemberState.DEAD:
            if self._is_heard(tick, peer):
                self._receive_report(tick, sender, node_id)
                return
            self._peers.declare_dead(tick, peer, _CONFIRMED)
            peer.reporter = None
        if peer.reporter is None:
            self._pass_on(tick, peer, sender)

    def _pass_on(self, tick: Tick, peer: PeerRow, reporter: NodeId) -> None:
        """Pass a confirmed loss on once, if others rely on this node."""
        peer.reporter = reporter
        sender = self._roster.peers.get(reporter)
        is_from_far = sender is not None and not sender.is_same_region
        if is_from_far or self._peers.neighbourhood().is_relay:
            tick.post(LossFound(peer.node_id))

    def _is_heard(self, tick: Tick, peer: PeerRow) -> bool:
        heard_us = peer.last_heard_us
        return heard_us is not None and tick.now_us - heard_us < _RECENTLY_US

    def _ask_again(self, tick: Tick, peer: PeerRow, found_dead: list[PeerRow]) -> None:
        cause, reporter = peer.suspicion, peer.reporter
        if cause is None:
            return
        peer.unanswered += 1
        if peer.unanswered < _MAX_UNANSWERED:
            self._peers.ask_suspect(tick, peer)
            return
        if self._is_reporter(peer, cause):
            found_dead.append(peer)
        self._peers.declare_dead(tick, peer, _REASONS[cause])
        if reporter is not None:
            self._pass_on(tick, peer, reporter)

    def _is_reporter(self, peer: PeerRow, cause: SuspicionCause) -> bool:
        """Return whether this node reports that a peer is dead.

        Most nodes notice a broken connection themselves, so that only the
        neighbours of the peer report it to the others.
        """
        if cause is SuspicionCause.CONNECTION:
            neighbourhood = self._peers.neighbourhood()
            return neighbourhood.is_next_to(peer.rank, peer.is_same_region)
        return cause is SuspicionCause.SILENCE
