"""Offers and cancels attempts on behalf of the systems of the entry node."""

from collections.abc import Iterable

from papayapost.ids import AttemptId, Micros
from papayapost.kernel import Tick
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.quota import TokenUnused
from papayapost.states import LinkClass, Outcome
from papayapost.traffic.entry.balancing import BalancingPolicy
from papayapost.traffic.entry.link_budget import HEAD_BYTES, LinkBudget
from papayapost.traffic.entry.newcomers import FixedRamp, NewcomerPolicy
from papayapost.traffic.entry.refused_callers import record_refusal
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.return_times import retry_after_ms
from papayapost.traffic.entry.tables import (
    AttemptRow,
    AttemptState,
    CallRow,
    CallStep,
    EntryTables,
)
from papayapost.traffic.entry.upstreams import UpstreamRow, Upstreams
from papayapost.traffic.internal import CallStepDue
from papayapost.traffic.messages import (
    AttemptCancel,
    AttemptOffer,
    CallExpired,
    CallRefusal,
    ChoiceBasis,
    ForwardAnswer,
    OfferSend,
    RefusalCode,
)
from papayapost.traffic.versions import AnyVersion, VersionPolicy

__all__ = [
    "Offers",
    "close_call",
    "keep_answers",
    "refuse_call",
    "remove_attempt",
    "set_step",
]

# The time budget of an offer ends by this margin before the deadline, so
# that the owner node's refusal as "not run" arrives before the call expires.
_RETURN_MARGIN_US = {
    LinkClass.SELF: 5_000,
    LinkClass.DATA_CENTRE: 9_000,
    LinkClass.REGION: 15_000,
    LinkClass.ACROSS: 90_000,
}
_MARGIN_DIVISOR = 4
"""The margin is at most the remaining time divided by this number."""

_MIN_REMAINING_US = 40_000
"""Least time for a further attempt: two hops within a region and the return
margins of both."""

_MIN_REMAINING_LATENCIES = 0.5
"""Least time for a further attempt, in multiples of the service's latency."""

_MIN_REMAINING_SHARE = 0.3
"""Least time for a further attempt, as a fraction of the call's budget."""

_MAX_PROBES = 2
"""Largest number of attempts of a call that the owner node must start at once
or refuse. The next attempt may queue, so that the number of messages for each
call stays bounded when all slots are taken."""

_STATUS_BY_CODE = {
    RefusalCode.NO_ROUTE: 404,
    RefusalCode.DUPLICATE: 409,
    RefusalCode.DEADLINE: 504,
    RefusalCode.UNREACHABLE: 502,
    RefusalCode.LOST: 502,
}
_UNAVAILABLE = 503


