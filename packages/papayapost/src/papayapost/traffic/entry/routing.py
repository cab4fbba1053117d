"""System of the entry node that turns a request into its first attempt."""

from papayapost.distribution import EvidenceRow, RulesInForce, RulesTable
from papayapost.ids import CallId, Micros
from papayapost.kernel import System, Tick
from papayapost.membership import DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.quota import (
    TokenGrant,
    TokenNeeded,
    TokenSettled,
    TokenUnneeded,
    TokenUnused,
    TokenVerdict,
)
from papayapost.rules import match_route
from papayapost.states import NodeState, Outcome
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.access import AccessGrant, decide_access
from papayapost.traffic.entry.answer_times import AnswerTimes
from papayapost.traffic.entry.caller_wait import CallerWaitEstimator
from papayapost.traffic.entry.offers import Offers
from papayapost.traffic.entry.refused_callers import take_return
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.tables import (
    CallRow,
    EntryTables,
    HeldCallRow,
    QuotaWaitRow,
)
from papayapost.traffic.entry.weighted_services import WeightedServiceChooser
from papayapost.traffic.internal import HoldExpired
from papayapost.traffic.messages import (
    CallArrived,
    CallerGone,
    CallRefusal,
    RefusalCode,
)

__all__ = ["HOLD_US", "RouteCalls"]

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_TIMED_OUT = 504
_RETRY_AFTER_MS = 1_000
_MIN_DRAIN_RETRY_AFTER_MS = 200
_ANSWER_TIME_MARGIN = 2.0
"""Time allowed for a call in a drain, in multiples of the time that the
slowest calls of its route took."""

_FINAL_CODES = (RefusalCode.NO_ROUTE, RefusalCode.UNKNOWN_KEY)
"""Refusals that a repetition of the call would get again."""

_MAX_HELD_CALLS = 256
HOLD_US = 2_000_000
"""Default of the longest time for which a call is held."""


