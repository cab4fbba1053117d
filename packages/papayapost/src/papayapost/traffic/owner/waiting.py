"""Operations on attempts that wait at their owner node."""

from papayapost.kernel import Tick
from papayapost.traffic.claims.messages import ClaimNeeded, ClaimRelease
from papayapost.traffic.messages import RefusalCode
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.tables import OwnedRow, OwnedState, OwnerTables

__all__ = ["WaitingAttempts"]


class WaitingAttempts:
    """Queues attempts, and refuses or discards those that will not start.

    Each method that changes the queue or a claim also updates the counts in
    `OwnerTables`.
    """

    def __init__(self, tables: OwnerTables, queue: QueueDiscipline, replies: Replies):
        self._tables = tables
        self._queue = queue
        self._replies = replies

    def request_claim(self, tick: Tick, row: OwnedRow) -> None:
        """Request the claim of an attempt's key; the attempt waits for it."""
        row.state = OwnedState.CLAIMING
        row.is_claimed = True
        self._tables.waiting_for_claim += 1
        tick.post(ClaimNeeded(row.offer))

    def end_claim_wait(self, row: OwnedRow) -> None:
        """Mark an attempt as no longer waiting for its claim."""
        row.state = OwnedState.QUEUED
        self._tables.waiting_for_claim -= 1

    def enqueue(self, tick: Tick, row: OwnedRow, wait_us: float) -> None:
        """Queue an attempt, and refuse each attempt that the queue rejects.

        Parameters
        ----------
        wait_us
            Expected wait in µs of a new attempt. Callers whose attempts are
            refused are asked to retry after about that time.
        """
        for refused in self._queue.push(row):
            code = RefusalCode.QUEUE_FULL
            if refused is not row:
                self._tables.counters.evicted += 1
                code = RefusalCode.EVICTED
            self.refuse(tick, refused, code, wait_us)
        self._tables.waiting = len(self._queue)

    def remove(self, row: OwnedRow) -> None:
        """Stop an attempt from waiting in the queue or for its claim."""
        if row.state is OwnedState.QUEUED:
            self._queue.remove(row)
            self._tables.waiting = len(self._queue)
        else:
            self._tables.waiting_for_claim -= 1

    def refuse(
        self, tick: Tick, row: OwnedRow, code: RefusalCode, wait_us: float
    ) -> None:
        """Discard an attempt and refuse it as not run.

        The attempt must no longer be in the queue.

        Parameters
        ----------
        wait_us
            Expected wait in µs of a new attempt. The caller is asked to retry
            after about that time.
        """
        self.discard(tick, row)
        self._replies.refuse(tick, row.offer, code, wait_us)

    def discard(self, tick: Tick, row: OwnedRow) -> None:
        """Delete an attempt that never started, and release its claim."""
        attempt_id = row.offer.attempt_id
        self._tables.attempts.pop(attempt_id)
        tick.cancel_timer(("owned", attempt_id))
        self.release_claim(tick, row)

    def release_claim(self, tick: Tick, row: OwnedRow) -> None:
        """Release the claim of an attempt that certainly did not run."""
        if row.is_claimed:
            tick.post(ClaimRelease(row.offer))
