from papayapost.ids import CallId, Micros
from papayapost.membership import DirectoryChanged
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptCancel,
    AttemptFailed,
    AttemptRefused,
    CallerGone,
    CutAnswer,
    DropAnswer,
    ForwardAnswer,
    OwnerLost,
    RefusalCode,
)
from papayapost_testing.bench.retries import retry_rows
from papayapost_testing.worlds import backend_row

from .test_balancing import Entry, only, refusal, sent

RULES = """\
route GET /gusts/* -> gusts idempotent=yes retries=2 timeout_ms=400 # Mei: wind desk
route GET /hedged/* -> gusts idempotent=yes hedge_ms=50 timeout_ms=400 # Mei: desk
route POST /bookings -> gusts retries=2 timeout_ms=400 # Mei: festival
"""


class Desk(Entry):
    def __init__(self):
        self.rows = [backend_row(name, "gusts") for name in "abc"]
        super().__init__(self.rows, RULES)

    def book(self):
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


def test_a_booking_is_tried_elsewhere_only_after_a_true_refusal():
    desk = Desk()
    first = only(desk.book())
    second = only(desk.refuse(first))
    assert second.address != first.address
    assert second.offer.refused_attempts == (first.offer.attempt_id,)
    ended = refusal(desk.fail(second))
    assert (ended.status, ended.outcome) == (502, Outcome.UNKNOWN)
    assert desk.is_idle()


def test_a_booking_sent_to_a_lost_node_ends_as_unknown_at_once():
    for lose in ("connection", "directory"):
        desk = Desk()
        offer = only(desk.book())
        row = next(r for r in desk.rows if r.peer_address == offer.address)
        if lose == "connection":
            effects = desk.tick(OwnerLost(row.peer_address))
        else:
            row.state = BackendServerState.GONE
            effects = desk.tick(DirectoryChanged((row,)))
        assert not sent(effects)
        assert refusal(effects).outcome is Outcome.UNKNOWN
        assert desk.is_idle()


def test_a_lookup_sent_to_a_lost_node_is_tried_elsewhere_at_once():
    desk = Desk()
    first = only(desk.call())
    effects = desk.tick(OwnerLost(first.address))
    assert cancelled(effects) == [first.offer.attempt_id]
    second = only(effects)
    assert second.address != first.address
    effects = desk.answer(second)
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in effects
    assert desk.is_idle()


def test_a_refusal_after_a_lost_attempt_is_not_called_not_run():
    desk = Desk()
    second = only(desk.fail(only(desk.call())))
    third = only(desk.refuse(second) or desk.tick(after_us=100_000))
    assert refusal(desk.refuse(third)).outcome is Outcome.UNKNOWN


def test_an_answer_that_breaks_off_is_shown_as_cut():
    desk = Desk()
    offer = only(desk.call())
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    desk.tick(AnswerBegun(sender, attempt_id, 200, 1))
    effects = desk.tick(OwnerLost(offer.address))
    assert CutAnswer(CallId(1), attempt_id) in effects
    assert not sent(effects)
    assert desk.is_idle()


def test_an_answer_still_arriving_outlives_a_wrong_verdict_of_the_directory():
    desk = Desk()
    offer = only(desk.call())
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    desk.tick(AnswerBegun(sender, attempt_id, 200, 1))
    row = next(r for r in desk.rows if r.peer_address == offer.address)
    row.state = BackendServerState.GONE
    assert not desk.tick(DirectoryChanged((row,)))
    desk.tick(AnswerEnded(sender, attempt_id, True))
    assert desk.is_idle()


def test_an_answer_is_shown_as_cut_also_after_a_wrong_verdict():
    desk = Desk()
    offer = only(desk.call())
    attempt_id = offer.offer.attempt_id
    desk.tick(AnswerBegun(offer.offer.sender, attempt_id, 200, 1))
    row = next(r for r in desk.rows if r.peer_address == offer.address)
    for state in (BackendServerState.GONE, BackendServerState.READY):
        row.state = state
        assert not desk.tick(DirectoryChanged((row,)))
    assert CutAnswer(CallId(1), attempt_id) in desk.tick(OwnerLost(offer.address))
    assert desk.is_idle()


