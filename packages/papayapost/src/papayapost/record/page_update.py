"""Systems that apply operations to the newest page of the change record.

They read the page, apply the waiting operations to a draft of it, store the
details and archived pages that the draft refers to, and replace the page with
a conditional update. If another writer has changed the page meanwhile, or the
store does not answer, they start again from the read. This is safe because
all operations are idempotent.
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
from papayapost.record.page_operations import PageDraft
from papayapost.record.tables import (
    OperationRow,
    PageUpdateRow,
    PageUpdateState,
    RecordTables,
)
from papayapost.storage import (
    ObjectKey,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

__all__ = ["DraftPage", "QueueOperations", "ReadPage", "StorePage"]

_PAGE_REQUEST = StoreRequestId("record-page")
_RETRY_PAUSE_MIN_US = 100_000
_RETRY_PAUSE_MAX_US = 2_000_000
_FAILURES_BEFORE_EVENT = 5
# Waiting operations share one read and one update of the page, which saves
# store requests while many writers compete for it. A batch of this size adds
# far fewer entries than a page can hold.
_MAX_BATCH = 16


class QueueOperations(System):
    """Queues the operations that other systems request."""

    consumes = (OperationRequested,)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Queue the operations; read the page if no update is in progress."""
        for request in tick.take(OperationRequested):
            row = OperationRow(request.operation_id, request.operation)
            self._tables.operations.put(request.operation_id, row)
        if self._tables.page.state is PageUpdateState.IDLE:
            tick.post(PageReadDue())


class ReadPage(System):
    """Reads the newest page while operations are waiting."""

    consumes = (PageReadDue, StoreReadFailed)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Read the page, or set a timer to read it again after a failure."""
        for failed in tick.take(StoreReadFailed):
            if failed.key == RECORD_KEY and failed.request_id == _PAGE_REQUEST:
                _retry_or_give_up(tick, self._tables, failed.reason)
        page = self._tables.page
        if tick.take(PageReadDue) and page.state in (
            PageUpdateState.IDLE,
            PageUpdateState.PAUSED,
        ):
            _read_page(tick, self._tables)


class DraftPage(System):
    """Applies the waiting operations to the page that was read."""

    consumes = (ObjectRead,)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Draft the new page and store the objects that it refers to."""
        for seen in tick.take(ObjectRead):
            if seen.key == RECORD_KEY and seen.request_id == _PAGE_REQUEST:
                self._draft_page(tick, seen)

    def _draft_page(self, tick: Tick, seen: ObjectRead) -> None:
        page = seen.value if isinstance(seen.value, RecordPage) else RecordPage()
        draft = PageDraft(page)
        rows = list(self._tables.operations)[:_MAX_BATCH]
        for row in rows:
            row.operation.apply(draft)
        update = self._tables.page
        update.version, update.draft = seen.version, draft
        update.operation_ids = tuple(row.operation_id for row in rows)
        update.parts = _parts_of(draft)
        if draft.page == page:
            _finish_operations(tick, self._tables, has_changed=False)
        elif update.parts:
            update.state = PageUpdateState.STORING_PARTS
            for key, value in update.parts.items():
                tick.emit(UpdateObject(key, _PAGE_REQUEST, 0, value))
        else:
            _update_page(tick, self._tables)


