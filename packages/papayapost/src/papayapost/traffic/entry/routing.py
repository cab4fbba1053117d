"""Systems of the entry node: from a caller's request to its first attempt."""

from papayapost.distribution import RulesTable
from papayapost.ids import CallId, Micros
from papayapost.kernel import System, Tick
from papayapost.rules import match_route
from papayapost.states import Outcome
from papayapost.traffic.entry.offers import Offers, set_step
from papayapost.traffic.entry.tables import CallRow, CallStep, TrafficTables
from papayapost.traffic.messages import CallArrived, CallRefusal, RefusalCode

__all__ = ["RouteCalls", "first_step"]

_NOT_FOUND = 404
_UNAVAILABLE = 503
_RETRY_AFTER_MS = 1_000


class RouteCalls(System):
    """Finds the rule of each new call and makes its first attempt."""

    consumes = (CallArrived,)

    def __init__(self, rules: RulesTable, tables: TrafficTables, offers: Offers):
        self._rules = rules
        self._tables = tables
        self._offers = offers

    def run(self, tick: Tick) -> None:
        """Route the calls that arrived."""
        for arrived in tick.take(CallArrived):
            self._route(tick, arrived)

    def _route(self, tick: Tick, arrived: CallArrived) -> None:
        self._tables.counters.calls += 1
        in_force = self._rules.in_force
        if in_force is None:
            self._refuse(tick, arrived.call_id, _UNAVAILABLE, RefusalCode.NO_RULES)
            return
        route = match_route(in_force.rules, arrived.method, arrived.host, arrived.path)
        if route is None:
            self._refuse(tick, arrived.call_id, _NOT_FOUND, RefusalCode.NO_ROUTE)
            return
        budget_us = route.timeout_ms * 1000
        if arrived.budget_us is not None:
            budget_us = min(budget_us, arrived.budget_us)
        call = CallRow(arrived.call_id, arrived, route, Micros(tick.now_us + budget_us))
        if not self._offers.offer(tick, call):
            self._refuse(
                tick, call.call_id, _UNAVAILABLE, RefusalCode.NO_BACKEND_SERVER
            )
            return
        self._tables.calls.put(call.call_id, call)
        first_step(tick, call)

    def _refuse(
        self, tick: Tick, call_id: CallId, status: int, code: RefusalCode
    ) -> None:
        self._tables.counters.refused_calls += 1
        retry_after_ms = None if code is RefusalCode.NO_ROUTE else _RETRY_AFTER_MS
        tick.emit(CallRefusal(call_id, status, code, Outcome.NOT_RUN, retry_after_ms))


def first_step(tick: Tick, call: CallRow) -> None:
    """Set the timer of a call whose attempt has just been offered."""
    route = call.route
    if not route.idempotent:
        set_step(tick, call, CallStep.NONE, 0)
    elif route.hedge_ms is not None and not call.is_hedged:
        set_step(tick, call, CallStep.HEDGE, tick.now_us + route.hedge_ms * 1000)
    elif call.retries < route.retries:
        share_us = (call.deadline_us - tick.now_us) // 2
        set_step(tick, call, CallStep.GIVE_UP_ATTEMPT, tick.now_us + share_us)
    else:
        set_step(tick, call, CallStep.NONE, 0)
