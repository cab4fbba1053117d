"""Systems of the entry node: from a caller's request to its first attempt."""

from papayapost.distribution import RulesInForce, RulesTable
from papayapost.ids import CallId, Micros
from papayapost.kernel import System, Tick
from papayapost.membership import DirectoryChanged
from papayapost.rules import match_route
from papayapost.states import Outcome
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.offers import Offers
from papayapost.traffic.entry.parts import PartChooser
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.spent import SpentTimes
from papayapost.traffic.entry.tables import CallRow, HeldRow, TrafficTables
from papayapost.traffic.internal import HoldOver
from papayapost.traffic.messages import (
    CallArrived,
    CallerGone,
    CallRefusal,
    RefusalCode,
)

__all__ = ["HOLD_US", "RouteCalls"]

_NOT_FOUND = 404
_UNAVAILABLE = 503
_RETRY_AFTER_MS = 1_000
_MAX_HELD_CALLS = 256
HOLD_US = 2_000_000


class RouteCalls(System):
    """Finds the rule of each new call and makes its first attempt.

    A call for which there are no rules yet, or no backend server in reach,
    is held for a moment: a node that has just started, or a service whose
    backend servers restart one after the other, then costs callers time and
    not an error.

    Parameters
    ----------
    hold_us
        Longest time in µs for which a call is held.
    drain
        How far this node's own drain has come.
    """

    consumes = (CallArrived, CallerGone, DirectoryChanged, HoldOver, RulesInForce)

    def __init__(
        self,
        rules: RulesTable,
        tables: TrafficTables,
        offers: Offers,
        retries: RetryPolicy,
        hold_us: int = HOLD_US,
        drain: DrainRow | None = None,
    ):
        self._rules = rules
        self._tables = tables
        self._offers = offers
        self._retries = retries
        self._hold_us = hold_us
        self._drain = drain or DrainRow()
        self._parts = PartChooser()
        self._spent = SpentTimes()

    def run(self, tick: Tick) -> None:
        """Route the calls that arrived, and those that were held."""
        held = self._tables.held
        for gone in tick.take(CallerGone):
            self._release(tick, gone.call_id)
        for arrived in tick.take(CallArrived):
            self._tables.counters.calls += 1
            if self._drain.is_grace_over:
                # Callers had time to learn that this node leaves; what they
                # send now might not be answered before it is gone.
                code = RefusalCode.DRAINING
                self._refuse(tick, arrived.call_id, _UNAVAILABLE, code)
                continue
            self._route(tick, arrived, tick.now_us)
        has_rules, has_members = tick.take(RulesInForce), tick.take(DirectoryChanged)
        if has_rules or has_members:
            for row in list(held):
                self._route(tick, row.arrived, row.arrived_us)
        for over in tick.take(HoldOver):
            late = held.pop(over.call_id)
            if late is not None:
                self._refuse(tick, over.call_id, _UNAVAILABLE, late.code)

    def _route(self, tick: Tick, arrived: CallArrived, arrived_us: Micros) -> None:
        in_force = self._rules.in_force
        if in_force is None:
            budget_us = arrived.budget_us or self._hold_us
            self._hold(tick, arrived, arrived_us, budget_us, RefusalCode.NO_RULES)
            return
        route = match_route(in_force.rules, arrived.method, arrived.host, arrived.path)
        if route is None:
            self._release(tick, arrived.call_id)
            self._refuse(tick, arrived.call_id, _NOT_FOUND, RefusalCode.NO_ROUTE)
            return
        budget_us = route.timeout_ms * 1000
        if arrived.budget_us is not None:
            budget_us = min(budget_us, arrived.budget_us)
        call = CallRow(arrived.call_id, arrived, route, Micros(arrived_us + budget_us))
        call.arrived_us = arrived_us
        call.spent_us = self._spent.spent_us(route, arrived.budget_us)
        call.version = in_force.version
        call.part = self._parts.choose(route, tick.random)
        if call.deadline_us <= tick.now_us or not self._offers.offer(tick, call):
            code = RefusalCode.NO_BACKEND_SERVER
            self._hold(tick, arrived, arrived_us, budget_us, code)
            return
        self._release(tick, arrived.call_id)
        self._tables.calls.put(call.call_id, call)
        self._retries.began(call, tick.now_us)
        self._offers.set_next_step(tick, call)

    def _hold(
        self,
        tick: Tick,
        arrived: CallArrived,
        arrived_us: Micros,
        budget_us: int,
        code: RefusalCode,
    ) -> None:
        held = self._tables.held
        call_id = arrived.call_id
        if call_id not in held and len(held) >= _MAX_HELD_CALLS:
            self._refuse(tick, call_id, _UNAVAILABLE, code)
            return
        held.put(call_id, HeldRow(arrived, arrived_us, code))
        # What is left of its time must be enough for an attempt.
        until_us = arrived_us + min(self._hold_us, budget_us * 4 // 5)
        tick.set_timer(("held", call_id), Micros(until_us), HoldOver(call_id))

    def _release(self, tick: Tick, call_id: CallId) -> None:
        if self._tables.held.pop(call_id) is not None:
            tick.cancel_timer(("held", call_id))

    def _refuse(
        self, tick: Tick, call_id: CallId, status: int, code: RefusalCode
    ) -> None:
        self._tables.counters.refused_calls += 1
        retry_after_ms = None if code is RefusalCode.NO_ROUTE else _RETRY_AFTER_MS
        tick.emit(CallRefusal(call_id, status, code, Outcome.NOT_RUN, retry_after_ms))
