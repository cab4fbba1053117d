"""System of the entry node for answers, deadlines and departed callers."""

from papayapost.ids import CallId
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.states import LinkClass, NodeState
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.answer_times import AnswerTimes
from papayapost.traffic.entry.link_budget import HEAD_BYTES, LinkBudget
from papayapost.traffic.entry.newcomers import FixedRamp, NewcomerPolicy
from papayapost.traffic.entry.offers import (
    Offers,
    close_call,
    refuse_call,
    remove_attempt,
)
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.tables import (
    AttemptRow,
    AttemptState,
    CallRow,
    EntryTables,
)
from papayapost.traffic.entry.upstream_tracking import OutlierEjector
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.messages import (
    AnswerBegun,
    AnswerEnded,
    AnswerOverdue,
    CallerGone,
    CallExpired,
    DropAnswer,
    ForwardAnswer,
    RefusalCode,
)

__all__ = ["EndCalls"]


class EndCalls(System):
    """Ends calls that are answered, past their deadline or abandoned.

    A call is abandoned when its caller leaves before the answer.
    """

    consumes = (AnswerBegun, AnswerEnded, CallExpired, CallerGone)

    def __init__(
        self,
        tables: EntryTables,
        upstreams: Upstreams,
        offers: Offers,
        retries: RetryPolicy,
        ejector: OutlierEjector,
        link: LinkBudget,
        answer_times: AnswerTimes,
        newcomers: NewcomerPolicy | None = None,
        drain: DrainRow | None = None,
    ):
        self._drain = drain or DrainRow()
        self._newcomers = newcomers or FixedRamp()
        self._tables = tables
        self._upstreams = upstreams
        self._offers = offers
        self._retries = retries
        self._ejector = ejector
        self._link = link
        self._answer_times = answer_times

    def run(self, tick: Tick) -> None:
        """Process answers, expired calls and callers that left."""
        begun_answers = tick.take(AnswerBegun)
        for begun in begun_answers:
            self._begin_answer(tick, begun)
        for ended in tick.take(AnswerEnded):
            self._end_answer(tick, ended)
        for begun in begun_answers:
            self._limit_answer(tick, begun)
        for expired in tick.take(CallExpired):
            self._expire_call(tick, expired.call_id)
        for gone in tick.take(CallerGone):
            self._abandon_call(tick, gone.call_id)

    def _begin_answer(self, tick: Tick, begun: AnswerBegun) -> None:
        attempt = self._tables.attempts.get(begun.attempt_id)
        call = None if attempt is None else self._tables.calls.get(attempt.call_id)
        if attempt is None or call is None:
            self._tables.counters.late_answers += 1
            tick.emit(DropAnswer(begun.attempt_id))
            return
        if attempt.state is AttemptState.ANSWERING:
            return
        self._record_outcome(tick, begun, attempt, call)
        if begun.status in self._retries.bad_statuses and self._replace_bad_answer(
            tick, call, attempt
        ):
            return
        attempt.state = AttemptState.ANSWERING
        tick.cancel_timer(("call", call.call_id))
        if len(call.outstanding) > 1:
            self._cancel_others(tick, call, attempt)
        # An answer that has begun cannot be replaced if a node stops midway.
        is_stopping = self._drain.state is NodeState.DRAINING
        until_whole = is_stopping or attempt.upstream.is_draining
        tick.emit(ForwardAnswer(call.call_id, attempt.attempt_id, until_whole))

    def _limit_answer(self, tick: Tick, begun: AnswerBegun) -> None:
        """Set the deadline of an answer that has begun, but not ended."""
        attempt = self._tables.attempts.get(begun.attempt_id)
        if attempt is None or attempt.state is not AttemptState.ANSWERING:
            return
        call = self._tables.calls.get(attempt.call_id)
        if call is not None:
            expired = CallExpired(call.call_id)
            tick.set_timer(("call", call.call_id), call.deadline_us, expired)

    def _record_outcome(
        self, tick: Tick, begun: AnswerBegun, attempt: AttemptRow, call: CallRow
    ) -> None:
        upstream = attempt.upstream
        upstream.report(begun.free_slots, tick.now_us)
        service = self._upstreams.service(call.service, tick.now_us)
        if begun.status in self._retries.bad_statuses:
            self._ejector.failed(tick, upstream, service)
            return
        latency_us = tick.now_us - attempt.offered_us
        upstream.sample_latency(latency_us, tick.now_us)
        service.sample_latency(latency_us)
        self._newcomers.sample(call, upstream, latency_us, tick.now_us)
        self._ejector.succeeded(tick, upstream)
        self._retries.succeeded(call)

    def _replace_bad_answer(self, tick: Tick, call: CallRow, bad: AttemptRow) -> bool:
        """Drop a bad answer if another attempt may give a better one.

        A bad answer is dropped only if the rule of the call is idempotent. The
        other attempt is one that is outstanding, or a new one within the retry
        limit and the retry budget.

        Returns
        -------
        bool
            Whether the bad answer was dropped.
        """
        if not call.route.idempotent:
            return False
        if len(call.outstanding) == 1:
            if not (self._retries.may_retry(call) and self._offers.offer(tick, call)):
                return False
            self._retries.spend(call)
            call.retries += 1
            self._tables.counters.retries += 1
            self._offers.set_next_step(tick, call)
        call.outstanding.remove(bad.attempt_id)
        call.may_have_run = True
        self._offers.cancel(tick, bad.attempt_id)
        tick.emit(DropAnswer(bad.attempt_id))
        return True

    def _cancel_others(self, tick: Tick, call: CallRow, winner: AttemptRow) -> None:
        for attempt_id in call.outstanding:
            if attempt_id != winner.attempt_id:
                self._offers.cancel(tick, attempt_id)
        call.outstanding = [winner.attempt_id]

    def _end_answer(self, tick: Tick, ended: AnswerEnded) -> None:
        attempt = remove_attempt(self._tables, ended.attempt_id)
        if attempt is None:
            return
        if attempt.upstream.distance is LinkClass.ACROSS:
            self._link.charge(HEAD_BYTES + ended.body_bytes)
        call = self._tables.calls.get(attempt.call_id)
        if call is not None:
            duration_us = tick.now_us - call.arrived_us
            self._answer_times.add_sample(call.route, duration_us)
            close_call(tick, self._tables, call)

    def _expire_call(self, tick: Tick, call_id: CallId) -> None:
        call = self._tables.calls.get(call_id)
        if call is None:
            return
        for attempt_id in call.outstanding:
            attempt = self._tables.attempts.require(attempt_id)
            if attempt.state is AttemptState.ANSWERING:
                tick.emit(AnswerOverdue(call_id, attempt_id))
                return
            service = self._upstreams.service(call.service, tick.now_us)
            self._ejector.unanswered(tick, attempt, service)
        call.may_have_run = call.may_have_run or bool(call.outstanding)
        self._offers.cancel_attempts(tick, call)
        refuse_call(tick, self._tables, call, RefusalCode.DEADLINE)
        if call.may_have_run:
            tick.emit(Noted(Event.OUTCOME_UNKNOWN, call_id=call_id))

    def _abandon_call(self, tick: Tick, call_id: CallId) -> None:
        call = self._tables.calls.get(call_id)
        if call is not None:
            self._offers.cancel_attempts(tick, call)
            close_call(tick, self._tables, call)
