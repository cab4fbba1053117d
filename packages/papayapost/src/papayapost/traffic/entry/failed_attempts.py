"""System of the entry node for attempts that end without an answer."""

from papayapost.ids import AttemptId, CallId
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.states import LinkClass
from papayapost.traffic.entry.offers import (
    Offers,
    close_call,
    refuse_call,
    remove_attempt,
    set_step,
)
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.tables import (
    AttemptRow,
    AttemptState,
    CallRow,
    CallStep,
    EntryTables,
)
from papayapost.traffic.entry.upstream_tracking import OutlierEjector
from papayapost.traffic.entry.upstreams import UpstreamRow, Upstreams
from papayapost.traffic.internal import AttemptDoubted, AttemptLost, CallStepDue
from papayapost.traffic.messages import (
    AttemptFailed,
    AttemptRefused,
    CallExpired,
    CutAnswer,
    OfferUndelivered,
    RefusalCode,
)

__all__ = ["HandleFailedAttempts"]

_MAX_FULL_PAUSE_US = 300_000
"""Longest time for which an upstream counts as full after a refusal. Within
that time, slots and links of an owner node become free and full again."""

_MAX_FAILING_SERVERS = 2
"""Number of refusals because a backend server fails, after which the next
server is tried even if it fails too."""

_FULL_CODES = frozenset(
    [
        RefusalCode.EVICTED,
        RefusalCode.NO_FREE_SLOT,
        RefusalCode.QUEUE_FULL,
        RefusalCode.SERVER_FAILING,
        RefusalCode.SHED,
    ]
)
_FULL_NEAR_CODES = frozenset(
    [RefusalCode.DEADLINE, RefusalCode.EVICTED, RefusalCode.QUEUE_FULL]
)
_FAILURE_CODES = frozenset([RefusalCode.UNREACHABLE, RefusalCode.WRONG_SERVICE])


