"""The system that reconciles store objects with their desired values."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    AcceptedRules,
    ObjectReconciled,
    ReconcileDue,
    ReconcileObject,
)
from papayapost.distribution.status import StatusReport
from papayapost.distribution.tables import ReconcileRow
from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick
from papayapost.membership import TreeTables
from papayapost.observe import Event, Noted
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

__all__ = [
    "AcceptedPrecedence",
    "Precedence",
    "ReconcileObjects",
    "StatusPrecedence",
    "reconciled_objects",
]

_ACCEPTED_WINDOW_US = 200_000
_STATUS_WINDOW_US = 2_000_000
_YIELD_US = 6_000_000
"""Time for which the report of another writer is left in place.

After this time without a change, the node writes its own report.
"""

_RETRY_MIN_US = 500_000
_RETRY_MAX_US = 30_000_000
_RECONCILE_ID = StoreRequestId("rules-reconcile")


class Precedence(ABC):
    """Decides whether a stored value or this node's desired value wins."""

    @abstractmethod
    def keeps_stored(self, stored: object, desired: object) -> bool:
        """Return whether the stored value takes precedence."""

    @property
    @abstractmethod
    def is_monotonic(self) -> bool:
        """Whether a stored value that takes precedence is never overwritten.

        Before its first successful update of such an object, a node writes the
        object even if the stored value takes precedence. A read can return a
        stale value, whereas a conditional update fails on a stale version.
        """

    @property
    @abstractmethod
    def window_us(self) -> int:
        """Minimum time between two updates in µs."""


class AcceptedPrecedence(Precedence):
    """Keeps the accepted rules with the higher version, whoever wrote them."""

    def keeps_stored(self, stored: object, desired: object) -> bool:
        """Return whether the stored version is at least the desired one."""
        return (
            isinstance(stored, AcceptedRules)
            and isinstance(desired, AcceptedRules)
            and stored.version >= desired.version
        )

    @property
    def is_monotonic(self) -> bool:
        """True, because the accepted version only increases."""
        return True

    @property
    def window_us(self) -> int:
        """Minimum time between two updates in µs."""
        return _ACCEPTED_WINDOW_US


class StatusPrecedence(Precedence):
    """Keeps the status report that counts more nodes in force.

    While two link relays are active, each sees only a part of a data centre
    and counts too few nodes. The higher count is then the more accurate one,
    as long as its writer keeps updating it.
    """

    def keeps_stored(self, stored: object, desired: object) -> bool:
        """Return whether the stored report takes precedence.

        Between two writers, the report with the higher version and count wins.
        This node's own stored report is kept only if it is unchanged.
        """
        if not isinstance(stored, StatusReport) or not isinstance(
            desired, StatusReport
        ):
            return False
        if stored.written_by == desired.written_by:
            return stored == desired
        return _rank(stored) > _rank(desired)

    @property
    def is_monotonic(self) -> bool:
        """False, because another node may replace a stopped writer."""
        return False

    @property
    def window_us(self) -> int:
        """Minimum time between two updates in µs."""
        return _STATUS_WINDOW_US


def _rank(report: StatusReport) -> tuple[int, int]:
    return report.version, report.nodes_in_force


PRECEDENCES: Mapping[ObjectKind, Precedence] = {
    ObjectKind.ACCEPTED: AcceptedPrecedence(),
    ObjectKind.STATUS: StatusPrecedence(),
}


def reconciled_objects() -> Table[ObjectKey, ReconcileRow]:
    """Return an empty table of the objects that the node reconciles."""
    return Table("reconciled objects")


