"""Admission control of the owner node."""

from papayapost.ids import AttemptId, Micros
from papayapost.kernel import System, Tick
from papayapost.membership import Directory
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import NodeState
from papayapost.traffic.claims.messages import ClaimSettled, ClaimVerdict
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.messages import (
    NO_INCARNATION,
    AttemptCancel,
    AttemptOffer,
    RefusalCode,
)
from papayapost.traffic.owner.concurrency import ConcurrencyLimit
from papayapost.traffic.owner.link_plan import LinkPlan
from papayapost.traffic.owner.queue_wait import QueueWaits, longest_hold_us
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.seen import OfferStatus, SeenAttempts
from papayapost.traffic.owner.server_breaker import BreakerState, ServerBreaker
from papayapost.traffic.owner.shares import ActiveShares
from papayapost.traffic.owner.slot_times import SlotTimes
from papayapost.traffic.owner.tables import OwnedRow, OwnedState, OwnerTables, Standing
from papayapost.traffic.owner.waiting import WaitingAttempts
from papayapost.traffic.owner_messages import (
    AnswerBlocked,
    AnswerUnblocked,
    AttemptExpired,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    DropOffer,
    EndUnsentCalls,
    RefuseQueuedAttempts,
)
from papayapost.traffic.versions import AnyVersion, VersionPolicy

__all__ = ["AdmitAttempts"]

_SHED_STATUS = 503
_FAILED_STATUSES = frozenset([500, 502, _SHED_STATUS])
_SERVICE_TIME_MARGIN = 4.0
"""Time allowed for an attempt in a drain, in multiples of the mean time of its
kind."""

_OVER_SHARE_PERIOD_US = 10_000_000
"""Shortest time between two log lines about accounts over their share, which
are refused many times a second."""

_MAX_CLAIMED_BUDGET_US = 300_000_000
"""Cap on the time budget of an attempt that claims an idempotency key. It is
below the retention of claims, so that the claim outlasts the attempt."""


