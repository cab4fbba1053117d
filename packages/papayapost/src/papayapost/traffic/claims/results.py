"""Applies the results of store requests for claims."""

from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateOutcomeUnknown,
)
from papayapost.traffic.claims.messages import ClaimsDue, ClaimVerdict, PartitionIdle
from papayapost.traffic.claims.requests import (
    ClaimStoreRequests,
    offer_digest,
    settle_claim,
)
from papayapost.traffic.claims.tables import (
    ClaimsObject,
    ClaimTables,
    PartitionRow,
    PartitionState,
)

__all__ = ["ApplyClaimResults"]


class ApplyClaimResults(System):
    """Grants claims whose update took effect, and reads again otherwise.

    A claim is granted only after its update took effect or a read shows its
    own token. The read is needed because the reply to a successful update may
    be lost.
    """

    consumes = (
        ClaimsDue,
        ObjectRead,
        ObjectUpdated,
        StoreReadFailed,
        UpdateConflicted,
        UpdateOutcomeUnknown,
    )

    def __init__(self, tables: ClaimTables, requests: ClaimStoreRequests):
        self._tables = tables
        self._requests = requests

    def run(self, tick: Tick) -> None:
        """Apply the results of requests under way; ignore late results."""
        for updated in tick.take(ObjectUpdated):
            if row := self._row_awaiting(updated.key, updated.request_id):
                self._apply_update(tick, row, updated.version)
        for conflicted in tick.take(UpdateConflicted):
            if row := self._row_awaiting(conflicted.key, conflicted.request_id):
                self._retry_after_conflict(tick, row)
        for unknown in tick.take(UpdateOutcomeUnknown):
            if row := self._row_awaiting(unknown.key, unknown.request_id):
                self._reread_after_unknown(tick, row)
        self._take_reads(tick)
        for due in tick.take(ClaimsDue):
            self._apply_timer(tick, self._tables.partitions.require(due.key))

    def _take_reads(self, tick: Tick) -> None:
        for seen in tick.take(ObjectRead):
            if row := self._row_awaiting(seen.key, seen.request_id):
                self._apply_read(tick, row, seen)
        for failed in tick.take(StoreReadFailed):
            if row := self._row_awaiting(failed.key, failed.request_id):
                self._requests.pause(tick, row, failed.reason)

    def _row_awaiting(
        self, key: ObjectKey, request_id: StoreRequestId | None
    ) -> PartitionRow | None:
        if key.kind is not ObjectKind.CLAIMS or request_id is None:
            return None
        row = self._tables.partitions.get(key)
        return row if row is not None and row.request_id == request_id else None

    def _apply_update(self, tick: Tick, row: PartitionRow, version: int) -> None:
        row.version, row.tokens, row.read_us = version, row.written, tick.now_us
        row.failures = 0
        # The version has advanced, so no earlier update can still take effect
        # and write a released claim. Only releases of stored claims remain.
        row.releases = {
            digest: attempt_id
            for digest, attempt_id in row.releases.items()
            if digest in row.tokens and row.tokens[digest].attempt_id == attempt_id
        }
        granted, row.in_flight = row.in_flight, []
        for needed in granted:
            settle_claim(tick, needed, ClaimVerdict.GRANTED)
        self._go_idle(tick, row)

    def _retry_after_conflict(self, tick: Tick, row: PartitionRow) -> None:
        self._tables.conflicts += 1
        tick.emit(Noted(Event.CLAIMS_CONFLICTED, detail=row.key.name))
        row.waiting = row.in_flight + row.waiting
        row.in_flight = []
        self._requests.read(tick, row)

    def _reread_after_unknown(self, tick: Tick, row: PartitionRow) -> None:
        for needed in row.in_flight:
            needed.may_be_written = True
        row.waiting = row.in_flight + row.waiting
        row.in_flight = []
        self._requests.read(tick, row)

    def _apply_read(self, tick: Tick, row: PartitionRow, seen: ObjectRead) -> None:
        tokens = seen.value.tokens if isinstance(seen.value, ClaimsObject) else ()
        row.version, row.read_us = seen.version, tick.now_us
        row.tokens = {token.key_digest: token for token in tokens}
        row.failures = 0
        self._grant_written_claims(tick, row)
        self._go_idle(tick, row)

    def _grant_written_claims(self, tick: Tick, row: PartitionRow) -> None:
        """Grant requested claims whose own token the last read shows."""
        remaining = []
        for needed in row.waiting:
            token = row.tokens.get(offer_digest(needed.offer))
            is_own = token is not None and token.attempt_id == needed.offer.attempt_id
            if is_own and needed.may_be_written:
                settle_claim(tick, needed, ClaimVerdict.GRANTED)
            else:
                remaining.append(needed)
        row.waiting = remaining

    def _apply_timer(self, tick: Tick, row: PartitionRow) -> None:
        if row.state is PartitionState.WRITING:
            self._reread_after_unknown(tick, row)
        elif row.state is PartitionState.READING:
            self._requests.pause(tick, row, "the store did not answer in time")
        elif row.state is PartitionState.PAUSED:
            row.state = PartitionState.UNREAD
            tick.post(PartitionIdle(row.key))
        else:
            tick.post(PartitionIdle(row.key, is_timer_due=True))

    def _go_idle(self, tick: Tick, row: PartitionRow) -> None:
        row.state = PartitionState.IDLE
        row.request_id = None
        tick.cancel_timer(("claims", row.key))
        tick.post(PartitionIdle(row.key))
