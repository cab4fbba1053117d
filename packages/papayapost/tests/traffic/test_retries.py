import pytest

from papayapost.ids import CallId, Micros
from papayapost.membership import DirectoryChanged
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AnswerOverdue,
    AttemptCancel,
    AttemptFailed,
    AttemptRefused,
    CallerGone,
    CutAnswer,
    DropAnswer,
    ForwardAnswer,
    OwnerConnectionLost,
    RefusalCode,
)
from papayapost_testing.bench.retries import retry_rows
from papayapost_testing.traffic_worlds import SOUTH_1, backend_row

from .test_balancing import Entry, offers_sent, only, refusal_in

RULES = """\
route GET /gusts/* -> gusts idempotent=yes retries=2 timeout_ms=400 # Mei: wind desk
route GET /hedged/* -> gusts idempotent=yes hedge_ms=50 timeout_ms=400 # Mei: desk
route POST /bookings -> gusts retries=2 timeout_ms=400 # Mei: festival
"""


class RetryEntry(Entry):
    def __init__(self):
        self.rows = [backend_row(name, "gusts") for name in "abc"]
        super().__init__(self.rows, RULES)

    def call_not_idempotent(self):
        return self.call("/bookings", method="POST")

    def refuse(self, offer, code=RefusalCode.QUEUE_FULL):
        sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
        return self.tick(AttemptRefused(sender, attempt_id, code, 50, 0))

    def fail(self, offer):
        return self.tick(AttemptFailed(offer.offer.sender, offer.offer.attempt_id, 0))

    def is_idle(self):
        tables = self.node.traffic.calls
        rows = self.node.traffic.upstreams.rows
        left = [row for row in rows if row.attempts]
        return not (len(tables.calls) or len(tables.attempts) or left)


def cancelled(effects):
    messages = [e.message for e in effects if isinstance(e, PeerSend)]
    return [m.attempt_id for m in messages if isinstance(m, AttemptCancel)]


def test_a_call_that_is_not_idempotent_is_retried_only_after_a_refusal():
    entry = RetryEntry()
    first = only(entry.call_not_idempotent())
    second = only(entry.refuse(first))
    assert second.address != first.address
    assert second.offer.refused_attempts == (first.offer.attempt_id,)
    ended = refusal_in(entry.fail(second))
    assert (ended.status, ended.outcome) == (502, Outcome.UNKNOWN)
    assert entry.is_idle()


def test_a_call_that_is_not_idempotent_ends_as_unknown_when_its_owner_is_lost():
    entry = RetryEntry()
    offer = only(entry.call_not_idempotent())
    effects = entry.tick(OwnerConnectionLost(offer.address))
    assert not offers_sent(effects)
    assert refusal_in(effects).outcome is Outcome.UNKNOWN
    assert entry.is_idle()


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_an_attempt_at_a_silent_owner_is_not_broken_off_for_an_error(is_idempotent):
    entry = RetryEntry()
    offer = only(entry.call() if is_idempotent else entry.call_not_idempotent())
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    if is_idempotent:
        # No other backend server is left to which the call could go.
        for other in entry.rows:
            if other is not row:
                other.state = BackendServerState.DRAINING
                entry.tick(DirectoryChanged((other,)))
    row.state = BackendServerState.GONE
    assert not entry.tick(DirectoryChanged((row,)))
    effects = entry.answer(offer)
    assert ForwardAnswer(CallId(1), offer.offer.attempt_id) in effects
    assert entry.is_idle()


def test_a_call_at_a_drained_owner_waits_for_its_last_answer():
    entry = RetryEntry()
    offer = only(entry.call())
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    for state in (BackendServerState.DRAINING, BackendServerState.GONE):
        row.state = state
        assert not entry.tick(DirectoryChanged((row,)))
    forwarded = ForwardAnswer(CallId(1), offer.offer.attempt_id, until_whole=True)
    assert forwarded in entry.answer(offer)


@pytest.mark.parametrize("loss", ["connection", "deadline"])
def test_a_call_at_a_silent_owner_ends_as_unknown_in_time(loss):
    entry = RetryEntry()
    offer = only(entry.call_not_idempotent())
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    row.state = BackendServerState.GONE
    assert not entry.tick(DirectoryChanged((row,)))
    if loss == "connection":
        effects = entry.tick(OwnerConnectionLost(offer.address))
    else:
        effects = entry.tick(after_us=400_000)
    assert not offers_sent(effects)
    assert refusal_in(effects).outcome is Outcome.UNKNOWN
    assert entry.is_idle()


