"""Query for the change log: who changed which rule, and when."""

from dataclasses import replace

from papayapost.define import define
from papayapost.record.batch_read import FetchedObject
from papayapost.record.model import (
    RECORD_KEY,
    ChangeDetail,
    ChangeEntry,
    RecordPage,
    detail_key,
    page_key,
)
from papayapost.record.queries.query import Query
from papayapost.rules import RuleChange
from papayapost.storage import ObjectKey, ObjectKind

__all__ = ["LogFilter", "LogReport", "ReadLog"]

_MAX_PAGES = 500


@define(frozen=True)
class LogFilter:
    """Selects the changes that a log report shows.

    Parameters
    ----------
    rule
        Text that the rule's key must contain, such as a path; empty for any
        rule.
    owner
        Owner that the rule's comment names before or after the change; empty
        for any owner.
    limit
        Greatest number of entries to report; the newest ones are reported.
    """

    rule: str = ""
    owner: str = ""
    limit: int = 20

    @property
    def matches_all(self) -> bool:
        """Whether the filter selects every change."""
        return not self.rule and not self.owner

    def matches(self, change: RuleChange) -> bool:
        """Return whether the filter selects a change."""
        if self.rule and self.rule not in change.rule:
            return False
        return not self.owner or self.owner in (
            change.owner_before,
            change.owner_after,
        )


@define(frozen=True)
class LogReport:
    """Record entries that match a filter.

    Parameters
    ----------
    entries
        Matching entries, newest first, each with its matching changes only.
    is_whole
        Whether the report has all matching entries: the whole record was
        read and the limit left none out.
    failure
        Reason why a part of the record could not be read; empty if no read
        failed.
    """

    entries: tuple[ChangeEntry, ...]
    is_whole: bool
    failure: str


class ReadLog(Query):
    """Reads the change record page by page, from the newest page back."""

    def __init__(self, log_filter: LogFilter):
        self._filter = log_filter
        self._entries: list[ChangeEntry] = []
        self._page: RecordPage | None = None
        self._pages_read = 0
        self._next_keys: tuple[ObjectKey, ...] = (RECORD_KEY,)
        self._failure = ""

    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return the key of the next page, or those of the page's details."""
        return self._next_keys

    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Take a page, or the details that the last page refers to.

        The entries of a page are added to the report once its details have
        been read.
        """
        failures = [fetched.failure for fetched in objects if fetched.failure]
        if failures:
            self._failure = failures[0]
        if objects[0].key.kind is ObjectKind.RECORD:
            self._take_page(objects[0])
        else:
            self._take_details(objects)

    def report(self) -> LogReport:
        """Return the matching entries, up to the limit of the filter."""
        limit = self._filter.limit
        is_whole = not self._failure and len(self._entries) <= limit
        is_whole = is_whole and (self._page is None or self._page.number == 1)
        return LogReport(tuple(self._entries[:limit]), is_whole, self._failure)

    def _take_page(self, fetched: FetchedObject) -> None:
        if not isinstance(fetched.value, RecordPage):
            if fetched.key != RECORD_KEY and not fetched.failure:
                self._failure = (
                    f"record page {fetched.key.name} does not exist in the store"
                )
            self._next_keys = ()
            return
        self._page = fetched.value
        self._pages_read += 1
        names = [name for e in fetched.value.entries for name in e.changes.details]
        self._next_keys = tuple(detail_key(name) for name in dict.fromkeys(names))
        if not names:
            self._add_entries({})

    def _take_details(self, objects: tuple[FetchedObject, ...]) -> None:
        details = {
            fetched.key: fetched.value.changes
            for fetched in objects
            if isinstance(fetched.value, ChangeDetail)
        }
        self._add_entries(details)

    def _add_entries(self, details: dict[ObjectKey, tuple[RuleChange, ...]]) -> None:
        assert self._page is not None
        for entry in reversed(self._page.entries):
            changes = list(entry.changes.changes)
            for name in entry.changes.details:
                changes += details.get(detail_key(name), ())
            matching = tuple(
                change for change in changes if self._filter.matches(change)
            )
            if matching or self._filter.matches_all:
                filtered = replace(entry.changes, changes=matching, details=())
                self._entries.append(replace(entry, changes=filtered))
        self._next_keys = self._older_page_keys()

    def _older_page_keys(self) -> tuple[ObjectKey, ...]:
        assert self._page is not None
        has_enough = len(self._entries) > self._filter.limit
        if has_enough or self._page.number == 1 or self._pages_read >= _MAX_PAGES:
            return ()
        return (page_key(self._page.number - 1),)