class Offers:
    """Chooses an upstream for a call and offers an attempt to its owner node.

    Parameters
    ----------
    me
        Identity and place of this node.
    policy
        Chooses among the upstreams of a service.
    link
        Limits the bytes on the link between regions.
    retries
        Decides when a call that waits for its answer hedges or gives up its
        attempt.
    versions
        Chooses the attempts that a version on trial gets.
    newcomers
        How upstreams are used that have just started; a ramp if None.
    """

    def __init__(
        self,
        me: SelfRow,
        tables: EntryTables,
        upstreams: Upstreams,
        policy: BalancingPolicy,
        link: LinkBudget,
        retries: RetryPolicy,
        versions: VersionPolicy | None = None,
        newcomers: NewcomerPolicy | None = None,
    ):
        self._newcomers = newcomers or FixedRamp()
        self._me = me
        self._tables = tables
        self._upstreams = upstreams
        self._policy = policy
        self._link = link
        self._retries = retries
        self._versions = versions or AnyVersion()
        self._sequence = 0
        self._prefix = f"{me.node_id}/{me.incarnation:x}/"

    def has_time(self, tick: Tick, call: CallRow) -> bool:
        """Return whether the time left is enough for a further attempt.

        If it is not, the call is refused at once as not run, while the caller
        still has time to call again.
        """
        remaining_us = call.deadline_us - tick.now_us
        service = self._upstreams.service(call.service, tick.now_us)
        total_us = call.deadline_us - call.arrived_us
        min_remaining_us = max(
            _MIN_REMAINING_US,
            service.latency_us * _MIN_REMAINING_LATENCIES,
            total_us * _MIN_REMAINING_SHARE,
        )
        return remaining_us >= min_remaining_us

    def is_due(self, tick: Tick, call: CallRow, upstream: UpstreamRow) -> bool:
        """Return whether the time budget of a call's offer has ended."""
        margin_us = _RETURN_MARGIN_US[upstream.distance]
        return call.deadline_us - tick.now_us <= margin_us

    def offer(self, tick: Tick, call: CallRow) -> bool:
        """Offer an attempt to an upstream that the call has not tried yet.

        Returns
        -------
        bool
            False if there is no such upstream.
        """
        upstream = self._choose(tick, call)
        if upstream is None:
            return False
        if self._upstreams.is_leaving(upstream.node_id):
            self._tables.counters.offers_to_draining += 1
            tick.emit(Noted(Event.OFFER_TO_DRAINING, peer=upstream.node_id))
        self._sequence += 1
        attempt_id = AttemptId(f"{self._prefix}{self._sequence:x}")
        may_queue = len(call.refused) >= _MAX_PROBES or self._policy.is_full(
            upstream, tick.now_us
        )
        offer = self._build_offer(tick, call, attempt_id, upstream, may_queue)
        call.tried.append(upstream.node_id)
        call.outstanding.append(attempt_id)
        upstream.attempts[attempt_id] = None
        self._tables.counters.attempts += 1
        self._tables.attempts.put(
            attempt_id,
            AttemptRow(
                attempt_id,
                call.call_id,
                upstream,
                tick.now_us,
                AttemptState.OFFERED,
            ),
        )
        is_local = upstream.distance is LinkClass.SELF
        if upstream.distance is LinkClass.ACROSS:
            self._link.charge(HEAD_BYTES + (offer.content_bytes or 0))
        basis = _choice_basis(call, upstream, tick.now_us)
        tick.emit(OfferSend(upstream.address, call.call_id, offer, is_local, basis))
        if is_local:
            tick.post(offer)
        return True

    def set_next_step(self, tick: Tick, call: CallRow) -> None:
        """Set the timer of a call after an attempt was offered."""
        service = self._upstreams.service(call.service, tick.now_us)
        step, due_us = self._retries.next_step(call, service.latency_us, tick.now_us)
        set_step(tick, call, step, due_us)

    def cancel_attempts(self, tick: Tick, call: CallRow) -> None:
        """Cancel all outstanding attempts of a call."""
        for attempt_id in call.outstanding:
            self.cancel(tick, attempt_id)
        call.outstanding.clear()

    def cancel(self, tick: Tick, attempt_id: AttemptId) -> None:
        """Remove an outstanding attempt and cancel it at its owner node."""
        attempt = remove_attempt(self._tables, attempt_id)
        if attempt is None:
            return
        cancel = AttemptCancel(self._me.node_id, attempt_id)
        if attempt.upstream.distance is LinkClass.SELF:
            tick.post(cancel)
        else:
            tick.emit(PeerSend(attempt.upstream.address, cancel))

    def _choose(self, tick: Tick, call: CallRow) -> UpstreamRow | None:
        route = call.route
        reach = LinkClass.REGION
        if route.cross_link and self._link.allows(call.rank, tick.now_us):
            reach = LinkClass.ACROSS
        on_trial = self._choose_on_trial(tick, call, reach)
        if on_trial is not None:
            return on_trial
        service = self._upstreams.service(call.service, tick.now_us)
        is_last_resort = route.link_last or call.is_refused_across
        if is_last_resort and any(service.tiers[: LinkClass.ACROSS]):
            reach = LinkClass.REGION
        return self._policy.choose(service, call.tried, reach, tick.now_us, tick.random)

    def _choose_on_trial(
        self, tick: Tick, call: CallRow, reach: LinkClass
    ) -> UpstreamRow | None:
        """Return an upstream of a version on trial, or None for most calls."""
        node_ids = self._versions.trial_nodes(call.service, tick.now_us, tick.random)
        if not node_ids:
            return None
        service = self._upstreams.trial(call.service, node_ids, tick.now_us)
        found = self._policy.choose(
            service, call.tried, reach, tick.now_us, tick.random
        )
        if found is None or self._policy.is_full(found, tick.now_us):
            return None
        return found

    def _build_offer(
        self,
        tick: Tick,
        call: CallRow,
        attempt_id: AttemptId,
        upstream: UpstreamRow,
        may_queue: bool,
    ) -> AttemptOffer:
        route, arrived = call.route, call.arrived
        remaining_us = call.deadline_us - tick.now_us
        margin_us = min(
            _RETURN_MARGIN_US[upstream.distance], remaining_us // _MARGIN_DIVISOR
        )
        return AttemptOffer(
            self._me.node_id,
            self._me.peer_address,
            attempt_id,
            upstream.epoch,
            call.service,
            call.rank,
            route.idempotent,
            Micros(remaining_us - margin_us),
            arrived.idempotency_key,
            self._me.incarnation,
            self._sequence,
            arrived.content_bytes,
            tuple(call.refused),
            upstream.incarnation,
            self._target_remaining_us(tick, call, margin_us),
            may_queue,
            call.despite_failures,
            None if route.target_ms is None else Micros(route.target_ms * 1000),
            call.account,
            self._versions.route_id(call.service, route),
            self._newcomers.sibling_us(call, upstream, tick.now_us),
        )

    def _target_remaining_us(
        self, tick: Tick, call: CallRow, margin_us: int
    ) -> Micros | None:
        target_ms = call.route.target_ms
        if target_ms is None:
            return None
        due_us = call.arrived_us - call.waited_us + target_ms * 1000
        return Micros(max(0, due_us - tick.now_us - margin_us))


