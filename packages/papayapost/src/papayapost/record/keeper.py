"""Systems that bring steps into the record's newest page.

The page is read, the waiting steps are applied to it, what it refers to is
stored, and it is updated if nobody else has changed it; else all is done
again. Steps are harmless to repeat, so a lost reply needs no other care.
"""

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.record.messages import (
    OperationDone,
    OperationFailed,
    OperationRequested,
    PageReadDue,
)
from papayapost.record.model import RECORD_KEY, RecordPage, detail_key, page_key
from papayapost.record.steps import PageDraft
from papayapost.record.tables import OperationRow, PageRow, PageState, RecordTables
from papayapost.storage import (
    ObjectKey,
    ObjectSeen,
    ObjectUpdated,
    ReadObject,
    RequestId,
    StoreFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
)

__all__ = ["DraftPage", "QueueOperations", "ReadPage", "StorePage"]

_PAGE_REQUEST = RequestId("record-page")
_PAUSE_MIN_US = 100_000
_PAUSE_MAX_US = 2_000_000
_FAILURES_BEFORE_EVENT = 5
# A batch adds far fewer entries than a page holds, and a busy page is read
# and written once for all that wait.
_MAX_BATCH = 16


class QueueOperations(System):
    """Queues the steps that are wanted."""

    consumes = (OperationRequested,)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Start to read the page unless that is under way."""
        for request in tick.take(OperationRequested):
            row = OperationRow(request.operation_id, request.operation)
            self._tables.operations.put(request.operation_id, row)
        if self._tables.page.state is PageState.IDLE:
            tick.post(PageReadDue())


class ReadPage(System):
    """Reads the newest page while steps wait."""

    consumes = (PageReadDue, StoreFailed)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Read now, or after a pause where the store failed."""
        for failed in tick.take(StoreFailed):
            if failed.key == RECORD_KEY and failed.request_id == _PAGE_REQUEST:
                _retry_or_give_up(tick, self._tables, failed.reason)
        page = self._tables.page
        if tick.take(PageReadDue) and page.state in (PageState.IDLE, PageState.PAUSED):
            _read_page(tick, self._tables)


class DraftPage(System):
    """Applies the waiting steps to the page that was read."""

    consumes = (ObjectSeen,)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Draft the page, and store what the draft refers to."""
        for seen in tick.take(ObjectSeen):
            if seen.key == RECORD_KEY and seen.request_id == _PAGE_REQUEST:
                self._draft_page(tick, seen)

    def _draft_page(self, tick: Tick, seen: ObjectSeen) -> None:
        page = seen.value if isinstance(seen.value, RecordPage) else RecordPage()
        draft = PageDraft(page)
        rows = list(self._tables.operations)[:_MAX_BATCH]
        for row in rows:
            row.operation.apply(draft)
        state = self._tables.page
        state.version, state.draft = seen.version, draft
        state.operation_ids = tuple(row.operation_id for row in rows)
        state.parts = _parts_of(draft)
        if draft.page == page:
            _finish_operations(tick, self._tables, has_changed=False)
        elif state.parts:
            state.state = PageState.STORING_PARTS
            for key, value in state.parts.items():
                tick.emit(UpdateObject(key, _PAGE_REQUEST, 0, value))
        else:
            _update_page(tick, self._tables)


class StorePage(System):
    """Follows the updates of the page and of what it refers to."""

    consumes = (ObjectUpdated, UpdateConflicted, UpdateUnknown)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Go on once all parts are stored; start again after a lost race."""
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == _PAGE_REQUEST:
                self._handle_updated(tick, updated.key)
        for conflicted in tick.take(UpdateConflicted):
            if conflicted.request_id == _PAGE_REQUEST:
                self._handle_conflict(tick, conflicted.key)
        for unknown in tick.take(UpdateUnknown):
            if unknown.request_id == _PAGE_REQUEST and self._is_awaited(unknown.key):
                _retry_or_give_up(tick, self._tables, unknown.reason)

    def _handle_updated(self, tick: Tick, key: ObjectKey) -> None:
        state = self._tables.page.state
        if key != RECORD_KEY:
            self._handle_part_stored(tick, key)
        elif state is PageState.UPDATING:
            _finish_operations(tick, self._tables, has_changed=True)

    def _handle_conflict(self, tick: Tick, key: ObjectKey) -> None:
        if key != RECORD_KEY:
            # Whoever stored it before stored the same: a detail is named by
            # its content, and a full page never changes.
            self._handle_part_stored(tick, key)
        elif self._tables.page.state is PageState.UPDATING:
            # Not at once: a store that reads from the past would be asked in
            # a circle.
            _retry_or_give_up(
                tick,
                self._tables,
                "each time another update came first, or the store shows an old copy",
            )

    def _handle_part_stored(self, tick: Tick, key: ObjectKey) -> None:
        page = self._tables.page
        if page.state is not PageState.STORING_PARTS:
            return
        page.parts.pop(key, None)
        if not page.parts:
            _update_page(tick, self._tables)

    def _is_awaited(self, key: ObjectKey) -> bool:
        page = self._tables.page
        if page.state is PageState.UPDATING:
            return key == RECORD_KEY
        return page.state is PageState.STORING_PARTS and key in page.parts


def _parts_of(draft: PageDraft) -> dict[ObjectKey, object]:
    parts: dict[ObjectKey, object] = {
        page_key(page.number): page for page in draft.archived
    }
    for stored_changes in draft.stored_changes:
        for name, detail in stored_changes.details.items():
            parts[detail_key(name)] = detail
    return parts


def _read_page(tick: Tick, tables: RecordTables) -> None:
    tables.page.state = PageState.READING
    tick.emit(ReadObject(RECORD_KEY, _PAGE_REQUEST))


def _update_page(tick: Tick, tables: RecordTables) -> None:
    page = tables.page
    page.state = PageState.UPDATING
    tick.emit(UpdateObject(RECORD_KEY, _PAGE_REQUEST, page.version, page.draft.page))


def _finish_operations(tick: Tick, tables: RecordTables, has_changed: bool) -> None:
    page = tables.page
    for operation_id in page.operation_ids:
        tables.operations.pop(operation_id)
        tick.post(OperationDone(operation_id, page.draft.page, has_changed))
    tables.page = PageRow()
    if len(tables.operations):
        tick.post(PageReadDue())


def _retry_or_give_up(tick: Tick, tables: RecordTables, reason: str) -> None:
    """Read again after a pause, or give up after too many failures."""
    page = tables.page
    page.failures += 1
    if page.failures == _FAILURES_BEFORE_EVENT:
        tick.emit(Noted(Event.RECORD_FAILED, detail=reason))
    if tables.max_failures is not None and page.failures >= tables.max_failures:
        for row in list(tables.operations):
            tables.operations.pop(row.operation_id)
            tick.post(OperationFailed(row.operation_id, reason))
        tables.page = PageRow()
        return
    page.state = PageState.PAUSED
    pause_us = jittered_backoff_us(
        tick.random, page.failures - 1, _PAUSE_MIN_US, _PAUSE_MAX_US
    )
    tick.set_timer("record page", Micros(tick.now_us + pause_us), PageReadDue())
