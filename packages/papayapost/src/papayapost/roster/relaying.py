"""The system that passes rows and losses on to the nodes of a region."""

from collections.abc import Iterable

from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow
from papayapost.peering import PeerSend
from papayapost.roster.messages import LossFound, RelayDue, RowFound, RowsShared
from papayapost.roster.peers import Peers
from papayapost.roster.repair import MAX_SHARED_ROWS
from papayapost.roster.tables import PeerRow, RosterTables
from papayapost.states import MemberState

__all__ = ["RelayRows"]

_INTERVAL_US = 100_000
"""Shortest time between two messages of news, so that the start of a whole
mesh costs each node few messages. A single change is passed on at once."""


class RelayRows(System):
    """Passes on the rows and losses that this node has found.

    A relay passes them on to its region, and those of its own region to the
    relays of the other regions. Any other node passes them on to its relays.
    A node that has just come gets all rows from the relays of its region.
    """

    consumes = (LossFound, RelayDue, RowFound)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers
        self._rows: dict[NodeId, BackendServerRow] = {}
        self._lost: dict[NodeId, None] = {}
        self._newcomers: set[NodeId] = set()
        self._passed_on_us: Micros | None = None

    def run(self, tick: Tick) -> None:
        """Pass on what was found, at once or after the interval."""
        for found in tick.take(RowFound):
            node_id = found.row.node_id
            self._rows[node_id] = found.row
            self._lost.pop(node_id, None)
            if found.is_newcomer:
                self._newcomers.add(node_id)
        for loss in tick.take(LossFound):
            self._rows.pop(loss.node_id, None)
            self._lost[loss.node_id] = None
        if not self._rows and not self._lost:
            return
        last_us = self._passed_on_us
        if last_us is not None and tick.now_us - last_us < _INTERVAL_US:
            due_us = Micros(last_us + _INTERVAL_US)
            tick.set_timer("roster news", due_us, RelayDue())
            return
        self._passed_on_us = tick.now_us
        self._pass_on(tick)

    def _pass_on(self, tick: Tick) -> None:
        rows, lost, newcomers = self._rows, self._lost, self._newcomers
        self._rows, self._lost, self._newcomers = {}, {}, set()
        neighbourhood = self._peers.neighbourhood()
        if not neighbourhood.is_relay:
            for peer in self._live(neighbourhood.relays()):
                self._send(tick, peer, rows.values(), lost)
            return
        directory = self._roster.directory
        for peer in self._live(neighbourhood.others_of_region()):
            is_newcomer = peer.node_id in newcomers
            self._send(tick, peer, directory if is_newcomer else rows.values(), lost)
        region = self._roster.me.place.region
        near_lost = [node_id for node_id in lost if self._is_near(node_id)]
        for peer in self._live(neighbourhood.far_relays()):
            passed_on = directory if peer.node_id in newcomers else rows.values()
            near = [row for row in passed_on if row.region == region]
            self._send(tick, peer, near, near_lost)

    def _live(self, node_ids: Iterable[NodeId]) -> list[PeerRow]:
        peers = (self._roster.peers.get(node_id) for node_id in node_ids)
        return [
            peer
            for peer in peers
            if peer is not None
            and peer.row is not None
            and peer.state is not MemberState.DEAD
        ]

    def _is_near(self, node_id: NodeId) -> bool:
        peer = self._roster.peers.get(node_id)
        return peer is not None and peer.is_same_region

    def _send(
        self,
        tick: Tick,
        peer: PeerRow,
        rows: Iterable[BackendServerRow],
        lost: Iterable[NodeId],
    ) -> None:
        others = tuple(row for row in rows if row.node_id != peer.node_id)
        lost_others = tuple(node_id for node_id in lost if node_id != peer.node_id)
        if others or lost_others:
            own_id = self._roster.me.node_id
            news = RowsShared(own_id, others[:MAX_SHARED_ROWS], lost_others, True)
            tick.emit(PeerSend(peer.address, news))