class ReconcileObjects(System):
    """Writes desired values by conditional updates, at a bounded rate.

    After a lost reply or a conflict, the object is read again before the next
    update.
    """

    consumes = (
        ReconcileObject,
        ReconcileDue,
        ObjectRead,
        ObjectUpdated,
        UpdateConflicted,
        UpdateOutcomeUnknown,
        StoreReadFailed,
    )

    def __init__(self, objects: Table[ObjectKey, ReconcileRow], tree: TreeTables):
        self._objects = objects
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Handle the store's results first, then start due requests."""
        for updated in tick.take(ObjectUpdated):
            self._handle_updated(tick, updated)
        for seen in tick.take(ObjectRead):
            self._handle_read(tick, seen)
        failures: list[UpdateConflicted | UpdateOutcomeUnknown | StoreReadFailed] = [
            *tick.take(UpdateConflicted),
            *tick.take(UpdateOutcomeUnknown),
            *tick.take(StoreReadFailed),
        ]
        for failure in failures:
            self._handle_failure(tick, failure)
        for request in tick.take(ReconcileObject):
            self._set_desired_value(tick, request)
        for due in tick.take(ReconcileDue):
            self._send_request(tick, self._objects.require(due.key))

    def _set_desired_value(self, tick: Tick, request: ReconcileObject) -> None:
        row = self._objects.get(request.key)
        if row is None:
            row = ReconcileRow(request.key, request.value)
            self._objects.put(request.key, row)
        row.desired_value = request.value
        if row.desired_value != row.written_value or row.is_outstanding:
            self._schedule(tick, row, row.earliest_us)
        elif PRECEDENCES[row.key.kind].is_monotonic:
            tick.post(ObjectReconciled(row.key, row.desired_value))
        elif tick.now_us >= row.last_result_us + _YIELD_US:
            # Another writer may have replaced the value in the meantime.
            row.written_value = row.known_version = None
            self._schedule(tick, row, row.earliest_us)

    def _schedule(self, tick: Tick, row: ReconcileRow, earliest_us: int) -> None:
        if (
            row.is_scheduled
            or row.is_outstanding
            or row.desired_value == row.written_value
        ):
            return
        row.is_scheduled = True
        if earliest_us <= tick.now_us:
            tick.post(ReconcileDue(row.key))
        else:
            key = (ReconcileDue, row.key)
            tick.set_timer(key, Micros(earliest_us), ReconcileDue(row.key))

    def _send_request(self, tick: Tick, row: ReconcileRow) -> None:
        row.is_scheduled = False
        if not self._tree.watches_store or row.is_outstanding:
            return
        if row.known_version is None:
            row.is_outstanding = True
            tick.emit(ReadObject(row.key, _RECONCILE_ID))
        else:
            self._update(tick, row, row.known_version)

    def _update(self, tick: Tick, row: ReconcileRow, version: int) -> None:
        row.is_outstanding = True
        row.written_value = row.desired_value
        row.earliest_us = tick.now_us + PRECEDENCES[row.key.kind].window_us
        tick.emit(UpdateObject(row.key, _RECONCILE_ID, version, row.desired_value))

    def _handle_updated(self, tick: Tick, updated: ObjectUpdated) -> None:
        row = self._row_of_outstanding_request(updated)
        if row is not None:
            row.known_version = updated.version
            row.last_result_us = tick.now_us
            row.failures = 0
            row.is_confirmed = True
            tick.post(ObjectReconciled(row.key, row.written_value))
            self._schedule(tick, row, row.earliest_us)

    def _handle_read(self, tick: Tick, seen: ObjectRead) -> None:
        row = self._row_of_outstanding_request(seen)
        if row is None:
            return
        row.failures = 0
        row.known_version = seen.version
        row.last_result_us = tick.now_us
        precedence = PRECEDENCES[row.key.kind]
        if not precedence.keeps_stored(seen.value, row.desired_value):
            self._update(tick, row, seen.version)
        elif precedence.is_monotonic and not row.is_confirmed:
            row.desired_value = seen.value
            self._update(tick, row, seen.version)
        elif precedence.is_monotonic or seen.value == row.desired_value:
            row.written_value = row.desired_value = seen.value
            tick.post(ObjectReconciled(row.key, seen.value))
        elif row.yielded_version == seen.version:
            # The other writer has not updated its report during `_YIELD_US`.
            self._update(tick, row, seen.version)
        else:
            row.yielded_version = seen.version
            row.known_version = None
            row.earliest_us = tick.now_us + _YIELD_US
            self._schedule(tick, row, row.earliest_us)

    def _handle_failure(
        self,
        tick: Tick,
        failure: UpdateConflicted | UpdateOutcomeUnknown | StoreReadFailed,
    ) -> None:
        row = self._row_of_outstanding_request(failure)
        if row is None:
            return
        if isinstance(failure, UpdateOutcomeUnknown):
            tick.emit(Noted(Event.STORE_UPDATE_UNKNOWN, detail=failure.reason))
        row.known_version = None
        row.written_value = None
        pause_us = jittered_backoff_us(
            tick.random, row.failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        row.failures += 1
        self._schedule(tick, row, tick.now_us + pause_us)

    def _row_of_outstanding_request(self, result) -> ReconcileRow | None:
        if result.request_id != _RECONCILE_ID:
            return None
        row = self._objects.get(result.key)
        if row is None or not row.is_outstanding:
            return None
        row.is_outstanding = False
        return row
