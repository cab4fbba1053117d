"""The system that decides which nodes watch the orders in the store."""

from itertools import zip_longest

from papayapost.distribution import PeersListed
from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.watch_ranks import WatchRanks
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rollout.internal import RolloutStarted, WatcherDue
from papayapost.rollout.messages import WatcherBeat
from papayapost.storage import (
    OrdersRead,
    OrdersUnread,
    StoreEraChanged,
    UnwatchOrders,
    WatchOrders,
)

__all__ = ["OrderWatch", "WatchRolloutOrders"]

_WATCHERS = 2
_INTERVAL_US = 1_000_000
_SETTLE_US = 400_000
_MAX_SETTLE_US = 2_500_000
"""Time after the list of peers, and longest time after the start, from which a
node knows its rank well enough. Before, each node would watch."""

_SILENCE_US = 2_200_000
_SILENCE_STEP_US = 500_000
"""Time without a beat after which the next node in rank stands in."""

_RETRY_MIN_US = 100_000
_RETRY_MAX_US = 1_000_000


class OrderWatch:
    """State of this node's watch of the orders.

    Attributes
    ----------
    is_watching
        Whether the node watches the orders.
    answered_us
        Time in µs of the request that the store has last answered; None
        before one.
    """

    def __init__(self, me: SelfRow, directory: Directory):
        self._me = me
        self.ranks = WatchRanks(directory, me.place.region)
        self.is_watching = False
        self.answered_us: Micros | None = None

    def candidates(self) -> list[NodeId]:
        """Return the nodes that may watch, the first in rank first.

        The regions take turns, so that each has a watcher if they lose each
        other.
        """
        ranks = [rank for _, rank in sorted(self.ranks.regions.items())]
        lists = [[*rank.relays, *rank.deputies] for rank in ranks]
        return [node for turn in zip_longest(*lists) for node in turn if node]

    def position(self) -> int | None:
        """Return this node's place among the candidates, or None."""
        candidates = self.candidates()
        own = self._me.node_id
        return candidates.index(own) if own in candidates else None

    def is_in_contact(self, now_us: Micros, limit_us: int) -> bool:
        """Return whether the store has answered within some time."""
        answered_us = self.answered_us
        return answered_us is not None and now_us - answered_us <= limit_us


class WatchRolloutOrders(System):
    """Watches the orders on two nodes; others stand in where these fail.

    The load pattern that it answers: the store refuses a third of the nodes,
    or the regions lose each other, while an order is written.
    """

    consumes = (
        DirectoryChanged,
        OrdersRead,
        OrdersUnread,
        PeersListed,
        RolloutStarted,
        StoreEraChanged,
        WatcherBeat,
        WatcherDue,
    )

    def __init__(self, me: SelfRow, directory: Directory, watch: OrderWatch):
        self._me = me
        self._directory = directory
        self._watch = watch
        self._beats: dict[NodeId, Micros] = {}
        self._settled_us: Micros | None = None
        self._failures = 0
        self._ranked: list[NodeId] = []
        self._ranked_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Start or end the watch, and tell the stand-ins of it."""
        for changed in tick.take(DirectoryChanged):
            self._watch.ranks.refresh(changed.rows)
        if tick.take(RolloutStarted):
            self._settle(tick, _MAX_SETTLE_US)
        if tick.take(PeersListed):
            self._settle(tick, _SETTLE_US)
        for beat in tick.take(WatcherBeat):
            self._beats[beat.sender] = tick.now_us
        if tick.take(StoreEraChanged) and self._watch.is_watching:
            # A watch of the era before waits for revisions given out again.
            tick.emit(WatchOrders())
        for read in tick.take(OrdersRead):
            self._record_answer(tick, read)
        for unread in tick.take(OrdersUnread):
            self._retry_later(tick, unread.reason)
        if tick.take(WatcherDue):
            self._review(tick)

    def _settle(self, tick: Tick, after_us: int) -> None:
        due_us = Micros(tick.now_us + after_us)
        if self._settled_us is None or due_us < self._settled_us:
            self._settled_us = due_us
            tick.set_timer(WatcherDue, due_us, WatcherDue())

    def _record_answer(self, tick: Tick, read: OrdersRead) -> None:
        self._failures = 0
        asked_us = tick.now_us if read.asked_us is None else read.asked_us
        self._watch.answered_us = asked_us

    def _retry_later(self, tick: Tick, reason: str) -> None:
        if not self._watch.is_watching:
            return
        if not self._failures:
            tick.emit(Noted(Event.ORDERS_UNREAD, detail=reason))
        pause_us = jittered_backoff_us(
            tick.random, self._failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        self._failures += 1
        self._watch.is_watching = False
        due_us = Micros(tick.now_us + pause_us)
        tick.set_timer(WatcherDue, due_us, WatcherDue())

    def _review(self, tick: Tick) -> None:
        watch = self._watch
        ranked = watch.candidates()
        if ranked != self._ranked:
            self._ranked, self._ranked_us = ranked, tick.now_us
        position = watch.position()
        if position is not None and self._is_needed(tick, position):
            if not watch.is_watching:
                watch.is_watching = True
                tick.emit(WatchOrders())
            self._beat(tick)
        elif watch.is_watching:
            watch.is_watching = False
            tick.emit(UnwatchOrders())
        tick.set_timer(WatcherDue, Micros(tick.now_us + _INTERVAL_US), WatcherDue())

    def _is_needed(self, tick: Tick, position: int) -> bool:
        """Return whether fewer than two nodes above this one watch."""
        if position < _WATCHERS:
            return True
        silence_us = _SILENCE_US + (position - _WATCHERS) * _SILENCE_STEP_US
        # A node that has just come to its rank has not been heard yet.
        if tick.now_us - self._ranked_us < silence_us:
            return False
        heard = sum(
            tick.now_us - self._beats.get(node_id, self._ranked_us) < silence_us
            for node_id in self._ranked[:position]
        )
        return heard < _WATCHERS

    def _beat(self, tick: Tick) -> None:
        if not self._watch.is_in_contact(tick.now_us, 2 * _INTERVAL_US):
            return
        beat = WatcherBeat(self._me.node_id)
        for node_id in self._watch.candidates():
            row = self._directory.get(node_id)
            if row is not None and node_id != self._me.node_id:
                tick.emit(PeerSend(row.peer_address, beat))