class StorePage(System):
    """Handles the results of storing the page and the objects it refers to."""

    consumes = (ObjectUpdated, UpdateConflicted, UpdateOutcomeUnknown)

    def __init__(self, tables: RecordTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Update the page once all its parts are stored.

        If another writer updated the page first, it is read again after a
        pause.
        """
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == _PAGE_REQUEST:
                self._handle_updated(tick, updated.key)
        for conflicted in tick.take(UpdateConflicted):
            if conflicted.request_id == _PAGE_REQUEST:
                self._handle_conflict(tick, conflicted.key)
        for unknown in tick.take(UpdateOutcomeUnknown):
            if unknown.request_id == _PAGE_REQUEST and self._is_awaited(unknown.key):
                _retry_or_give_up(tick, self._tables, unknown.reason)

    def _handle_updated(self, tick: Tick, key: ObjectKey) -> None:
        state = self._tables.page.state
        if key != RECORD_KEY:
            self._handle_part_stored(tick, key)
        elif state is PageUpdateState.UPDATING:
            _finish_operations(tick, self._tables, has_changed=True)

    def _handle_conflict(self, tick: Tick, key: ObjectKey) -> None:
        if key != RECORD_KEY:
            # Another writer has stored the same value already: the name of a
            # detail is derived from its content, and a full page does not
            # change any more.
            self._handle_part_stored(tick, key)
        elif self._tables.page.state is PageUpdateState.UPDATING:
            # The pause prevents a busy loop with a store replica that is
            # behind: it returns the same old page to each read, and each
            # update of that page conflicts.
            _retry_or_give_up(
                tick,
                self._tables,
                "each update of the record page conflicted: another writer was first, "
                "or the store returned an old copy",
            )

    def _handle_part_stored(self, tick: Tick, key: ObjectKey) -> None:
        page = self._tables.page
        if page.state is not PageUpdateState.STORING_PARTS:
            return
        page.parts.pop(key, None)
        if not page.parts:
            _update_page(tick, self._tables)

    def _is_awaited(self, key: ObjectKey) -> bool:
        page = self._tables.page
        if page.state is PageUpdateState.UPDATING:
            return key == RECORD_KEY
        return page.state is PageUpdateState.STORING_PARTS and key in page.parts


def _parts_of(draft: PageDraft) -> dict[ObjectKey, object]:
    """Return the archived pages and details to store before the draft."""
    parts: dict[ObjectKey, object] = {
        page_key(page.number): page for page in draft.archived
    }
    for stored_changes in draft.stored_changes:
        for name, detail in stored_changes.details.items():
            parts[detail_key(name)] = detail
    return parts


def _read_page(tick: Tick, tables: RecordTables) -> None:
    tables.page.state = PageUpdateState.READING
    tick.emit(ReadObject(RECORD_KEY, _PAGE_REQUEST))


def _update_page(tick: Tick, tables: RecordTables) -> None:
    page = tables.page
    page.state = PageUpdateState.UPDATING
    tick.emit(UpdateObject(RECORD_KEY, _PAGE_REQUEST, page.version, page.draft.page))


def _finish_operations(tick: Tick, tables: RecordTables, has_changed: bool) -> None:
    page = tables.page
    for operation_id in page.operation_ids:
        tables.operations.pop(operation_id)
        tick.post(OperationDone(operation_id, page.draft.page, has_changed))
    tables.page = PageUpdateRow()
    if len(tables.operations):
        tick.post(PageReadDue())


def _retry_or_give_up(tick: Tick, tables: RecordTables, reason: str) -> None:
    """Read the page again after a pause, or fail all waiting operations.

    The operations fail after `max_failures` failures or conflicts in a row.
    The pause is drawn at random from the upper half of a bound, which doubles
    with each failure from 0.1 s up to 2 s.
    """
    page = tables.page
    page.failures += 1
    if page.failures == _FAILURES_BEFORE_EVENT:
        tick.emit(Noted(Event.RECORD_FAILED, detail=reason))
    if tables.max_failures is not None and page.failures >= tables.max_failures:
        for row in list(tables.operations):
            tables.operations.pop(row.operation_id)
            tick.post(OperationFailed(row.operation_id, reason))
        tables.page = PageUpdateRow()
        return
    page.state = PageUpdateState.PAUSED
    pause_us = jittered_backoff_us(
        tick.random, page.failures - 1, _RETRY_PAUSE_MIN_US, _RETRY_PAUSE_MAX_US
    )
    tick.set_timer("record page", Micros(tick.now_us + pause_us), PageReadDue())
