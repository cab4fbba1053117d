"""Passes changed rows on through the tree, in batches and within a budget."""

from dataclasses import dataclass

from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.budget import Budget
from papayapost.membership.members import Members
from papayapost.membership.messages import RowsToSpread
from papayapost.membership.peer_messages import DirectoryDelta
from papayapost.membership.tables import BackendServerRow, TreeTables
from papayapost.peering import PeerSend

__all__ = ["SpreadRows"]

_GATHER_US = 100_000
_MAX_ROWS_PER_DELTA = 256
_ROW_SENDS_PER_SECOND = 80
_ROW_SENDS_BURST = 4_000
_FLUSH_EVERY_US = 500_000
_LARGE_FLUSH_EVERY_US = 5_000_000
_MAX_WAITING = 512


@dataclass(slots=True)
class SpreadDue:
    """Timer: the rows gathered so far go on."""


class SpreadRows(System):
    """Sends each changed row to all neighbours but the one it came from.

    Rows that stop or move calls go first. Rows beyond the budget wait, and
    only the newest row of a member is ever sent.
    """

    consumes = (RowsToSpread, SpreadDue)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._urgent: dict[NodeId, NodeId | None] = {}
        self._waiting: dict[NodeId, NodeId | None] = {}
        self._budget = Budget(_ROW_SENDS_PER_SECOND, _ROW_SENDS_BURST)
        self._due_us: Micros | None = None
        self._flushed_us = Micros(-_FLUSH_EVERY_US)

    def run(self, tick: Tick) -> None:
        """Gather rows, and send what is due."""
        for spread in tick.take(RowsToSpread):
            queue = self._urgent if spread.is_urgent else self._waiting
            for node_id in spread.node_ids:
                queue[node_id] = spread.source
        while len(self._waiting) > _MAX_WAITING:
            # Digests will show the difference, and a repair is cheaper.
            del self._waiting[next(iter(self._waiting))]
        if tick.take(SpreadDue):
            self._due_us = None
            self._flush(tick)
        if self._urgent or self._waiting:
            self._schedule(tick)

    def _schedule(self, tick: Tick) -> None:
        """Flush at the due time already set, or earlier if that is allowed."""
        due_us = self._next_flush_us(tick)
        if self._due_us is None or due_us < self._due_us:
            self._due_us = due_us
            tick.set_timer("spread", due_us, SpreadDue())

    def _next_flush_us(self, tick: Tick) -> Micros:
        """Wait longer while the budget is short: large batches compress."""
        is_short = self._budget.available(tick.now_us) < _ROW_SENDS_BURST // 2
        waits = is_short and not self._urgent
        pause_us = _LARGE_FLUSH_EVERY_US if waits else _FLUSH_EVERY_US
        return Micros(max(tick.now_us + _GATHER_US, self._flushed_us + pause_us))

    def _flush(self, tick: Tick) -> None:
        self._flushed_us = tick.now_us
        neighbours = self._tree.neighbours()
        if not neighbours:
            # Whoever attaches later compares digests and gets them then.
            self._urgent.clear()
            self._waiting.clear()
            return
        room = self._budget.available(tick.now_us) // len(neighbours)
        batch = self._pop(min(room, _MAX_ROWS_PER_DELTA))
        self._budget.take(len(batch) * len(neighbours), tick.now_us)
        for node_id, address in neighbours:
            rows = tuple(row for row, source in batch if source != node_id)
            if rows:
                me = self._members.me
                delta = DirectoryDelta(me.node_id, me.peer_address, rows)
                tick.emit(PeerSend(address, delta))

    def _pop(self, count: int) -> list[tuple[BackendServerRow, NodeId | None]]:
        batch: list[tuple[BackendServerRow, NodeId | None]] = []
        while len(batch) < count and (self._urgent or self._waiting):
            queue = self._urgent or self._waiting
            node_id = next(iter(queue))
            source = queue.pop(node_id)
            row = self._members.known(node_id)
            if row is not None:
                batch.append((row, source))
        return batch