def test_a_call_that_a_backend_server_did_not_answer_in_time_gets_504():
    # The owner node tells so after the deadline of its offer, which between
    # regions comes before the call expires here.
    rules = "route POST /bookings -> gusts timeout_ms=4000 link=yes # Mei: festival"
    entry = Entry([backend_row("far", "gusts", SOUTH_1)], rules)
    offer = only(entry.call("/bookings", method="POST"))
    budget_us = offer.offer.budget_us
    failed = AttemptFailed(offer.offer.sender, offer.offer.attempt_id, 0)
    effects = entry.tick(failed, after_us=budget_us + 60_000)
    ended = refusal_in(effects)
    assert (ended.status, ended.outcome) == (504, Outcome.UNKNOWN)


# Nothing limited a call whose answer had begun, so that its caller waited for
# an owner node that stood still until it gave up itself.
def test_an_answer_that_is_not_whole_at_the_deadline_may_stall_no_longer():
    entry = RetryEntry()
    offer = only(entry.call()).offer
    begun = AnswerBegun(offer.sender, offer.attempt_id, 200, 0)
    assert ForwardAnswer(CallId(1), offer.attempt_id) in entry.tick(begun)
    assert not entry.tick(after_us=390_000)
    overdue = AnswerOverdue(CallId(1), offer.attempt_id)
    assert entry.tick(after_us=10_000) == [overdue]
    effects = entry.tick(CallerGone(CallId(1)))
    assert cancelled(effects) == [offer.attempt_id]
    assert entry.is_idle()


def test_an_answer_that_ends_in_time_leaves_no_deadline_behind():
    entry = RetryEntry()
    offer = only(entry.call())
    entry.answer(offer)
    assert not entry.tick(after_us=1_000_000)


def test_an_idempotent_call_is_retried_at_once_when_its_owner_is_silent():
    entry = RetryEntry()
    first = only(entry.call())
    row = next(r for r in entry.rows if r.peer_address == first.address)
    row.state = BackendServerState.GONE
    effects = entry.tick(DirectoryChanged((row,)))
    assert cancelled(effects) == [first.offer.attempt_id]
    second = only(effects)
    assert second.address != first.address
    entry.answer(second)
    assert entry.is_idle()


def test_an_idempotent_call_is_retried_at_once_when_its_owner_is_lost():
    entry = RetryEntry()
    first = only(entry.call())
    effects = entry.tick(OwnerConnectionLost(first.address))
    assert cancelled(effects) == [first.offer.attempt_id]
    second = only(effects)
    assert second.address != first.address
    effects = entry.answer(second)
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in effects
    assert entry.is_idle()


def test_a_call_refused_after_a_lost_attempt_has_an_unknown_outcome():
    entry = RetryEntry()
    second = only(entry.fail(only(entry.call())))
    third = only(entry.refuse(second) or entry.tick(after_us=100_000))
    assert refusal_in(entry.refuse(third)).outcome is Outcome.UNKNOWN


def test_an_answer_is_cut_when_the_connection_to_its_owner_is_lost():
    entry = RetryEntry()
    offer = only(entry.call())
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    entry.tick(AnswerBegun(sender, attempt_id, 200, 1))
    effects = entry.tick(OwnerConnectionLost(offer.address))
    assert CutAnswer(CallId(1), attempt_id) in effects
    assert not offers_sent(effects)
    assert entry.is_idle()


def test_an_arriving_answer_goes_on_after_its_owner_is_wrongly_listed_as_gone():
    entry = RetryEntry()
    offer = only(entry.call())
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    entry.tick(AnswerBegun(sender, attempt_id, 200, 1))
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    row.state = BackendServerState.GONE
    assert not entry.tick(DirectoryChanged((row,)))
    entry.tick(AnswerEnded(sender, attempt_id, True))
    assert entry.is_idle()


def test_an_answer_is_cut_on_a_lost_connection_after_a_wrong_listing_as_gone():
    entry = RetryEntry()
    offer = only(entry.call())
    attempt_id = offer.offer.attempt_id
    entry.tick(AnswerBegun(offer.offer.sender, attempt_id, 200, 1))
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    for state in (BackendServerState.GONE, BackendServerState.READY):
        row.state = state
        assert not entry.tick(DirectoryChanged((row,)))
    assert CutAnswer(CallId(1), attempt_id) in entry.tick(
        OwnerConnectionLost(offer.address)
    )
    assert entry.is_idle()


def test_an_answer_goes_on_after_its_draining_owner_has_closed_its_connections():
    for state in (BackendServerState.DRAINING, BackendServerState.GONE):
        entry = RetryEntry()
        offer = only(entry.call())
        sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
        row = next(r for r in entry.rows if r.peer_address == offer.address)
        row.state = BackendServerState.DRAINING
        entry.tick(DirectoryChanged((row,)))
        entry.tick(AnswerBegun(sender, attempt_id, 200, 1))
        row.state = state
        entry.tick(DirectoryChanged((row,)))
        # The connection to the owner closes before the frames have arrived
        # that the owner sent on its own connection to this node.
        assert not entry.tick(OwnerConnectionLost(offer.address))
        assert not entry.tick(AnswerEnded(sender, attempt_id, True), after_us=4_900_000)
        assert not entry.tick(after_us=10_000_000)
        assert entry.is_idle()


