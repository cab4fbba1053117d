"""The system that turns orders of the store into rows to control."""

from dataclasses import replace

from papayapost.ids import Micros, ServiceName, SoftwareVersion, StoreEra
from papayapost.kernel import System, Table, Tick
from papayapost.membership import Directory
from papayapost.observe import Event, Noted
from papayapost.rollout.control_tables import ControlRow
from papayapost.rollout.internal import ControlDue
from papayapost.rollout.messages import StagedOrder
from papayapost.rollout.plan import RolloutTimes
from papayapost.rollout.states import FINAL_PHASES, Phase
from papayapost.rollout.tables import OrderRow, RolloutTables
from papayapost.storage import (
    OrderObject,
    OrdersRead,
    OrderState,
    StatusConflicted,
    StatusUncertain,
    StatusWritten,
    StoreEraChanged,
    StoreVersion,
    WatchOrders,
    era_of,
)

__all__ = ["ControlTable", "ReadRolloutOrders"]

ControlTable = Table[ServiceName, ControlRow]

_WATCH_GAP_US = 100_000
"""Time between two requests of a watch, in which an order may be written."""

_REORDER_US = 10_000_000
"""Time in a new era of the store within which the operator has written again
the orders that the copy lacks. An order counts as removed after that."""

_SETTLE_US = 3_000_000
"""Time in a new era for which an order for another version than the known one
may be one of the copy, which the operator replaces."""

_FINAL_PHASE = {
    OrderState.COMPLETED: Phase.COMPLETED,
    OrderState.ROLLED_BACK: Phase.ROLLED_BACK,
}
_FINAL_STATE = {phase: state for state, phase in _FINAL_PHASE.items()}