class AdmitAttempts(System):
    """Queues offered attempts and starts them when slots become free.

    The system decides once about each attempt: an attempt starts at most
    once, and it is refused as "not run" only if it has not started and never
    will.
    """

    consumes = (
        AnswerBlocked,
        AnswerUnblocked,
        AttemptCancel,
        AttemptExpired,
        BackendCallBegun,
        BackendCallEnded,
        AttemptOffer,
        ClaimSettled,
        RefuseQueuedAttempts,
    )

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        tables: OwnerTables,
        seen: SeenAttempts,
        queue: QueueDiscipline,
        concurrency: ConcurrencyLimit,
        shares: ActiveShares,
        replies: Replies,
        drain: DrainRow,
        link_plan: LinkPlan,
        versions: VersionPolicy | None = None,
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._seen = seen
        self._queue = queue
        self._concurrency = concurrency
        self._shares = shares
        self._replies = replies
        self._drain = drain
        self._link_plan = link_plan
        self._versions = versions or AnyVersion()
        self._waiting_attempts = WaitingAttempts(tables, queue, replies)
        self._slot_times = SlotTimes(me.node_id, tables, queue, concurrency)
        self._breaker = ServerBreaker(tables)
        self._queue_waits = QueueWaits()
        self._noted_over_share_us = -_OVER_SHARE_PERIOD_US

    def run(self, tick: Tick) -> None:
        """Release the slots of ended calls first, then fill the free slots."""
        blocked_answers = self._tables.blocked_answers
        blocked_answers.update(a.attempt_id for a in tick.take(AnswerBlocked))
        for unblocked in tick.take(AnswerUnblocked):
            blocked_answers.discard(unblocked.attempt_id)
            self._link_plan.sent(unblocked.attempt_id, tick.now_us)
        for cancel in tick.take(AttemptCancel):
            self._cancel(tick, cancel.attempt_id)
        for begun in tick.take(BackendCallBegun):
            self._record_answer_begun(tick, begun)
        for ended in tick.take(BackendCallEnded):
            self._end_call(tick, ended)
        if tick.take(RefuseQueuedAttempts):
            self._refuse_waiting(tick)
        admitted = [
            row
            for offer in tick.take(AttemptOffer)
            if (row := self._receive(tick, offer)) is not None
        ]
        for settled in tick.take(ClaimSettled):
            self._apply_claim_verdict(tick, settled)
        for expired in tick.take(AttemptExpired):
            self._expire(tick, expired.attempt_id)
        self._fill_slots(tick)
        for row in admitted:
            self._set_expiry(tick, row)

    def _receive(self, tick: Tick, offer: AttemptOffer) -> OwnedRow | None:
        """Admit an offered attempt, or refuse or drop it at once.

        Returns
        -------
        OwnedRow or None
            Row of the admitted attempt, None if it was not admitted.
        """
        if self._is_for_another_process(offer):
            self._reject_misdirected(tick, offer)
            return None
        status = self._seen.classify(offer)
        if status is OfferStatus.NEW:
            return self._admit(tick, offer)
        if status is OfferStatus.REPLAYED:
            self._drop_replay(tick, offer)
        elif status is OfferStatus.CANCELLED:
            tick.emit(DropOffer(offer.attempt_id))
        else:
            self._tables.counters.stale_epochs += 1
            self._replies.refuse(tick, offer, RefusalCode.STALE_EPOCH, 0)
        return None

    def _is_for_another_process(self, offer: AttemptOffer) -> bool:
        # An earlier process of this node may have refused the same offer as
        # not run, and the entry node may have retried the call on another
        # node. If a late copy of the offer ran here, the call would run twice.
        intended_incarnation = offer.owner_incarnation
        is_other_process = intended_incarnation not in (
            NO_INCARNATION,
            self._me.incarnation,
        )
        return is_other_process and not offer.idempotent

    def _reject_misdirected(self, tick: Tick, offer: AttemptOffer) -> None:
        self._tables.counters.misdirected += 1
        tick.emit(
            Noted(
                Event.OFFER_MISDIRECTED, attempt_id=offer.attempt_id, peer=offer.sender
            )
        )
        tick.emit(DropOffer(offer.attempt_id))
        self._replies.fail(tick, offer)

    def _drop_replay(self, tick: Tick, offer: AttemptOffer) -> None:
        """Drop a repeated offer unanswered, as the first copy may have run."""
        self._tables.counters.replayed += 1
        tick.emit(
            Noted(Event.OFFER_REPLAYED, attempt_id=offer.attempt_id, peer=offer.sender)
        )
        known = self._tables.attempts.get(offer.attempt_id)
        if known is None or known.state is OwnedState.RUNNING:
            tick.emit(DropOffer(offer.attempt_id))

    def _admit(self, tick: Tick, offer: AttemptOffer) -> OwnedRow | None:
        tables = self._tables
        code = self._reason_to_refuse(tick, offer)
        if code is not None:
            self._replies.refuse(tick, offer, code, 0)
            return None
        if not self._breaker.admits(offer, tick.now_us):
            trial_us = self._breaker.wait_us(tick.now_us)
            self._replies.refuse(tick, offer, RefusalCode.SERVER_FAILING, trial_us)
            return None
        if offer.may_queue:
            self._queue.record_ask(offer, tick.now_us)
        wait_us = self._slot_times.expected_wait_us(offer, tick.now_us)
        if not (offer.may_queue or self._slot_times.has_free_slot(offer)):
            self._replies.refuse(tick, offer, RefusalCode.NO_FREE_SLOT, wait_us)
            return None
        min_service_us = self._slot_times.shortest_us(offer, tick.now_us)
        standing = self._queue.standing(offer)
        if not self._queue_waits.is_worthwhile(
            offer, wait_us, min_service_us, tick.now_us, standing
        ):
            self._note_if_over_share(tick, offer)
            self._replies.refuse(tick, offer, RefusalCode.DEADLINE, wait_us)
            return None
        work_us = wait_us + self._slot_times.mean_us(offer, tick.now_us)
        if not self._link_plan.is_deliverable(offer, work_us, tick.now_us):
            tables.counters.link_full += 1
            link_us = self._link_plan.wait_us(offer, tick.now_us)
            self._replies.refuse(tick, offer, RefusalCode.DEADLINE, link_us)
            return None
        needs_claim = not offer.idempotent and offer.idempotency_key is not None
        budget_us = offer.budget_us
        if needs_claim:
            budget_us = Micros(min(budget_us, _MAX_CLAIMED_BUDGET_US))
        deadline_us = Micros(tick.now_us + budget_us)
        row = OwnedRow(offer, tick.now_us, deadline_us, OwnedState.QUEUED)
        tables.attempts.put(offer.attempt_id, row)
        self._versions.record_admitted()
        if needs_claim:
            self._waiting_attempts.request_claim(tick, row)
        else:
            self._waiting_attempts.enqueue(tick, row, wait_us)
        return row

    def _note_if_over_share(self, tick: Tick, offer: AttemptOffer) -> None:
        """Count a refusal due to the share of the attempt's account."""
        if self._queue.standing(offer) is not Standing.OVER_SHARE:
            return
        self._tables.counters.over_share += 1
        if tick.now_us - self._noted_over_share_us >= _OVER_SHARE_PERIOD_US:
            self._noted_over_share_us = tick.now_us
            detail = f"account {offer.account}"
            attempt_id = offer.attempt_id
            tick.emit(
                Noted(Event.ACCOUNT_OVER_SHARE, attempt_id=attempt_id, detail=detail)
            )

    def _reason_to_refuse(self, tick: Tick, offer: AttemptOffer) -> RefusalCode | None:
        """Return why this node cannot admit an offer at all, or None."""
        tables = self._tables
        if not tables.slots:
            return RefusalCode.UNREACHABLE
        own_row = self._directory.get(self._me.node_id)
        if own_row is None or own_row.service != offer.service:
            return RefusalCode.WRONG_SERVICE
        if tables.is_backend_draining:
            return RefusalCode.DRAINING
        if tables.refuses_offers:
            tables.counters.offers_after_grace += 1
            return RefusalCode.DRAINING
        if not self._versions.admits(tick.now_us):
            return RefusalCode.VERSION_CLOSED
        if tables.waiting_for_claim >= self._queue.capacity:
            return RefusalCode.QUEUE_FULL
        if self._may_outlast_process(tick, offer):
            return RefusalCode.DEADLINE
        return None

    def _may_outlast_process(self, tick: Tick, offer: AttemptOffer) -> bool:
        """Return whether this process may stop amid the attempt.

        The attempt may take its whole time budget. If that is longer than the
        whole drain, what others of its kind needed counts instead, but only if
        the attempt may be repeated.
        """
        drain = self._drain
        if drain.state is NodeState.SERVING:
            return False
        needed_us: float = offer.budget_us
        is_long = needed_us > drain.end_us - drain.started_us
        if is_long and offer.idempotent:
            mean_us = self._slot_times.mean_us(offer, tick.now_us)
            delay_us = self._link_plan.delay_us(offer, mean_us, tick.now_us)
            needed_us = min(needed_us, mean_us * _SERVICE_TIME_MARGIN + delay_us)
        return tick.now_us + needed_us > drain.end_us

    def _apply_claim_verdict(self, tick: Tick, settled: ClaimSettled) -> None:
        row = self._tables.attempts.get(settled.attempt_id)
        if row is None or row.state is not OwnedState.CLAIMING:
            return
        self._waiting_attempts.end_claim_wait(row)
        if settled.verdict is ClaimVerdict.GRANTED:
            self._waiting_attempts.enqueue(tick, row, 0)
            return
        row.is_claimed = False
        code = RefusalCode.CLAIMS_UNAVAILABLE
        if settled.verdict is ClaimVerdict.DUPLICATE:
            code = RefusalCode.DUPLICATE
            self._tables.counters.duplicates += 1
            tick.emit(Noted(Event.DUPLICATE_REFUSED, attempt_id=settled.attempt_id))
        self._waiting_attempts.refuse(tick, row, code, 0)

    def _fill_slots(self, tick: Tick) -> None:
        tables = self._tables
        tables.limit = self._concurrency.limit
        if tables.waiting:
            self._refuse_late_overflow(tick)
        if tables.waiting and self._shares.refresh():
            self._queue.set_shares(self._shares.current)
        while tables.waiting and tables.running < tables.limit:
            row = self._queue.pop(tables.running_by_rank, tables.limit)
            if row is None:
                return
            tables.waiting -= 1
            self._start(tick, row)

    def _start(self, tick: Tick, row: OwnedRow) -> None:
        offer = row.offer
        remaining_us = row.deadline_us - tick.now_us
        if remaining_us <= 0 or remaining_us < self._slot_times.shortest_us(
            offer, tick.now_us
        ):
            self._tables.counters.expired += 1
            self._waiting_attempts.refuse(tick, row, RefusalCode.DEADLINE, 0)
            return
        row.state = OwnedState.RUNNING
        row.started_us = tick.now_us
        service_us = self._slot_times.mean_us(offer, tick.now_us)
        self._queue.started(row, service_us)
        self._tables.running += 1
        self._tables.running_by_rank[offer.rank] += 1
        self._tables.counters.started[offer.rank] += 1
        if row.arrived_us != tick.now_us:
            tick.cancel_timer(("owned", offer.attempt_id))
        tick.emit(BackendCallStart(offer.attempt_id, Micros(remaining_us)))

    def _set_expiry(self, tick: Tick, row: OwnedRow) -> None:
        attempt_id = row.offer.attempt_id
        has_not_started = row.state is not OwnedState.RUNNING
        if has_not_started and attempt_id in self._tables.attempts:
            expired = AttemptExpired(attempt_id)
            # The attempt is refused as soon as the remaining time is too short
            # to run it, while its caller still has time to retry.
            min_service_us = int(self._slot_times.shortest_us(row.offer, tick.now_us))
            due_us = Micros(max(tick.now_us, row.deadline_us - min_service_us))
            hold_us = longest_hold_us(row.offer, self._queue.standing(row.offer))
            if hold_us is not None:
                due_us = min(due_us, Micros(row.arrived_us + hold_us))
            tick.set_timer(("owned", attempt_id), due_us, expired)

    def _record_answer_begun(self, tick: Tick, begun: BackendCallBegun) -> None:
        row = self._tables.attempts.get(begun.attempt_id)
        if row is None:
            return
        row.has_answer_begun = True
        row.is_failed = begun.status in _FAILED_STATUSES
        if begun.status == _SHED_STATUS:
            row.is_shed = True
            self._concurrency.shed(tick.now_us)

    def _end_call(self, tick: Tick, ended: BackendCallEnded) -> None:
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
        if not row.is_cancelled:
            self._record_in_breaker(tick, row, ended)
        if ended.is_refused:
            self._concurrency.shed(tick.now_us)
            self._waiting_attempts.release_claim(tick, row)
            if not row.is_cancelled:
                self._replies.refuse(tick, offer, RefusalCode.SHED, held_us)
        elif not ended.is_sent:
            self._waiting_attempts.release_claim(tick, row)
            self._replies.refuse(tick, offer, RefusalCode.UNREACHABLE, 0)
        elif ended.is_whole and not row.is_shed:
            self._link_plan.ended(offer, ended.answer_bytes, tick.now_us)
            self._slot_times.add_sample(offer, held_us, tick.now_us)
            self._concurrency.ended(offer.rank, held_us, is_saturated, tick.now_us)
            if self._concurrency.answered(offer, held_us, tick.now_us):
                tick.emit(Noted(Event.BACKEND_SERVER_AT_FULL_SHARE))
        elif not (row.has_answer_begun or row.is_cancelled or ended.is_whole):
            self._replies.fail(tick, offer)

    def _record_in_breaker(
        self, tick: Tick, row: OwnedRow, ended: BackendCallEnded
    ) -> None:
        is_good = ended.is_whole and not (ended.is_refused or row.is_failed)
        state = self._breaker.record(is_good, tick.now_us)
        if state is BreakerState.OPEN:
            tick.emit(
                Noted(Event.BACKEND_SERVER_CLOSED, attempt_id=row.offer.attempt_id)
            )
        elif state is BreakerState.CLOSED:
            tick.emit(
                Noted(Event.BACKEND_SERVER_REOPENED, attempt_id=row.offer.attempt_id)
            )

    def _cancel(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is None:
            self._seen.cancel(attempt_id)
            if attempt_id in self._tables.blocked_answers:
                self._link_plan.cancelled(attempt_id)
                tick.emit(BackendCallCancel(attempt_id))
            return
        row.is_cancelled = True
        if row.state is OwnedState.RUNNING:
            tick.emit(BackendCallCancel(attempt_id))
            return
        self._waiting_attempts.remove(row)
        self._waiting_attempts.discard(tick, row)
        tick.emit(DropOffer(attempt_id))

    def _refuse_late_overflow(self, tick: Tick) -> None:
        for row in self._queue.advance(tick.now_us):
            self._note_if_over_share(tick, row.offer)
            wait_us = self._slot_times.expected_wait_us(row.offer, tick.now_us)
            self._waiting_attempts.refuse(tick, row, RefusalCode.QUEUE_FULL, wait_us)
        self._tables.waiting = len(self._queue)

    def _refuse_waiting(self, tick: Tick) -> None:
        """Let no attempt reach the backend server that has not reached it."""
        tick.emit(EndUnsentCalls())
        for row in [r for r in self._tables.attempts if _has_not_started(r)]:
            self._waiting_attempts.remove(row)
            self._waiting_attempts.refuse(tick, row, RefusalCode.DRAINING, 0)

    def _expire(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is None or row.state is OwnedState.RUNNING:
            return
        self._tables.counters.expired += 1
        wait_us = self._slot_times.expected_wait_us(row.offer, tick.now_us)
        self._waiting_attempts.remove(row)
        self._waiting_attempts.refuse(tick, row, RefusalCode.DEADLINE, wait_us)


def _has_not_started(row: OwnedRow) -> bool:
    return row.state is not OwnedState.RUNNING