class RouteCalls(System):
    """Finds the route of each new call and offers its first attempt.

    A call is held for a limited time if there are no rules yet, or if no
    backend server of the service is available. After a node's start, or while
    the backend servers of a service restart one after the other, callers then
    wait instead of getting an error. A call of an account with a quota waits
    for its token before the first attempt.

    Parameters
    ----------
    hold_us
        Longest time in µs for which a call is held.
    drain
        Progress of this node's drain.
    answer_times
        Times that calls of each route took.
    evidence
        How recently the rules in force were known to be the newest.
    has_lenders
        Whether lenders grant tokens. Without them, no quota is enforced.
    """

    consumes = (
        CallArrived,
        CallerGone,
        DirectoryChanged,
        HoldExpired,
        RulesInForce,
        TokenSettled,
    )

    def __init__(
        self,
        rules: RulesTable,
        tables: EntryTables,
        offers: Offers,
        retries: RetryPolicy,
        hold_us: int = HOLD_US,
        drain: DrainRow | None = None,
        answer_times: AnswerTimes | None = None,
        evidence: EvidenceRow | None = None,
        has_lenders: bool = False,
    ):
        self._rules = rules
        self._tables = tables
        self._offers = offers
        self._retries = retries
        self._hold_us = hold_us
        self._drain = drain or DrainRow()
        self._answer_times = answer_times or AnswerTimes()
        self._evidence = evidence or EvidenceRow()
        self._has_lenders = has_lenders
        self._service_chooser = WeightedServiceChooser()
        self._wait_estimator = CallerWaitEstimator()

    def run(self, tick: Tick) -> None:
        """Route new calls, and held calls if rules or upstreams changed."""
        held = self._tables.held
        for arrived in tick.take(CallArrived):
            self._tables.counters.calls += 1
            if self._drain.is_grace_period_over:
                # Callers had the grace period to learn that this node drains.
                # A call that arrives now might not be answered before the
                # process exits.
                code = RefusalCode.DRAINING
                self._refuse(tick, arrived.call_id, _UNAVAILABLE, code)
                continue
            self._route(tick, arrived, tick.now_us)
        for gone in tick.take(CallerGone):
            self._abandon(tick, gone.call_id)
        for settled in tick.take(TokenSettled):
            self._apply_token(tick, settled)
        new_rules, changes = tick.take(RulesInForce), tick.take(DirectoryChanged)
        if new_rules and not self._has_lenders:
            self._note_ignored_quotas(tick)
        if new_rules or changes:
            for row in list(held):
                self._route(tick, row.arrived, row.arrived_us)
        for expired in tick.take(HoldExpired):
            held_call = held.pop(expired.call_id)
            if held_call is not None:
                self._refuse(tick, expired.call_id, _UNAVAILABLE, held_call.code)

    def _route(
        self,
        tick: Tick,
        arrived: CallArrived,
        arrived_us: Micros,
    ) -> None:
        in_force = self._rules.in_force
        if in_force is None:
            budget_us = arrived.budget_us or self._hold_us
            self._hold(tick, arrived, arrived_us, budget_us, RefusalCode.NO_RULES)
            return
        route = match_route(in_force.rules, arrived.method, arrived.host, arrived.path)
        if route is None:
            self._abandon(tick, arrived.call_id)
            self._refuse(tick, arrived.call_id, _NOT_FOUND, RefusalCode.NO_ROUTE)
            return
        access = decide_access(
            in_force.rules, route, arrived.key_digest, self._evidence, tick.now_us
        )
        if isinstance(access, RefusalCode):
            self._abandon(tick, arrived.call_id)
            is_unknown = access is RefusalCode.UNKNOWN_KEY
            status = _UNAUTHORIZED if is_unknown else _UNAVAILABLE
            self._refuse(tick, arrived.call_id, status, access)
            return
        budget_us = route.timeout_ms * 1000
        if arrived.budget_us is not None:
            budget_us = min(budget_us, arrived.budget_us)
        call = CallRow(arrived.call_id, arrived, route, Micros(arrived_us + budget_us))
        call.arrived_us = arrived_us
        _apply_access(call, access)
        call.waited_us = self._wait_estimator.waited_us(route, arrived.budget_us)
        if self._has_returned_early(tick, call):
            return
        if self._may_outlast_process(tick, call):
            self._abandon(tick, arrived.call_id)
            code = RefusalCode.DRAINING
            self._refuse(tick, arrived.call_id, _UNAVAILABLE, code)
            return
        call.version = in_force.version
        call.chosen_service = self._service_chooser.choose(route, tick.random)
        account = access.account
        is_limited = account is not None and account.has_quota
        if account is not None and is_limited and self._has_lenders:
            self._end_hold(tick, arrived.call_id)
            self._tables.quota_waits.put(call.call_id, QuotaWaitRow(call))
            tick.post(TokenNeeded(call.call_id, account.name, call.deadline_us))
            return
        self._start(tick, call)

    def _start(self, tick: Tick, call: CallRow) -> None:
        """Offer the first attempt of a call, or hold the call."""
        if call.deadline_us <= tick.now_us or not self._offers.offer(tick, call):
            code = RefusalCode.NO_BACKEND_SERVER
            budget_us = call.deadline_us - call.arrived_us
            # A token counts for its window only, and the hold may be long.
            _return_token(tick, call.token)
            self._hold(tick, call.arrived, call.arrived_us, budget_us, code)
            return
        self._end_hold(tick, call.call_id)
        self._tables.calls.put(call.call_id, call)
        self._retries.record_call_start(call, tick.now_us)
        self._offers.set_next_step(tick, call)

    def _note_ignored_quotas(self, tick: Tick) -> None:
        in_force = self._rules.in_force
        accounts = in_force.rules.accounts if in_force is not None else ()
        count = sum(account.has_quota for account in accounts)
        if count:
            detail = f"{count} accounts; the settings give no data centres"
            tick.emit(Noted(Event.QUOTAS_IGNORED, detail=detail))

    def _apply_token(self, tick: Tick, settled: TokenSettled) -> None:
        """Start a call that got its token, or refuse one that got none."""
        row = self._tables.quota_waits.pop(settled.call_id)
        if row is None:
            _return_token(tick, settled.grant)
        elif settled.verdict is TokenVerdict.DENIED:
            code, after_ms = RefusalCode.QUOTA, settled.retry_after_ms
            self._refuse(tick, settled.call_id, _TOO_MANY_REQUESTS, code, after_ms)
        elif settled.verdict is TokenVerdict.NO_LENDER:
            code = RefusalCode.QUOTA_UNKNOWN
            self._refuse(tick, settled.call_id, _UNAVAILABLE, code)
        elif row.call.deadline_us <= tick.now_us:
            _return_token(tick, settled.grant)
            self._refuse(tick, settled.call_id, _TIMED_OUT, RefusalCode.DEADLINE)
        else:
            row.call.token = settled.grant
            self._start(tick, row.call)

    def _has_returned_early(self, tick: Tick, call: CallRow) -> bool:
        """Refuse a call whose caller was asked to return later."""
        returned = take_return(self._tables, call, tick.now_us)
        if returned is None:
            return False
        if call.account is not None:
            # Without accounts, returning callers that start before the others
            # of their rank make more of these wait in vain (pattern `burst`).
            call.waited_us = max(call.waited_us, returned.waited_us)
        if not returned.early_us:
            return False
        self._abandon(tick, call.call_id)
        counters = self._tables.counters
        counters.early_returns += 1
        counters.refused_calls += 1
        code, retry_after_ms = RefusalCode.QUEUE_FULL, 1 + returned.early_us // 1000
        tick.emit(
            CallRefusal(
                call.call_id, _UNAVAILABLE, code, Outcome.NOT_RUN, retry_after_ms
            )
        )
        return True

    def _may_outlast_process(self, tick: Tick, call: CallRow) -> bool:
        """Return whether this process may stop before it has the answer.

        The call may take its whole time budget. If that is longer than the
        whole drain, what earlier calls of the route needed counts instead, but
        only if the call may be repeated elsewhere.
        """
        drain = self._drain
        if drain.state is NodeState.SERVING:
            return False
        needed_us: float = call.deadline_us - tick.now_us
        slowest_us = self._answer_times.slowest_us(call.route)
        is_long = needed_us > drain.end_us - drain.started_us
        if is_long and call.route.idempotent and slowest_us is not None:
            needed_us = min(needed_us, slowest_us * _ANSWER_TIME_MARGIN)
        return tick.now_us + needed_us > drain.end_us

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
        held.put(call_id, HeldCallRow(arrived, arrived_us, code))
        # A fifth of the time budget stays free for an attempt after the hold.
        hold_end_us = arrived_us + min(self._hold_us, budget_us * 4 // 5)
        tick.set_timer(("held", call_id), Micros(hold_end_us), HoldExpired(call_id))

    def _abandon(self, tick: Tick, call_id: CallId) -> None:
        """End the wait of a call that will have no attempt."""
        if call_id in self._tables.held:
            self._end_hold(tick, call_id)
        elif self._tables.quota_waits.pop(call_id) is not None:
            tick.post(TokenUnneeded(call_id))

    def _end_hold(self, tick: Tick, call_id: CallId) -> None:
        if self._tables.held.pop(call_id) is not None:
            tick.cancel_timer(("held", call_id))

    def _refuse(
        self,
        tick: Tick,
        call_id: CallId,
        status: int,
        code: RefusalCode,
        retry_after_ms: int | None = _RETRY_AFTER_MS,
    ) -> None:
        self._tables.counters.refused_calls += 1
        if code in _FINAL_CODES:
            retry_after_ms = None
        elif code is RefusalCode.DRAINING:
            # Callers have left for other nodes when the grace period ends.
            grace_ms = -((tick.now_us - self._drain.grace_end_us) // 1000)
            retry_after_ms = max(_MIN_DRAIN_RETRY_AFTER_MS, grace_ms)
        tick.emit(CallRefusal(call_id, status, code, Outcome.NOT_RUN, retry_after_ms))


def _return_token(tick: Tick, token: TokenGrant | None) -> None:
    if token is not None:
        tick.post(TokenUnused(token))


def _apply_access(call: CallRow, access: AccessGrant) -> None:
    account = access.account
    if account is not None:
        call.account, call.account_rank = account.name, account.rank
