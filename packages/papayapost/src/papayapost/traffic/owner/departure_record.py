"""The system that stores departures before they are acknowledged."""

from papayapost.distribution import StoreEraBegun
from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.ids import Micros, ReportId, StoreEra
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    StoreVersion,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    era_of,
)
from papayapost.traffic.internal import (
    DepartureApplied,
    DepartureReadDue,
    DeparturesRead,
    DepartureWriteDue,
    ReportDeadline,
)
from papayapost.traffic.owner.departures import (
    Departure,
    DepartureTables,
    DepartureWrite,
    WaitingReport,
)
from papayapost.traffic.owner_messages import ReportDeferred, ReportTaken

__all__ = ["RecordDepartures"]

_READ_ID = StoreRequestId("departure/read")
_WRITE_ID = StoreRequestId("departure/write")

_MIN_RETRY_DELAY_US = 100_000
_MAX_RETRY_DELAY_US = 1_000_000

_ERA_SPREAD_US = 500_000
"""Time over which nodes write their departures again after the store has come
back from an older copy. All of them learn of that at the same time."""

_MAX_HOLD_US = 800_000
"""Longest time for which a report waits for the store. A backend server takes
a report as lost after 1 s."""

_MAX_REPORT_DELAY_US = 5_000_000
"""Longest time for which a report is assumed to be on its way."""