def test_an_answer_that_a_draining_owner_does_not_complete_is_cut_in_time():
    entry = RetryEntry()
    offer = only(entry.call())
    attempt_id = offer.offer.attempt_id
    row = next(r for r in entry.rows if r.peer_address == offer.address)
    row.state = BackendServerState.DRAINING
    entry.tick(DirectoryChanged((row,)))
    entry.tick(AnswerBegun(offer.offer.sender, attempt_id, 200, 1))
    entry.tick(OwnerConnectionLost(offer.address))
    overdue = AnswerOverdue(CallId(1), attempt_id)
    assert entry.tick(after_us=4_900_000) == [overdue]
    assert CutAnswer(CallId(1), attempt_id) in entry.tick(after_us=100_000)
    assert entry.is_idle()


def test_a_late_answer_is_dropped():
    entry = RetryEntry()
    offer = only(entry.call_not_idempotent())
    assert refusal_in(entry.tick(after_us=400_000)).outcome is Outcome.UNKNOWN
    effects = entry.answer(offer)
    assert effects == [DropAnswer(offer.offer.attempt_id)]
    assert entry.node.traffic.calls.counters.late_answers == 1


def test_an_unanswered_attempt_is_replaced_after_half_of_the_time_budget():
    entry = RetryEntry()
    first = only(entry.call())
    effects = entry.tick(after_us=200_000)
    second = only(effects)
    assert cancelled(effects) == [first.offer.attempt_id]
    assert second.address != first.address
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in entry.answer(second)
    assert entry.is_idle()


def test_a_node_whose_tick_comes_after_the_deadline_makes_no_attempt():
    entry = RetryEntry()
    entry.call()
    effects = entry.tick(after_us=500_000)
    assert not offers_sent(effects)
    assert refusal_in(effects).code is RefusalCode.DEADLINE
    assert entry.is_idle()


def test_the_answer_to_a_hedge_cancels_the_first_attempt():
    entry = RetryEntry()
    first = only(entry.call("/hedged/wanli"))
    second = only(entry.tick(after_us=50_000))
    assert second.address != first.address
    effects = entry.answer(second)
    assert cancelled(effects) == [first.offer.attempt_id]
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in effects
    assert entry.answer(first) == [DropAnswer(first.offer.attempt_id)]
    assert entry.is_idle()


def test_a_call_that_is_not_idempotent_is_not_hedged_or_given_up_early():
    entry = RetryEntry()
    entry.call_not_idempotent()
    assert not offers_sent(entry.tick(after_us=399_000))
    assert refusal_in(entry.tick(after_us=1_000)).code is RefusalCode.DEADLINE


def test_only_an_idempotent_call_is_retried_after_a_503_answer():
    entry = RetryEntry()
    first = only(entry.call())
    effects = entry.answer(first, 503)
    assert DropAnswer(first.offer.attempt_id) in effects
    second = only(effects)
    entry.answer(second)
    offer = only(entry.call_not_idempotent())
    effects = entry.answer(offer, 503)
    assert not offers_sent(effects)
    assert ForwardAnswer(CallId(2), offer.offer.attempt_id) in effects
    assert entry.is_idle()


def test_the_attempt_of_a_caller_that_leaves_is_cancelled():
    entry = RetryEntry()
    offer = only(entry.call())
    assert cancelled(entry.tick(CallerGone(CallId(1)))) == [offer.offer.attempt_id]
    assert entry.is_idle()


def test_the_time_budget_of_an_offer_ends_before_the_call_expires():
    entry = RetryEntry()
    offer = only(entry.call_not_idempotent()).offer
    assert Micros(390_000) < offer.budget_us < Micros(400_000)


def test_a_refusal_by_a_draining_owner_costs_no_retry_and_ends_its_attempts():
    entry = RetryEntry()
    first = only(entry.call_not_idempotent())
    second = only(entry.refuse(first, RefusalCode.DRAINING))
    third = only(entry.refuse(second, RefusalCode.DRAINING))
    assert len({first.address, second.address, third.address}) == 3
    assert entry.node.traffic.calls.counters.retries == 0
    assert {only(entry.call()).address for _ in range(6)} == {third.address}


def test_retries_stay_few_when_all_backend_servers_refuse():
    for row in retry_rows(short=True):
        assert row.value <= 1.1, row
        assert row.baseline_value > 1.5, row


def test_successful_calls_refill_the_retry_budget():
    entry = RetryEntry()
    counters = entry.node.traffic.calls.counters
    for _ in range(20):
        effects = entry.call()
        while offers := offers_sent(effects):
            effects = entry.refuse(offers[0])
            entry.tick(after_us=200_000)
    assert counters.retries == 10
    assert counters.budget_denials > 0
    for _ in range(11):
        entry.answer(only(entry.call()))
    entry.refuse(only(entry.call()))
    assert counters.retries == 11
