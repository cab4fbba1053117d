"""The system that brings objects of the store to their wanted values."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    AcceptedRules,
    KeepDue,
    KeepObject,
    ObjectKept,
)
from papayapost.distribution.status import StatusReport
from papayapost.distribution.tables import KeptRow
from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick
from papayapost.membership import TreeTables
from papayapost.observe import Event, Noted
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectSeen,
    ObjectUpdated,
    ReadObject,
    RequestId,
    StoreFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
)

__all__ = [
    "AcceptedPrecedence",
    "KeepObjects",
    "Precedence",
    "StatusPrecedence",
    "kept_objects",
]

_ACCEPTED_WINDOW_US = 200_000
_STATUS_WINDOW_US = 2_000_000
_CEDE_US = 6_000_000
_RETRY_MIN_US = 500_000
_RETRY_MAX_US = 30_000_000
_KEEP_ID = RequestId("rules-keep")


class Precedence(ABC):
    """Decides between the value that is stored and the one wanted here."""

    @abstractmethod
    def keeps_stored(self, stored: object, wanted: object) -> bool:
        """Return whether the stored value goes before the wanted one."""

    @property
    @abstractmethod
    def is_final(self) -> bool:
        """Whether a value once preferred is never overwritten.

        The first value of such an object is written in any case, for a read
        can show the past and only an update on condition cannot.
        """

    @property
    @abstractmethod
    def window_us(self) -> int:
        """Least time between two updates in µs."""


class AcceptedPrecedence(Precedence):
    """The higher version stays, whoever wrote it."""

    def keeps_stored(self, stored: object, wanted: object) -> bool:
        """Return whether the stored version is as high."""
        return (
            isinstance(stored, AcceptedRules)
            and isinstance(wanted, AcceptedRules)
            and stored.version >= wanted.version
        )

    @property
    def is_final(self) -> bool:
        """True: versions only rise."""
        return True

    @property
    def window_us(self) -> int:
        """Least time between two updates in µs."""
        return _ACCEPTED_WINDOW_US


class StatusPrecedence(Precedence):
    """The report of the writer that sees more nodes in force stays.

    Two link relays each see a part of a data centre and both count too few,
    so the higher count is nearer the truth while its writer keeps writing.
    """

    def keeps_stored(self, stored: object, wanted: object) -> bool:
        """Return whether another writer's report says more."""
        if not isinstance(stored, StatusReport) or not isinstance(wanted, StatusReport):
            return False
        if stored.written_by == wanted.written_by:
            return stored == wanted
        return _rank(stored) > _rank(wanted)

    @property
    def is_final(self) -> bool:
        """False: a writer that fell silent is followed by another."""
        return False

    @property
    def window_us(self) -> int:
        """Least time between two updates in µs."""
        return _STATUS_WINDOW_US


def _rank(report: StatusReport) -> tuple[int, int]:
    return report.version, report.nodes_in_force


PRECEDENCES: Mapping[ObjectKind, Precedence] = {
    ObjectKind.ACCEPTED: AcceptedPrecedence(),
    ObjectKind.STATUS: StatusPrecedence(),
}


def kept_objects() -> Table[ObjectKey, KeptRow]:
    """Return an empty table of kept objects."""
    return Table("kept_objects")