class RecordDepartures(System):
    """Acknowledges a departure once the store holds it.

    The process that gave an acknowledgement may be killed right after it, as
    may all others. So the departure is stored first, and the next process of
    this node reads it before it believes a report. A departure that the store
    does not take in time stays unacknowledged; the door to the backend server
    is closed all the same.

    A store that has come back from an older copy may have forgotten departures
    that it held. They are written again, so that the next process of this node
    reads them whenever it starts.

    If the object cannot be read, a report is believed that arrives so long
    after the start that it was sent after the start.
    """

    consumes = (
        DepartureApplied,
        DepartureReadDue,
        DepartureWriteDue,
        ObjectRead,
        ObjectUpdated,
        ReportDeadline,
        StoreEraBegun,
        StoreReadFailed,
        UpdateConflicted,
        UpdateOutcomeUnknown,
    )

    def __init__(self, me: SelfRow, departures: DepartureTables):
        self._key = ObjectKey(ObjectKind.DEPARTURE, me.node_id)
        self._departures = departures
        self._read_failures = 0
        self._write_failures = 0

    def run(self, tick: Tick) -> None:
        """Process the store's answers, then read and write as needed."""
        for begun in tick.take(StoreEraBegun):
            self._doubt_storage(tick, begun.era)
        self._process_reads(tick)
        self._process_writes(tick)
        for applied in tick.take(DepartureApplied):
            self._await_storage(tick, applied)
        for deadline in tick.take(ReportDeadline):
            self._defer(tick, deadline.report_id)
        if tick.take(DepartureWriteDue):
            self._departures.write = DepartureWrite.IDLE
        if tick.take(DepartureReadDue):
            self._read(tick)
        self._write_if_needed(tick)

    def _doubt_storage(self, tick: Tick, era: StoreEra) -> None:
        """Write the last departure again in a new era of the store."""
        departures = self._departures
        departures.era, departures.stored = era, None
        if departures.latest is None:
            return
        departures.is_forgotten = True
        if departures.write is not DepartureWrite.WRITING:
            departures.write = DepartureWrite.BACKING_OFF
            delay_us = tick.random.randrange(_ERA_SPREAD_US)
            due_us = Micros(tick.now_us + delay_us)
            tick.set_timer(DepartureWriteDue, due_us, DepartureWriteDue())

    def _is_of_past_era(self, version: int) -> bool:
        return era_of(StoreVersion(version)) < self._departures.era

    def _read(self, tick: Tick) -> None:
        departures = self._departures
        if not departures.trusted_from_us:
            departures.trusted_from_us = Micros(tick.now_us + _MAX_REPORT_DELAY_US)
        tick.emit(ReadObject(self._key, _READ_ID))

    def _process_reads(self, tick: Tick) -> None:
        departures = self._departures
        for seen in tick.take(ObjectRead):
            if seen.request_id != _READ_ID:
                continue
            departures.is_read = True
            departures.version = max(departures.version, seen.version)
            if isinstance(seen.value, Departure):
                is_past = self._is_of_past_era(seen.version)
                self._apply_stored(tick, seen.value, is_past)
            tick.post(DeparturesRead())
        for failed in tick.take(StoreReadFailed):
            if failed.request_id == _READ_ID:
                self._retry_read(tick, failed.reason)

    def _apply_stored(self, tick: Tick, stored: Departure, is_past: bool) -> None:
        departures = self._departures
        if is_past:
            departures.is_forgotten = True
        elif not departures.is_stored(stored.born_ms):
            departures.stored = stored
        if not departures.has_left(stored.born_ms):
            departures.latest = stored
        detail = f"instance {stored.instance}, started at {stored.born_ms} ms"
        tick.emit(Noted(Event.DEPARTURE_READ, detail=detail))

    def _retry_read(self, tick: Tick, reason: str) -> None:
        departures = self._departures
        if departures.is_trusted(tick.now_us):
            tick.emit(Noted(Event.DEPARTURE_UNREAD, detail=reason))
            return
        delay_us = self._backoff_us(tick, self._read_failures)
        self._read_failures += 1
        due_us = Micros(tick.now_us + delay_us)
        tick.set_timer(DepartureReadDue, due_us, DepartureReadDue())

    def _process_writes(self, tick: Tick) -> None:
        departures = self._departures
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == _WRITE_ID:
                self._record_stored(tick, updated.version)
        for conflict in tick.take(UpdateConflicted):
            if conflict.request_id == _WRITE_ID:
                # An earlier process of this node, or a write whose answer was
                # lost, has changed the object. What it holds is not later.
                departures.version = conflict.current_version
                departures.write = DepartureWrite.IDLE
        for unknown in tick.take(UpdateOutcomeUnknown):
            if unknown.request_id == _WRITE_ID:
                self._retry_write(tick, unknown.reason)

    def _record_stored(self, tick: Tick, version: int) -> None:
        departures = self._departures
        departures.version = version
        if self._is_of_past_era(version):
            self._retry_write(tick, "the store came back from an older copy")
            return
        departures.write = DepartureWrite.IDLE
        departures.is_forgotten = False
        self._write_failures = 0
        stored = departures.stored = departures.written
        assert stored is not None
        detail = f"instance {stored.instance}, started at {stored.born_ms} ms"
        tick.emit(Noted(Event.DEPARTURE_STORED, detail=detail))
        for waiting in list(departures.waiting):
            if departures.is_stored(waiting.born_ms):
                departures.waiting.pop(waiting.report_id)
                tick.cancel_timer(_deadline_key(waiting.report_id))
                tick.emit(ReportTaken(waiting.report_id))

    def _retry_write(self, tick: Tick, reason: str) -> None:
        departures = self._departures
        departures.write = DepartureWrite.BACKING_OFF
        delay_us = self._backoff_us(tick, self._write_failures)
        self._write_failures += 1
        tick.emit(Noted(Event.DEPARTURE_UNSTORED, detail=reason))
        due_us = Micros(tick.now_us + delay_us)
        tick.set_timer(DepartureWriteDue, due_us, DepartureWriteDue())

    def _await_storage(self, tick: Tick, applied: DepartureApplied) -> None:
        departures, report_id = self._departures, applied.report_id
        if departures.is_stored(applied.born_ms):
            tick.emit(ReportTaken(report_id))
            return
        departures.waiting.put(report_id, WaitingReport(report_id, applied.born_ms))
        due_us = Micros(tick.now_us + _MAX_HOLD_US)
        tick.set_timer(_deadline_key(report_id), due_us, ReportDeadline(report_id))

    def _defer(self, tick: Tick, report_id: ReportId) -> None:
        if self._departures.waiting.pop(report_id) is not None:
            tick.emit(ReportDeferred(report_id))

    def _write_if_needed(self, tick: Tick) -> None:
        departures = self._departures
        is_needed = departures.is_forgotten or len(departures.waiting)
        if departures.write is not DepartureWrite.IDLE or not is_needed:
            return
        departures.write = DepartureWrite.WRITING
        departures.written = departures.latest
        tick.emit(
            UpdateObject(self._key, _WRITE_ID, departures.version, departures.latest)
        )

    def _backoff_us(self, tick: Tick, failures: int) -> Micros:
        return jittered_backoff_us(
            tick.random, failures, _MIN_RETRY_DELAY_US, _MAX_RETRY_DELAY_US
        )


def _deadline_key(report_id: ReportId) -> tuple[str, ReportId]:
    return ("departure report", report_id)