class HandleFailedAttempts(System):
    """Retries calls that may run again, and refuses the others.

    A call may be retried only if all earlier attempts were refused as not run,
    or if its rule is idempotent. A refusal states whether the call may have
    run.
    """

    consumes = (
        AttemptRefused,
        OfferUndelivered,
        AttemptDoubted,
        AttemptLost,
        AttemptFailed,
        CallStepDue,
    )

    def __init__(
        self,
        tables: EntryTables,
        upstreams: Upstreams,
        offers: Offers,
        retries: RetryPolicy,
        ejector: OutlierEjector,
    ):
        self._tables = tables
        self._upstreams = upstreams
        self._offers = offers
        self._retries = retries
        self._ejector = ejector

    def run(self, tick: Tick) -> None:
        """Process ended attempts and the due steps of calls."""
        for refused in tick.take(AttemptRefused):
            self._handle_refusal(tick, refused)
        for undelivered in tick.take(OfferUndelivered):
            self._handle_undelivered(tick, undelivered.attempt_id)
        for doubted in tick.take(AttemptDoubted):
            self._replace_doubted(tick, doubted.attempt_id)
        for lost in tick.take(AttemptLost):
            self._handle_lost(tick, lost.attempt_id, is_reported_by_owner=False)
        for failed in tick.take(AttemptFailed):
            self._handle_lost(tick, failed.attempt_id, is_reported_by_owner=True)
        for due in tick.take(CallStepDue):
            self._take_step(tick, due.call_id)

    def _handle_refusal(self, tick: Tick, refused: AttemptRefused) -> None:
        attempt = remove_attempt(self._tables, refused.attempt_id)
        if attempt is None:
            return
        upstream, call = attempt.upstream, self._call_of(attempt)
        upstream.report(refused.free_slots, tick.now_us)
        if refused.link_wait_ms is not None:
            wait_us = refused.link_wait_ms * 1000
            upstream.report_link(wait_us, tick.now_us)
            pause_us = min(wait_us, _MAX_FULL_PAUSE_US)
            upstream.link_full_until_us = tick.now_us + pause_us
        else:
            self._note_wait(tick, refused, attempt)
        if refused.code is RefusalCode.SHED:
            upstream.sample_outcome(False, tick.now_us)
        if refused.code is RefusalCode.DRAINING:
            self._mark_draining(upstream, call)
        if call is None:
            return
        call.retry_after_ms = refused.retry_after_ms
        call.link_refusals += refused.link_wait_ms is not None
        _note_refusal(call, upstream, refused.code)
        is_across = upstream.distance is LinkClass.ACROSS
        if is_across and refused.code is RefusalCode.NO_FREE_SLOT:
            service = self._upstreams.service(call.service, tick.now_us)
            service.refused_across(tick.now_us)
        if refused.code in _FAILURE_CODES:
            self._record_failure(tick, call, upstream)
        self._record_not_run(tick, call, refused.attempt_id, refused.code)

    def _note_wait(
        self, tick: Tick, refused: AttemptRefused, attempt: AttemptRow
    ) -> None:
        """Store for how long attempts have to wait at an upstream."""
        upstream = attempt.upstream
        upstream.expected_wait_us = refused.retry_after_ms * 1000
        if refused.code is RefusalCode.NO_FREE_SLOT:
            # The owner node refuses such an attempt at once. If the refusal
            # took long, it has waited on a slow link, as an answer would.
            upstream.expected_wait_us += tick.now_us - attempt.offered_us
        if refused.code in _FULL_CODES:
            pause_us = min(upstream.expected_wait_us, _MAX_FULL_PAUSE_US)
            upstream.full_until_us = tick.now_us + pause_us

    def _handle_undelivered(self, tick: Tick, attempt_id: AttemptId) -> None:
        attempt = remove_attempt(self._tables, attempt_id)
        call = self._call_of(attempt)
        if attempt is None or call is None:
            return
        self._record_failure(tick, call, attempt.upstream)
        self._record_not_run(tick, call, attempt_id, RefusalCode.UNREACHABLE)

    def _handle_lost(
        self, tick: Tick, attempt_id: AttemptId, is_reported_by_owner: bool
    ) -> None:
        attempt = self._tables.attempts.get(attempt_id)
        call = self._call_of(attempt)
        if attempt is None or call is None:
            return
        if is_reported_by_owner:
            remove_attempt(self._tables, attempt_id)
        else:
            # The offer may still be queued and be sent after a reconnect, so
            # that it must be cancelled.
            self._offers.cancel(tick, attempt_id)
        call.outstanding.remove(attempt_id)
        call.may_have_run = True
        self._record_failure(tick, call, attempt.upstream)
        if attempt.state is AttemptState.ANSWERING:
            close_call(tick, self._tables, call)
            tick.emit(CutAnswer(call.call_id, attempt_id))
            return
        self._continue_call(tick, call, RefusalCode.LOST)

    def _replace_doubted(self, tick: Tick, attempt_id: AttemptId) -> None:
        """Try another upstream if the call may run again, or wait on.

        Without another attempt, an answer that comes late is better than an
        error that says nothing about the outcome.
        """
        call = self._call_of(self._tables.attempts.get(attempt_id))
        if call is None or call.outstanding != [attempt_id]:
            return
        if call.route.idempotent and self._has_time(tick, call):
            self._give_up_attempt(tick, call)

    def _record_not_run(
        self, tick: Tick, call: CallRow, attempt_id: AttemptId, code: RefusalCode
    ) -> None:
        call.outstanding.remove(attempt_id)
        call.refused.append(attempt_id)
        self._continue_call(tick, call, code)

    def _continue_call(self, tick: Tick, call: CallRow, code: RefusalCode) -> None:
        """Wait for another outstanding attempt, try again, or end the call."""
        call.last_code = code
        if call.outstanding:
            return
        if call.may_have_run and not call.route.idempotent:
            self._end_unknown(tick, call)
        elif code in _FULL_NEAR_CODES and self._cross(tick, call):
            return
        elif self._retries.costs_no_retry(call, code):
            # Without enough time or an untried upstream, the conditions of an
            # ordinary retry decide whether the call goes on or ends.
            if not (self._has_time(tick, call) and self._redirect(tick, call)):
                self._retry_or_end(tick, call, code)
        else:
            self._retry_or_end(tick, call, code)

    def _retry_or_end(self, tick: Tick, call: CallRow, code: RefusalCode) -> None:
        """Retry the call within its retry limit and budget, or end it."""
        is_final = code is RefusalCode.DUPLICATE or not self._may_retry(call)
        if is_final or not self._has_time(tick, call):
            self._end(tick, call)
        else:
            self._retry_after_pause(tick, call)

    def _has_time(self, tick: Tick, call: CallRow) -> bool:
        return call.route.target_ms is None or self._offers.has_time(tick, call)

    def _redirect(self, tick: Tick, call: CallRow) -> bool:
        """Offer the call to another upstream without counting a retry."""
        if not (
            self._offers.offer(tick, call) or self._offer_despite_failures(tick, call)
        ):
            return False
        if call.last_code is not RefusalCode.NO_FREE_SLOT:
            call.redirects += 1
        self._tables.counters.redirects += 1
        self._offers.set_next_step(tick, call)
        return True

    def _cross(self, tick: Tick, call: CallRow) -> bool:
        """Offer a call whose wait would be too long near to another region."""
        if not (self._offers.may_cross(tick, call) and self._has_time(tick, call)):
            return False
        call.is_refused_near = True
        is_offered = self._redirect(tick, call)
        call.is_refused_near = False
        self._tables.counters.crossings += is_offered
        return is_offered

    def _offer_despite_failures(self, tick: Tick, call: CallRow) -> bool:
        """Offer the call to a failing server again if there is no other."""
        is_refused = call.last_code is RefusalCode.SERVER_FAILING
        if call.despite_failures or not is_refused:
            return False
        call.despite_failures = True
        call.tried.pop()
        return self._offers.offer(tick, call)

    def _may_retry(self, call: CallRow) -> bool:
        if self._retries.may_retry(call):
            return True
        if call.retries < call.route.retries:
            self._tables.counters.budget_denials += 1
        return False

    def _retry_after_pause(self, tick: Tick, call: CallRow) -> None:
        pause_us = self._retries.pause_us(call, tick.random)
        if pause_us:
            set_step(tick, call, CallStep.RETRY, tick.now_us + pause_us)
        else:
            self._retry(tick, call)

    def _retry(self, tick: Tick, call: CallRow) -> None:
        if not self._offers.offer(tick, call):
            self._end(tick, call)
            return
        self._retries.spend(call)
        call.retries += 1
        self._tables.counters.retries += 1
        self._offers.set_next_step(tick, call)

    def _take_step(self, tick: Tick, call_id: CallId) -> None:
        call = self._tables.calls.get(call_id)
        if call is None:
            return
        if tick.now_us >= call.deadline_us:
            tick.post(CallExpired(call_id))
        elif call.step is CallStep.HEDGE:
            self._hedge(tick, call)
        elif call.step is CallStep.GIVE_UP_ATTEMPT:
            self._give_up_attempt(tick, call)
        elif call.step is CallStep.RETRY:
            self._retry_if_still_allowed(tick, call)

    def _retry_if_still_allowed(self, tick: Tick, call: CallRow) -> None:
        if self._may_retry(call):
            self._retry(tick, call)
        else:
            self._end(tick, call)

    def _hedge(self, tick: Tick, call: CallRow) -> None:
        call.is_hedged = True
        if self._retries.may_hedge(call) and self._offers.offer(tick, call):
            self._retries.spend(call)
            self._retries.record_hedge(call)
            self._tables.counters.hedges += 1
        self._offers.set_next_step(tick, call)

    def _give_up_attempt(self, tick: Tick, call: CallRow) -> None:
        """Replace the unanswered attempts by one at another backend server.

        If no retry is allowed or there is no other upstream, the attempts go
        on until the deadline.
        """
        unanswered_ids = list(call.outstanding)
        if not (self._may_retry(call) and self._offers.offer(tick, call)):
            set_step(tick, call, CallStep.NONE, 0)
            return
        for attempt_id in unanswered_ids:
            attempt = self._tables.attempts.require(attempt_id)
            service = self._upstreams.service(call.service, tick.now_us)
            self._ejector.unanswered(tick, attempt, service)
            self._offers.cancel(tick, attempt_id)
            call.outstanding.remove(attempt_id)
            call.may_have_run = True
        self._retries.spend(call)
        call.retries += 1
        self._tables.counters.retries += 1
        self._offers.set_next_step(tick, call)

    def _end(self, tick: Tick, call: CallRow) -> None:
        if call.may_have_run:
            self._end_unknown(tick, call)
        else:
            refuse_call(tick, self._tables, call, call.last_code)

    def _end_unknown(self, tick: Tick, call: CallRow) -> None:
        refuse_call(tick, self._tables, call, RefusalCode.LOST)
        tick.emit(Noted(Event.OUTCOME_UNKNOWN, call_id=call.call_id))

    def _mark_draining(self, upstream: UpstreamRow, call: CallRow | None) -> None:
        upstream.is_draining = True
        if call is not None:
            self._upstreams.remove_node(call.service, upstream.node_id)

    def _record_failure(self, tick: Tick, call: CallRow, upstream: UpstreamRow) -> None:
        service = self._upstreams.service(call.service, tick.now_us)
        self._ejector.failed(tick, upstream, service)

    def _call_of(self, attempt: AttemptRow | None) -> CallRow | None:
        return None if attempt is None else self._tables.calls.get(attempt.call_id)


def _note_refusal(call: CallRow, upstream: UpstreamRow, code: RefusalCode) -> None:
    """Record in a call what a refusal says about its further attempts."""
    if code is RefusalCode.NO_FREE_SLOT:
        # The attempt did not wait there, so a later one may.
        call.tried.remove(upstream.node_id)
        call.is_refused_across |= upstream.distance is LinkClass.ACROSS
    elif code is RefusalCode.SERVER_FAILING:
        call.failing_servers += 1
        if call.failing_servers >= _MAX_FAILING_SERVERS:
            call.despite_failures = True
