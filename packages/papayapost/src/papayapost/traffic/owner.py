"""Systems of the owner node: admission into the backend server's slots."""

from papayapost.ids import AttemptId, Micros
from papayapost.kernel import System, Tick
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.traffic.messages import (
    AttemptCancel,
    AttemptOffer,
    AttemptRefused,
    RefusalCode,
)
from papayapost.traffic.owner_messages import (
    AttemptExpired,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
)
from papayapost.traffic.owner_tables import OwnedRow, OwnedState, OwnerTables

__all__ = ["AdmitAttempts"]

_QUEUE_PER_SLOT = 4
_RETRY_AFTER_MS = 50


class AdmitAttempts(System):
    """Queues offers and starts them as slots come free."""

    consumes = (AttemptCancel, AttemptExpired, BackendCallEnded, AttemptOffer)

    def __init__(self, me: SelfRow, tables: OwnerTables):
        self._me = me
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Free slots first, then fill them."""
        for cancel in tick.take(AttemptCancel):
            self._drop(tick, cancel.attempt_id)
        for expired in tick.take(AttemptExpired):
            self._refuse_queued(tick, expired.attempt_id)
        for ended in tick.take(BackendCallEnded):
            self._end(tick, ended)
        for offer in tick.take(AttemptOffer):
            self._enqueue(tick, offer)
        self._fill_slots(tick)

    def _enqueue(self, tick: Tick, offer: AttemptOffer) -> None:
        tables = self._tables
        if len(tables.queue) >= tables.slots * _QUEUE_PER_SLOT:
            self._refuse(tick, offer, RefusalCode.QUEUE_FULL)
            return
        deadline_us = Micros(tick.now_us + offer.budget_us)
        row = OwnedRow(offer, deadline_us, OwnedState.QUEUED)
        tables.attempts.put(offer.attempt_id, row)
        tables.queue.append(offer.attempt_id)
        key = ("owned", offer.attempt_id)
        tick.set_timer(key, deadline_us, AttemptExpired(offer.attempt_id))

    def _fill_slots(self, tick: Tick) -> None:
        tables = self._tables
        while tables.queue and tables.running < tables.slots:
            row = tables.attempts.require(tables.queue.popleft())
            row.state = OwnedState.RUNNING
            tables.running += 1
            tick.cancel_timer(("owned", row.offer.attempt_id))
            budget_us = Micros(row.deadline_us - tick.now_us)
            tick.emit(BackendCallStart(row.offer.attempt_id, budget_us))

    def _end(self, tick: Tick, ended: BackendCallEnded) -> None:
        row = self._tables.attempts.pop(ended.attempt_id)
        if row is None:
            return
        self._tables.running -= 1
        if not ended.is_sent:
            self._refuse(tick, row.offer, RefusalCode.UNREACHABLE)

    def _drop(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is None:
            return
        if row.state is OwnedState.RUNNING:
            tick.emit(BackendCallCancel(attempt_id))
            return
        self._forget_queued(tick, attempt_id)

    def _refuse_queued(self, tick: Tick, attempt_id: AttemptId) -> None:
        row = self._tables.attempts.get(attempt_id)
        if row is not None and row.state is OwnedState.QUEUED:
            self._forget_queued(tick, attempt_id)
            self._refuse(tick, row.offer, RefusalCode.DEADLINE)

    def _forget_queued(self, tick: Tick, attempt_id: AttemptId) -> None:
        self._tables.attempts.pop(attempt_id)
        self._tables.queue.remove(attempt_id)
        tick.cancel_timer(("owned", attempt_id))

    def _refuse(self, tick: Tick, offer: AttemptOffer, code: RefusalCode) -> None:
        refused = AttemptRefused(
            self._me.node_id,
            offer.attempt_id,
            code,
            _RETRY_AFTER_MS,
            self._tables.free_slots,
        )
        if offer.sender == self._me.node_id:
            tick.post(refused)
        else:
            tick.emit(PeerSend(offer.reply_to, refused))
