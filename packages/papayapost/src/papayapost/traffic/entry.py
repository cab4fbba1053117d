"""Systems of the entry node: from a caller's request to its answer."""

from papayapost.distribution import RulesTable
from papayapost.ids import AttemptId, CallId, ConnectionEpoch, Micros
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow, Directory
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rules import match_route
from papayapost.states import BackendServerState, LinkClass, Outcome
from papayapost.traffic.balancing import BalancingPolicy
from papayapost.traffic.messages import (
    AnswerBegun,
    AnswerEnded,
    AttemptCancel,
    AttemptOffer,
    AttemptRefused,
    CallArrived,
    CallerGone,
    CallExpired,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
    RefusalCode,
)
from papayapost.traffic.tables import (
    AttemptRow,
    AttemptState,
    CallRow,
    TrafficTables,
)

__all__ = ["EndCalls", "RouteCalls", "SettleRefusals"]

_NOT_FOUND = 404
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class Offers:
    """Makes attempts; shared by the first try and by retries.

    Parameters
    ----------
    me
        This node.
    directory
        Backend servers known here.
    policy
        Chooses among those that may take the attempt.
    """

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        tables: TrafficTables,
        policy: BalancingPolicy,
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._policy = policy
        self._sequence = 0

    def offer(self, tick: Tick, call: CallRow) -> bool:
        """Offer the call to a backend server that was not tried yet."""
        row = self._policy.choose(self._candidates(call), tick.random)
        if row is None:
            return False
        self._sequence += 1
        attempt_id = AttemptId(
            f"{self._me.node_id}/{self._me.incarnation:x}/{self._sequence:x}"
        )
        is_local = row.node_id == self._me.node_id
        call.tried.append(row.node_id)
        call.attempt_id = attempt_id
        self._tables.attempts.put(
            attempt_id,
            AttemptRow(
                attempt_id,
                call.call_id,
                row.node_id,
                row.peer_address,
                is_local,
                tick.now_us,
                AttemptState.OFFERED,
            ),
        )
        outstanding = self._tables.outstanding
        outstanding[row.node_id] = outstanding.get(row.node_id, 0) + 1
        offer = self._build(tick, call, attempt_id)
        tick.emit(OfferSend(row.peer_address, call.call_id, offer, is_local))
        if is_local:
            tick.post(offer)
        return True

    def _build(self, tick: Tick, call: CallRow, attempt_id: AttemptId) -> AttemptOffer:
        return AttemptOffer(
            sender=self._me.node_id,
            reply_to=self._me.peer_address,
            attempt_id=attempt_id,
            epoch=ConnectionEpoch(0),
            service=call.route.service,
            rank=call.route.rank,
            idempotent=call.route.idempotent,
            budget_us=Micros(call.deadline_us - tick.now_us),
            idempotency_key=call.arrived.idempotency_key,
        )

    def _candidates(self, call: CallRow) -> list[BackendServerRow]:
        return [
            row
            for row in self._directory.find("service", call.route.service)
            if row.state is BackendServerState.READY
            and row.node_id not in call.tried
            and self._may_reach(call, row)
        ]

    def _may_reach(self, call: CallRow, row: BackendServerRow) -> bool:
        if call.route.cross_link:
            return True
        return self._me.place.distance_to(row.place) is not LinkClass.ACROSS


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
        expired = CallExpired(call.call_id)
        tick.set_timer(("call", call.call_id), call.deadline_us, expired)

    def _refuse(
        self, tick: Tick, call_id: CallId, status: int, code: RefusalCode
    ) -> None:
        tick.emit(CallRefusal(call_id, status, code, Outcome.NOT_RUN))


class SettleRefusals(System):
    """Tries another backend server after a true refusal."""

    consumes = (AttemptRefused,)

    def __init__(self, tables: TrafficTables, offers: Offers):
        self._tables = tables
        self._offers = offers

    def run(self, tick: Tick) -> None:
        """Retry within the rule's limit, else tell the caller."""
        for refused in tick.take(AttemptRefused):
            attempt = forget_attempt(self._tables, refused.attempt_id)
            if attempt is None:
                continue
            call = self._tables.calls.get(attempt.call_id)
            if call is None:
                continue
            may_retry = len(call.tried) <= call.route.retries
            if may_retry and self._offers.offer(tick, call):
                continue
            close_call(tick, self._tables, call)
            tick.emit(
                CallRefusal(
                    call.call_id,
                    _UNAVAILABLE,
                    refused.code,
                    Outcome.NOT_RUN,
                    refused.retry_after_ms,
                )
            )


class EndCalls(System):
    """Ends calls: answered, out of time, or left by their caller."""

    consumes = (AnswerBegun, AnswerEnded, CallExpired, CallerGone)

    def __init__(self, me: SelfRow, tables: TrafficTables):
        self._me = me
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Settle the calls that ended."""
        for begun in tick.take(AnswerBegun):
            self._begin(tick, begun)
        for ended in tick.take(AnswerEnded):
            attempt = forget_attempt(self._tables, ended.attempt_id)
            call = attempt and self._tables.calls.get(attempt.call_id)
            if call:
                close_call(tick, self._tables, call)
        for expired in tick.take(CallExpired):
            self._expire(tick, expired.call_id)
        for gone in tick.take(CallerGone):
            self._abandon(tick, gone.call_id)

    def _begin(self, tick: Tick, begun: AnswerBegun) -> None:
        attempt = self._tables.attempts.get(begun.attempt_id)
        if attempt is None:
            return
        attempt.state = AttemptState.ANSWERING
        tick.cancel_timer(("call", attempt.call_id))
        tick.emit(ForwardAnswer(attempt.call_id, attempt.attempt_id))

    def _expire(self, tick: Tick, call_id: CallId) -> None:
        if self._abandon(tick, call_id):
            refusal = CallRefusal(
                call_id, _GATEWAY_TIMEOUT, RefusalCode.DEADLINE, Outcome.UNKNOWN
            )
            tick.emit(refusal)

    def _abandon(self, tick: Tick, call_id: CallId) -> bool:
        call = self._tables.calls.get(call_id)
        if call is None:
            return False
        close_call(tick, self._tables, call)
        attempt = call.attempt_id and forget_attempt(self._tables, call.attempt_id)
        if attempt:
            cancel = AttemptCancel(self._me.node_id, attempt.attempt_id)
            if attempt.is_local:
                tick.post(cancel)
            else:
                tick.emit(PeerSend(attempt.owner_address, cancel))
        return True


def forget_attempt(tables: TrafficTables, attempt_id: AttemptId) -> AttemptRow | None:
    """Remove an attempt and its place among the outstanding ones."""
    attempt = tables.attempts.pop(attempt_id)
    if attempt is not None:
        tables.outstanding[attempt.owner] -= 1
    return attempt


def close_call(tick: Tick, tables: TrafficTables, call: CallRow) -> None:
    """Remove a call and its timer."""
    tables.calls.pop(call.call_id)
    tick.cancel_timer(("call", call.call_id))