def test_a_late_answer_is_dropped():
    desk = Desk()
    offer = only(desk.book())
    assert refusal(desk.tick(after_us=400_000)).outcome is Outcome.UNKNOWN
    effects = desk.answer(offer)
    assert effects == [DropAnswer(offer.offer.attempt_id)]
    assert desk.node.traffic.calls.counters.late_answers == 1


def test_a_silent_attempt_gives_half_of_the_time_to_another():
    desk = Desk()
    first = only(desk.call())
    effects = desk.tick(after_us=200_000)
    second = only(effects)
    assert cancelled(effects) == [first.offer.attempt_id]
    assert second.address != first.address
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in desk.answer(second)
    assert desk.is_idle()


def test_a_node_that_wakes_after_the_deadline_makes_no_further_attempt():
    desk = Desk()
    desk.call()
    effects = desk.tick(after_us=500_000)
    assert not sent(effects)
    assert refusal(effects).code is RefusalCode.DEADLINE
    assert desk.is_idle()


def test_a_hedge_wins_and_the_loser_is_cancelled():
    desk = Desk()
    first = only(desk.call("/hedged/wanli"))
    second = only(desk.tick(after_us=50_000))
    assert second.address != first.address
    effects = desk.answer(second)
    assert cancelled(effects) == [first.offer.attempt_id]
    assert ForwardAnswer(CallId(1), second.offer.attempt_id) in effects
    assert desk.answer(first) == [DropAnswer(first.offer.attempt_id)]
    assert desk.is_idle()


def test_a_booking_is_never_hedged_nor_given_up_early():
    desk = Desk()
    desk.book()
    assert not sent(desk.tick(after_us=399_000))
    assert refusal(desk.tick(after_us=1_000)).code is RefusalCode.DEADLINE


def test_a_shed_lookup_is_tried_elsewhere_and_a_shed_booking_is_not():
    desk = Desk()
    first = only(desk.call())
    effects = desk.answer(first, 503)
    assert DropAnswer(first.offer.attempt_id) in effects
    second = only(effects)
    desk.answer(second)
    booking = only(desk.book())
    effects = desk.answer(booking, 503)
    assert not sent(effects)
    assert ForwardAnswer(CallId(2), booking.offer.attempt_id) in effects
    assert desk.is_idle()


def test_a_caller_that_leaves_cancels_its_attempt():
    desk = Desk()
    offer = only(desk.call())
    assert cancelled(desk.tick(CallerGone(CallId(1)))) == [offer.offer.attempt_id]
    assert desk.is_idle()


def test_an_owner_is_asked_to_refuse_before_the_call_expires():
    desk = Desk()
    offer = only(desk.book()).offer
    assert Micros(390_000) < offer.budget_us < Micros(400_000)


def test_a_leaving_owner_costs_no_retry_and_gets_no_further_call():
    desk = Desk()
    first = only(desk.book())
    second = only(desk.refuse(first, RefusalCode.DRAINING))
    third = only(desk.refuse(second, RefusalCode.DRAINING))
    assert len({first.address, second.address, third.address}) == 3
    assert desk.node.traffic.calls.counters.retries == 0
    assert {only(desk.call()).address for _ in range(6)} == {third.address}


def test_a_fleet_that_refuses_everything_is_not_retried_into_collapse():
    for row in retry_rows(short=True):
        assert row.value <= 1.1, row
        assert row.baseline_value > 1.5, row


def test_successes_earn_the_budget_back():
    desk = Desk()
    counters = desk.node.traffic.calls.counters
    for _ in range(20):
        effects = desk.call()
        while offers := sent(effects):
            effects = desk.refuse(offers[0])
            desk.tick(after_us=200_000)
    assert counters.retries == 10
    assert counters.budget_denials > 0
    for _ in range(11):
        desk.answer(only(desk.call()))
    desk.refuse(only(desk.call()))
    assert counters.retries == 11