def _choice_basis(call: CallRow, upstream: UpstreamRow, now_us: Micros) -> ChoiceBasis:
    is_reported = upstream.reported_us >= 0
    return ChoiceBasis(
        call.arrived.name,
        call.route.line,
        call.version,
        upstream.distance,
        len(upstream.attempts) - 1,
        upstream.free_slots,
        now_us - upstream.reported_us if is_reported else None,
    )


def set_step(tick: Tick, call: CallRow, step: CallStep, due_us: int) -> None:
    """Set the timer of a call to its next step, or else to its deadline."""
    key = ("call", call.call_id)
    if step is CallStep.NONE or due_us >= call.deadline_us:
        call.step = CallStep.NONE
        tick.set_timer(key, call.deadline_us, CallExpired(call.call_id))
    else:
        call.step = step
        tick.set_timer(key, Micros(due_us), CallStepDue(call.call_id))


def remove_attempt(tables: EntryTables, attempt_id: AttemptId) -> AttemptRow | None:
    """Remove an attempt from its table and from its upstream.

    Returns
    -------
    AttemptRow or None
        The removed attempt; None if there was none.
    """
    attempt = tables.attempts.pop(attempt_id)
    if attempt is not None:
        del attempt.upstream.attempts[attempt_id]
    return attempt


def keep_answers(tick: Tick, attempts: Iterable[AttemptRow]) -> None:
    """Begin no answer of some attempts before it is whole.

    A node that stops may lose the rest of it.
    """
    for attempt in attempts:
        if attempt.state is AttemptState.ANSWERING:
            tick.emit(ForwardAnswer(attempt.call_id, attempt.attempt_id, True))


def close_call(tick: Tick, tables: EntryTables, call: CallRow) -> None:
    """Remove a call and its timer."""
    tables.calls.pop(call.call_id)
    tick.cancel_timer(("call", call.call_id))


def refuse_call(
    tick: Tick, tables: EntryTables, call: CallRow, code: RefusalCode
) -> None:
    """End a call with a refusal that says whether the call may have run."""
    close_call(tick, tables, call)
    outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
    if call.token is not None and outcome is Outcome.NOT_RUN:
        tick.post(TokenUnused(call.token))
    counters = tables.counters
    if outcome is Outcome.UNKNOWN:
        counters.unknown_outcomes += 1
    else:
        counters.refused_calls += 1
    status = _STATUS_BY_CODE.get(code, _UNAVAILABLE)
    return_ms = retry_after_ms(call, tick.now_us, tick.random)
    if outcome is Outcome.NOT_RUN and return_ms is not None:
        record_refusal(tables, call, tick.now_us, return_ms)
    name = call.arrived.name
    tick.emit(CallRefusal(call.call_id, status, code, outcome, return_ms, name))