class KeepObjects(System):
    """Updates objects on condition of their version, at a bounded rate.

    A lost reply or a conflict is settled by reading the object back.
    """

    consumes = (
        KeepObject,
        KeepDue,
        ObjectSeen,
        ObjectUpdated,
        UpdateConflicted,
        UpdateUnknown,
        StoreFailed,
    )

    def __init__(self, kept: Table[ObjectKey, KeptRow], tree: TreeTables):
        self._kept = kept
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Take results first, then start what is due."""
        for updated in tick.take(ObjectUpdated):
            self._note_updated(tick, updated)
        for seen in tick.take(ObjectSeen):
            self._note_seen(tick, seen)
        failures: list[UpdateConflicted | UpdateUnknown | StoreFailed] = [
            *tick.take(UpdateConflicted),
            *tick.take(UpdateUnknown),
            *tick.take(StoreFailed),
        ]
        for failure in failures:
            self._note_failure(tick, failure)
        for wanted in tick.take(KeepObject):
            self._want(tick, wanted)
        for due in tick.take(KeepDue):
            self._start(tick, self._kept.require(due.key))

    def _want(self, tick: Tick, wanted: KeepObject) -> None:
        row = self._kept.get(wanted.key)
        if row is None:
            row = KeptRow(wanted.key, wanted.value)
            self._kept.put(wanted.key, row)
        row.wanted = wanted.value
        if row.wanted != row.written or row.is_asked:
            self._schedule(tick, row, row.earliest_us)
        elif PRECEDENCES[row.key.kind].is_final:
            tick.post(ObjectKept(row.key, row.wanted))
        elif tick.now_us >= row.settled_us + _CEDE_US:
            # Another writer may have replaced it since.
            row.written = row.known_version = None
            self._schedule(tick, row, row.earliest_us)

    def _schedule(self, tick: Tick, row: KeptRow, earliest_us: int) -> None:
        if row.is_scheduled or row.is_asked or row.wanted == row.written:
            return
        row.is_scheduled = True
        if earliest_us <= tick.now_us:
            tick.post(KeepDue(row.key))
        else:
            key = (KeepDue, row.key)
            tick.set_timer(key, Micros(earliest_us), KeepDue(row.key))

    def _start(self, tick: Tick, row: KeptRow) -> None:
        row.is_scheduled = False
        if not self._tree.watches_store or row.is_asked:
            return
        if row.known_version is None:
            row.is_asked = True
            tick.emit(ReadObject(row.key, _KEEP_ID))
        else:
            self._update(tick, row, row.known_version)

    def _update(self, tick: Tick, row: KeptRow, version: int) -> None:
        row.is_asked = True
        row.written = row.wanted
        row.earliest_us = tick.now_us + PRECEDENCES[row.key.kind].window_us
        tick.emit(UpdateObject(row.key, _KEEP_ID, version, row.wanted))

    def _note_updated(self, tick: Tick, updated: ObjectUpdated) -> None:
        row = self._asked_row(updated)
        if row is not None:
            row.known_version = updated.version
            row.settled_us = tick.now_us
            row.failures = 0
            row.is_confirmed = True
            tick.post(ObjectKept(row.key, row.written))
            self._schedule(tick, row, row.earliest_us)

    def _note_seen(self, tick: Tick, seen: ObjectSeen) -> None:
        row = self._asked_row(seen)
        if row is None:
            return
        row.failures = 0
        row.known_version = seen.version
        row.settled_us = tick.now_us
        precedence = PRECEDENCES[row.key.kind]
        if not precedence.keeps_stored(seen.value, row.wanted):
            self._update(tick, row, seen.version)
        elif precedence.is_final and not row.is_confirmed:
            row.wanted = seen.value
            self._update(tick, row, seen.version)
        elif precedence.is_final or seen.value == row.wanted:
            row.written = row.wanted = seen.value
            tick.post(ObjectKept(row.key, seen.value))
        elif row.ceded_at == seen.version:
            self._update(tick, row, seen.version)
        else:
            row.ceded_at = seen.version
            row.known_version = None
            row.earliest_us = tick.now_us + _CEDE_US
            self._schedule(tick, row, row.earliest_us)

    def _note_failure(
        self, tick: Tick, failure: UpdateConflicted | UpdateUnknown | StoreFailed
    ) -> None:
        row = self._asked_row(failure)
        if row is None:
            return
        if isinstance(failure, UpdateUnknown):
            tick.emit(Noted(Event.STORE_UPDATE_UNKNOWN, detail=failure.reason))
        row.known_version = None
        row.written = None
        pause_us = jittered_backoff_us(
            tick.random, row.failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        row.failures += 1
        self._schedule(tick, row, tick.now_us + pause_us)

    def _asked_row(self, result) -> KeptRow | None:
        if result.request_id != _KEEP_ID:
            return None
        row = self._kept.get(result.key)
        if row is None or not row.is_asked:
            return None
        row.is_asked = False
        return row