class ReadRolloutOrders(System):
    """Keeps the rows of orders in step with the store.

    An order that the store shows without a status is new. Its time is known to
    lie after the last answer without it. Any other order is one that some
    controller has seen before.

    If the store comes back from an older copy, it has lost statuses. In the
    new era, an order goes on as it was known here, and a final status is
    written again.

    The load pattern that it answers: orders that are replaced, repeated or
    removed at any time, and statuses whose write was not answered.
    """

    consumes = (
        OrdersRead,
        StatusConflicted,
        StatusUncertain,
        StatusWritten,
        StoreEraChanged,
    )

    def __init__(
        self, directory: Directory, tables: RolloutTables, control: ControlTable
    ):
        self._directory = directory
        self._tables = tables
        self._control = control
        self._last_asked_us: Micros | None = None
        self._refused: dict[str, int] = {}
        self._unknown: dict[str, tuple[OrderObject, Micros | None]] = {}
        self._era = StoreEra(0)
        self._era_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Apply the store's answers, and have the orders reviewed at once."""
        for changed in tick.take(StoreEraChanged):
            self._era, self._era_us = changed.era, tick.now_us
        for read in tick.take(OrdersRead):
            self._apply(tick, read)
        for written in tick.take(StatusWritten):
            self._record_written(written)
        for uncertain in tick.take(StatusUncertain):
            tick.emit(Noted(Event.STATUS_UNCERTAIN, detail=uncertain.reason))
            tick.emit(WatchOrders())
        if tick.take(StatusConflicted):
            tick.emit(WatchOrders())
        if len(self._control):
            tick.post(ControlDue())

    def _apply(self, tick: Tick, read: OrdersRead) -> None:
        early_us = self._early_us(read)
        self._last_asked_us = read.asked_us
        for found in read.orders:
            self._unknown.pop(found.name, None)
        for found, since_us in list(self._unknown.values()):
            # The nodes of its service may have joined meanwhile.
            self._apply_order(tick, found, since_us)
        for found in read.orders:
            self._apply_order(tick, found, early_us)
        names = set(read.removed)
        if read.is_whole:
            listed = {found.name for found in read.orders}
            names |= {
                name
                for name, row in self._control.items()
                if name not in listed and not self._is_of_earlier_era(row)
            }
            for row in self._control:
                # The list tells the outcome of a write without an answer.
                row.writing = None
        if tick.now_us - self._era_us >= _REORDER_US:
            names |= {
                name
                for name, row in self._control.items()
                if self._is_of_earlier_era(row)
            }
        for name in sorted(names):
            self._unknown.pop(name, None)
            self._remove(name)

    def _is_of_earlier_era(self, row: ControlRow) -> bool:
        """Return whether the store has not shown an order in its new era."""
        return era_of(StoreVersion(row.found.revision)) < self._era

    def _early_us(self, read: OrdersRead) -> Micros | None:
        """Return the earliest time of an order that is new in an answer."""
        if read.is_whole or read.asked_us is None:
            return self._last_asked_us
        return Micros(read.asked_us - _WATCH_GAP_US)

    def _apply_order(
        self, tick: Tick, found: OrderObject, early_us: Micros | None
    ) -> None:
        self._unknown.pop(found.name, None)
        service = ServiceName(found.name)
        row = self._control.get(service)
        if row is not None and row.found.revision > found.revision:
            return
        if row is not None and not _is_other_order(row, found):
            self._refresh(tick, row, found)
            return
        if self._is_outdated(tick, found):
            self._unknown[found.name] = (found, early_us)
            return
        fault = self._fault_of(found)
        if fault:
            self._unknown[found.name] = (found, early_us)
            self._refuse(tick, found, fault)
            self._remove(found.name)
            return
        assert found.spec is not None
        self._control.put(service, self._new_row(tick, found, early_us))
        if found.current_state is None:
            detail = f"{service} to {found.spec.target_version}"
            tick.emit(Noted(Event.ROLLOUT_ORDERED, detail=detail))

    def _refresh(self, tick: Tick, row: ControlRow, found: OrderObject) -> None:
        """Store the newest answer about an order."""
        phase = final_phase_of(row.found)
        if phase is None and row.phase in FINAL_PHASES:
            phase = row.phase
        is_later = _is_later_era(found.revision, row.found.revision)
        row.found = found
        if is_later and phase is not None:
            self._record_loss(tick, row, phase)

    def _record_loss(self, tick: Tick, row: ControlRow, phase: Phase) -> None:
        """Have a final status written again if the store has lost it."""
        if final_phase_of(row.found) is phase:
            return
        row.lost_state, row.lost_us = _FINAL_STATE[phase], tick.now_us
        row.is_leading, row.final_announcements = False, 0
        row.reason = "the store has lost the status"
        detail = f"{row.found.name}: the store has lost that it is {phase.value}"
        tick.emit(Noted(Event.STATUS_UNCERTAIN, detail=detail))

    def _known_before(self, found: OrderObject) -> OrderRow | None:
        """Return the order of the service if it is of an earlier era."""
        known = self._tables.orders.get(ServiceName(found.name))
        if known is None or not _is_later_era(found.revision, known.order.revision):
            return None
        return known

    def _is_outdated(self, tick: Tick, found: OrderObject) -> bool:
        """Return whether an order may be one of the copy, replaced since.

        Its roll-out would move all calls back to a version whose servers may
        have stopped.
        """
        known, spec = self._known_before(found), found.spec
        if known is None or spec is None:
            return False
        if known.order.target_version == spec.target_version:
            return False
        is_new_era = self._era and tick.now_us - self._era_us < _SETTLE_US
        return bool(is_new_era) or final_phase_of(found) is not None

    def _fault_of(self, found: OrderObject) -> str:
        spec = found.spec
        if spec is None:
            return found.fault
        if spec.service != found.name:
            return f"it names the service {spec.service}"
        if not self._directory.count("service", spec.service):
            return "no node has a backend server of that service"
        if found.current_state is None:
            stable = self._tables.stable_version(spec.service)
            known = self._known_before(found)
            is_restored = known is not None and (
                known.order.target_version == spec.target_version
            )
            if stable == spec.target_version and not is_restored:
                return f"{stable} has the calls of the service already"
        return ""

    def _refuse(self, tick: Tick, found: OrderObject, fault: str) -> None:
        if self._refused.get(found.name) == found.revision:
            return
        self._refused[found.name] = found.revision
        self._tables.counters.refused_orders += 1
        detail = f"{found.name[:80]}: {fault[:160]}"
        tick.emit(Noted(Event.ORDER_REFUSED, detail=detail))

    def _new_row(
        self, tick: Tick, found: OrderObject, early_us: Micros | None
    ) -> ControlRow:
        spec = found.spec
        assert spec is not None
        known = self._tables.orders.get(spec.service)
        is_same = known is not None and (
            known.order.target_version == spec.target_version
        )
        is_restored = is_same and self._known_before(found) is not None
        is_known = known is not None and (
            is_restored
            or (is_same and not (known.is_final and found.current_state is None))
        )
        if known is not None and is_known:
            order = known.order
        else:
            stable = self._tables.stable_version(spec.service)
            order = StagedOrder(
                spec.service,
                spec.target_version,
                stable or SoftwareVersion(""),
                found.revision,
                Phase.HELD,
            )
        times = None
        is_new = found.current_state is None and not is_restored
        if is_new and early_us is not None:
            times = RolloutTimes(early_us, tick.now_us, spec.duration_us)
        row = ControlRow(found, order, times, tick.now_us)
        if is_restored and order.phase in FINAL_PHASES:
            self._record_loss(tick, row, order.phase)
        return row

    def _remove(self, name: str) -> None:
        row = self._control.get(ServiceName(name))
        if row is None or row.phase in FINAL_PHASES:
            return
        row.order = replace(row.order, phase=Phase.ROLLED_BACK)
        row.wanted = None
        row.is_removed = True

    def _record_written(self, written: StatusWritten) -> None:
        row = self._control.get(ServiceName(written.name))
        if row is None or row.writing is None:
            return
        if written.revision > row.found.revision:
            status = row.status_of(row.writing)
            row.found = replace(row.found, revision=written.revision, status=status)
        row.writing = None


def final_phase_of(found: OrderObject) -> Phase | None:
    """Return the final phase that the store tells, or None."""
    state = found.current_state
    return None if state is None else _FINAL_PHASE.get(state)


def _is_other_order(row: ControlRow, found: OrderObject) -> bool:
    """Return whether the store holds another order than a row is about."""
    spec, known = found.spec, row.found.spec
    if row.is_removed or spec is None or known is None:
        return True
    if (spec.service, spec.target_version) != (known.service, known.target_version):
        return True
    if row.lost_state or _is_later_era(found.revision, row.found.revision):
        return False
    was_seen = row.found.current_state is not None or row.phase in FINAL_PHASES
    return was_seen and found.current_state is None


def _is_later_era(version: int, before: int) -> bool:
    """Return whether a version is of a later era of the store than another."""
    return era_of(StoreVersion(version)) > era_of(StoreVersion(before))
