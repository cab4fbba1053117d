"""What befalls attempts that wait at their owner node."""

from papayapost.kernel import Tick
from papayapost.traffic.claims.messages import ClaimNeeded, ClaimRelease
from papayapost.traffic.messages import RefusalCode
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.tables import OwnedRow, OwnedState, OwnerTables

__all__ = ["WaitingAttempts"]


class WaitingAttempts:
    """Queues attempts and ends those that will not start.

    Shared by the systems of the owner node.
    """

    def __init__(self, tables: OwnerTables, queue: QueueDiscipline, replies: Replies):
        self._tables = tables
        self._queue = queue
        self._replies = replies

    def claim(self, tick: Tick, row: OwnedRow) -> None:
        """Let an attempt wait until its key is claimed."""
        row.state = OwnedState.CLAIMING
        row.is_claimed = True
        self._tables.claiming += 1
        tick.post(ClaimNeeded(row.offer))

    def claimed(self, row: OwnedRow) -> None:
        """Note that the wait for a claim is over."""
        row.state = OwnedState.QUEUED
        self._tables.claiming -= 1

    def enqueue(self, tick: Tick, row: OwnedRow, wait_us: float) -> None:
        """Queue an attempt, and refuse those that have no place."""
        for refused in self._queue.push(row):
            code = RefusalCode.QUEUE_FULL
            if refused is not row:
                self._tables.counters.evicted += 1
                code = RefusalCode.EVICTED
            self.refuse(tick, refused, code, wait_us)
        self._tables.waiting = len(self._queue)

    def take_out(self, row: OwnedRow) -> None:
        """Give up an attempt's place, wherever it waits."""
        if row.state is OwnedState.QUEUED:
            self._queue.remove(row)
            self._tables.waiting = len(self._queue)
        else:
            self._tables.claiming -= 1

    def refuse(
        self, tick: Tick, row: OwnedRow, code: RefusalCode, wait_us: float
    ) -> None:
        """Forget an attempt that holds no place, and say it was not run."""
        self.forget(tick, row)
        self._replies.refuse(tick, row.offer, code, wait_us)

    def forget(self, tick: Tick, row: OwnedRow) -> None:
        """Forget an attempt that never started, and give back its claim."""
        attempt_id = row.offer.attempt_id
        self._tables.attempts.pop(attempt_id)
        tick.cancel_timer(("owned", attempt_id))
        self.release(tick, row)

    def release(self, tick: Tick, row: OwnedRow) -> None:
        """Give back the claim of an attempt that certainly did not run."""
        if row.is_claimed:
            tick.post(ClaimRelease(row.offer))
