"""Disseminates changed rows through the tree, in batches, within a budget."""

from papayapost.define import define
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.budget import Budget
from papayapost.membership.members import Members
from papayapost.membership.messages import RowsToDisseminate
from papayapost.membership.peer_messages import DirectoryDelta
from papayapost.membership.tables import BackendServerRow, TreeTables
from papayapost.peering import PeerSend

__all__ = ["DisseminateRows"]

_BATCH_DELAY_US = 100_000
_MAX_ROWS_PER_DELTA = 256
_ROW_SENDS_PER_SECOND = 80
_ROW_SENDS_BURST = 4_000
_FLUSH_INTERVAL_US = 500_000
_SLOW_FLUSH_INTERVAL_US = 5_000_000
_MAX_WAITING = 512


@define
class FlushDue:
    """Timer: send the queued rows to the neighbours."""


class DisseminateRows(System):
    """Sends each changed row to all neighbours except the one it came from.

    Urgent rows, which affect where calls may be sent, go first. Rows beyond
    the budget wait. If a member's row changes again while it waits, only
    the newest row is sent.
    """

    consumes = (RowsToDisseminate, FlushDue)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._urgent: dict[NodeId, NodeId | None] = {}
        self._waiting: dict[NodeId, NodeId | None] = {}
        self._budget = Budget(_ROW_SENDS_PER_SECOND, _ROW_SENDS_BURST)
        self._due_us: Micros | None = None
        self._flushed_us = Micros(-_FLUSH_INTERVAL_US)

    def run(self, tick: Tick) -> None:
        """Queue changed rows, and send queued rows when the timer is due."""
        for changed in tick.take(RowsToDisseminate):
            queue = self._urgent if changed.is_urgent else self._waiting
            for node_id in changed.node_ids:
                queue[node_id] = changed.source
        while len(self._waiting) > _MAX_WAITING:
            # Drops the oldest waiting row. Other nodes detect by digests that
            # it is missing, and a repair costs less than a longer queue.
            del self._waiting[next(iter(self._waiting))]
        if tick.take(FlushDue):
            self._due_us = None
            self._flush(tick)
        if self._urgent or self._waiting:
            self._schedule(tick)

    def _schedule(self, tick: Tick) -> None:
        """Set the flush timer, or move it to an earlier time if possible."""
        due_us = self._next_flush_us(tick)
        if self._due_us is None or due_us < self._due_us:
            self._due_us = due_us
            tick.set_timer("flush rows", due_us, FlushDue())

    def _next_flush_us(self, tick: Tick) -> Micros:
        """Return the time of the next flush.

        It is later if less than half of the budget is left, because larger
        batches compress better.
        """
        is_budget_short = self._budget.available(tick.now_us) < _ROW_SENDS_BURST // 2
        can_wait = is_budget_short and not self._urgent
        pause_us = _SLOW_FLUSH_INTERVAL_US if can_wait else _FLUSH_INTERVAL_US
        return Micros(max(tick.now_us + _BATCH_DELAY_US, self._flushed_us + pause_us))

    def _flush(self, tick: Tick) -> None:
        self._flushed_us = tick.now_us
        neighbours = self._tree.neighbours()
        if not neighbours:
            # A node that attaches later gets the rows by comparing digests.
            self._urgent.clear()
            self._waiting.clear()
            return
        row_budget = self._budget.available(tick.now_us) // len(neighbours)
        batch = self._pop_rows(min(row_budget, _MAX_ROWS_PER_DELTA))
        self._budget.take(len(batch) * len(neighbours), tick.now_us)
        for node_id, address in neighbours:
            rows = tuple(row for row, source in batch if source != node_id)
            if rows:
                me = self._members.me
                delta = DirectoryDelta(me.node_id, me.peer_address, rows)
                tick.emit(PeerSend(address, delta))

    def _pop_rows(self, count: int) -> list[tuple[BackendServerRow, NodeId | None]]:
        batch: list[tuple[BackendServerRow, NodeId | None]] = []
        while len(batch) < count and (self._urgent or self._waiting):
            queue = self._urgent or self._waiting
            node_id = next(iter(queue))
            source = queue.pop(node_id)
            row = self._members.newest_row(node_id)
            if row is not None:
                batch.append((row, source))
        return batch
