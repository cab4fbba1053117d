"""Systems of the owner node: admission into the backend server's slots."""

from papayapost.ids import AttemptId, Micros
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.traffic.concurrency import ConcurrencyLimit, ServiceTimes
from papayapost.traffic.messages import AttemptCancel, AttemptOffer, RefusalCode
from papayapost.traffic.owner_messages import (
    AttemptExpired,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    DropOffer,
)
from papayapost.traffic.owner_tables import OwnedRow, OwnedState, OwnerTables
from papayapost.traffic.queues import QueueDiscipline
from papayapost.traffic.replies import Replies
from papayapost.traffic.seen import Novelty, SeenAttempts
from papayapost.traffic.shares import SharesInForce

__all__ = ["AdmitAttempts"]

_SHED_STATUS = 503


class AdmitAttempts(System):
    """Queues offers and starts them as slots come free.

    Each attempt is decided on once: it starts at most once, and "not run"
    is only said of one that has not started and never will.
    """

    consumes = (
        AttemptCancel,
        AttemptExpired,
        BackendCallBegun,
        BackendCallEnded,
        AttemptOffer,
    )

    def __init__(
        self,
        tables: OwnerTables,
        seen: SeenAttempts,
        queue: QueueDiscipline,
        concurrency: ConcurrencyLimit,
        shares: SharesInForce,
        replies: Replies,
    ):
        self._tables = tables
        self._seen = seen
        self._queue = queue
        self._concurrency = concurrency
        self._shares = shares
        self._replies = replies
        self._times = ServiceTimes()

    def run(self, tick: Tick) -> None:
        """Free slots first, then fill them."""
        for cancel in tick.take(AttemptCancel):
            self._cancel(tick, cancel.attempt_id)
        for begun in tick.take(BackendCallBegun):
            self._begin(tick, begun)
        for ended in tick.take(BackendCallEnded):
            self._end(tick, ended)
        arrived = [
            row
            for offer in tick.take(AttemptOffer)
            if (row := self._receive(tick, offer)) is not None
        ]
        for expired in tick.take(AttemptExpired):
            self._expire(tick, expired.attempt_id)
        self._fill_slots(tick)
        for row in arrived:
            self._set_expiry(tick, row)

    def _receive(self, tick: Tick, offer: AttemptOffer) -> OwnedRow | None:
        """Admit an offer to the queue, or decide on it at once."""
        novelty = self._seen.classify(offer)
        if novelty is Novelty.NEW:
            return self._admit(tick, offer)
        if novelty is Novelty.REPLAYED:
            self._drop_replay(tick, offer)
        elif novelty is Novelty.CANCELLED:
            tick.emit(DropOffer(offer.attempt_id))
        else:
            self._tables.counters.stale_epochs += 1
            self._replies.refuse(tick, offer, RefusalCode.STALE_EPOCH, 0)
        return None

    def _drop_replay(self, tick: Tick, offer: AttemptOffer) -> None:
        """Say nothing of a repeated offer: the first one may have run."""
        self._tables.counters.replayed += 1
        tick.emit(
            Noted(Event.OFFER_REPLAYED, attempt_id=offer.attempt_id, peer=offer.sender)
        )
        known = self._tables.attempts.get(offer.attempt_id)
        if known is None or known.state is OwnedState.RUNNING:
            tick.emit(DropOffer(offer.attempt_id))

    def _admit(self, tick: Tick, offer: AttemptOffer) -> OwnedRow | None:
        tables = self._tables
        if tables.is_refusing or not tables.slots:
            tables.counters.offers_after_grace += 1
            self._replies.refuse(tick, offer, RefusalCode.DRAINING, 0)
            return None
        service_us = self._times.estimate_us(offer.rank, tick.now_us)
        wait_us = 0.0
        if tables.waiting:
            wait_us = self._queue.expected_wait_us(offer.rank, service_us, tables.limit)
        if wait_us + service_us > offer.budget_us:
            self._replies.refuse(tick, offer, RefusalCode.DEADLINE, wait_us)
            return None
        deadline_us = Micros(tick.now_us + offer.budget_us)
        row = OwnedRow(offer, tick.now_us, deadline_us, OwnedState.QUEUED)
        tables.attempts.put(offer.attempt_id, row)
        self._enqueue(tick, row, wait_us)
        return row

    def _enqueue(self, tick: Tick, row: OwnedRow, wait_us: float) -> None:
        for refused in self._queue.push(row):
            code = RefusalCode.QUEUE_FULL
            if refused is not row:
                self._tables.counters.evicted += 1
                code = RefusalCode.EVICTED
            self._refuse_waiting(tick, refused, code, wait_us)
        self._tables.waiting = len(self._queue)

    def _fill_slots(self, tick: Tick) -> None:
        tables = self._tables
        tables.limit = self._concurrency.limit
        if tables.waiting and self._shares.have_changed():
            self._queue.set_shares(self._shares.current)
        while tables.waiting and tables.running < tables.limit:
            row = self._queue.pop(tables.running_by_rank, tables.limit)
            if row is None:
                return
            tables.waiting -= 1
            self._start(tick, row)

    def _start(self, tick: Tick, row: OwnedRow) -> None:
        offer = row.offer
        service_us = self._times.estimate_us(offer.rank, tick.now_us)
        left_us = row.deadline_us - tick.now_us
        if left_us <= 0 or left_us < service_us:
            self._tables.counters.expired += 1
            self._refuse_waiting(tick, row, RefusalCode.DEADLINE, service_us)
            return
        row.state = OwnedState.RUNNING
        row.started_us = tick.now_us
        self._queue.started(row, service_us)
        self._tables.running += 1
        self._tables.running_by_rank[offer.rank] += 1
        self._tables.counters.started[offer.rank] += 1
        if row.arrived_us != tick.now_us:
            tick.cancel_timer(("owned", offer.attempt_id))
        tick.emit(BackendCallStart(offer.attempt_id, Micros(left_us)))

    def _set_expiry(self, tick: Tick, row: OwnedRow) -> None:
        attempt_id = row.offer.attempt_id
        if row.state is OwnedState.QUEUED and attempt_id in self._tables.attempts:
            expired = AttemptExpired(attempt_id)
            tick.set_timer(("owned", attempt_id), row.deadline_us, expired)

    def _begin(self, tick: Tick, begun: BackendCallBegun) -> None:
        row = self._tables.attempts.get(begun.attempt_id)
        if row is None:
            return
        row.is_begun = True
        if begun.status == _SHED_STATUS:
            row.is_shed = True
            self._concurrency.shed(tick.now_us)

    def _end(self, tick: Tick, ended: BackendCallEnded) -> None:
        tables = self._tables
        row = tables.attempts.get(ended.attempt_id)
        if row is None or row.state is not OwnedState.RUNNING:
            return
        tables.attempts.pop(ended.attempt_id)
        offer = row.offer
        is_saturated = tables.running >= tables.limit
        tables.running -= 1
        tables.running_by_rank[offer.rank] -= 1
        held_us = tick.now_us - row.started_us
        self._queue.ended(row, held_us)
        if not ended.is_sent:
            self._replies.refuse(tick, offer, RefusalCode.UNREACHABLE, 0)
        elif ended.is_whole and not row.is_shed:
            self._times.sample(offer.rank, held_us, tick.now_us)
            self._concurrency.ended(offer.rank, held_us, is_saturated, tick.now_us)
        elif not (row.is_begun or row.is_cancelled or ended.is_whole):
            self._replies.fail(tick, offer)

    def _cancel(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is None:
            self._seen.cancel(attempt_id)
            return
        row.is_cancelled = True
        if row.state is OwnedState.RUNNING:
            tick.emit(BackendCallCancel(attempt_id))
            return
        self._take_out(row)
        self._forget_waiting(tick, row)
        tick.emit(DropOffer(attempt_id))

    def _expire(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is None or row.state is OwnedState.RUNNING:
            return
        self._tables.counters.expired += 1
        self._take_out(row)
        self._refuse_waiting(tick, row, RefusalCode.DEADLINE, 0)

    def _take_out(self, row: OwnedRow) -> None:
        if row.state is OwnedState.QUEUED:
            self._queue.remove(row)
            self._tables.waiting = len(self._queue)

    def _refuse_waiting(
        self, tick: Tick, row: OwnedRow, code: RefusalCode, wait_us: float
    ) -> None:
        self._forget_waiting(tick, row)
        self._replies.refuse(tick, row.offer, code, wait_us)

    def _forget_waiting(self, tick: Tick, row: OwnedRow) -> None:
        attempt_id = row.offer.attempt_id
        self._tables.attempts.pop(attempt_id)
        tick.cancel_timer(("owned", attempt_id))
