"""Tests of what refused callers are told, and of callers that return."""

from random import Random

import pytest

from papayapost.ids import CallId, Micros, RequestName
from papayapost.rules import compile_rules
from papayapost.states import Outcome
from papayapost.traffic import AttemptRefused, CallArrived, RefusalCode
from papayapost.traffic.entry.return_times import retry_after_ms
from papayapost.traffic.entry.tables import CallRow
from papayapost_testing.traffic_worlds import backend_row

from .test_balancing import Entry, offers_sent, only, refusal_in

RULES = (
    "route GET /gusts/* -> gusts timeout_ms=8000 retries=0 target_ms=2000 # Mei: desk\n"
)
BUDGET_US = 8_000_000


def call_row(budget_us: int = BUDGET_US, owner_ms: int | None = 50) -> CallRow:
    (route,) = compile_rules(RULES).routes
    arrived = CallArrived(CallId(1), "GET", "wind", "/gusts/a", Micros(budget_us))
    row = CallRow(CallId(1), arrived, route, Micros(budget_us))
    row.arrived_us = Micros(0)
    row.retry_after_ms = owner_ms
    return row


def test_returns_are_spread_from_the_time_of_a_free_slot_on():
    # Callers refused in one moment must not return in one moment.
    random = Random(1)
    times_ms = [retry_after_ms(call_row(), Micros(0), random) for _ in range(400)]
    assert min(times_ms) >= 50
    assert max(times_ms) <= 500
    for low_ms in range(50, 450, 100):
        count = sum(low_ms <= ms < low_ms + 100 for ms in times_ms)
        assert 55 < count < 125


@pytest.mark.parametrize("left_us", [300_000, 1_500_000, 8_000_000])
def test_a_caller_is_asked_to_wait_for_at_most_a_third_of_its_time(left_us):
    row = call_row(left_us, owner_ms=5_000)
    for seed in range(20):
        after_ms = retry_after_ms(row, Micros(0), Random(seed))
        assert after_ms is not None
        assert after_ms * 1000 <= left_us / 3


def test_a_caller_that_was_told_nothing_is_told_nothing():
    assert retry_after_ms(call_row(owner_ms=None), Micros(0), Random(1)) is None


class Caller(Entry):
    """Calls that the only owner node refuses, until told otherwise."""

    def __init__(self):
        super().__init__([backend_row("a", "gusts")], RULES)
        self.deadline_us = self.now_us + BUDGET_US

    def send(self, name="r1", budget_us=None, after_us=10):
        self.calls += 1
        now_us = self.now_us + after_us
        budget_us = self.deadline_us - now_us if budget_us is None else budget_us
        arrived = CallArrived(
            CallId(self.calls),
            "GET",
            "wind",
            "/gusts/a",
            Micros(budget_us),
            name=RequestName(name),
        )
        return self.tick(arrived, after_us=after_us)

    def refused(self, name="r1"):
        offer = only(self.send(name))
        sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
        refused = AttemptRefused(sender, attempt_id, RefusalCode.QUEUE_FULL, 200, 0)
        return refusal_in(self.tick(refused))


def test_a_caller_that_returns_too_early_is_refused_and_waits_no_shorter():
    caller = Caller()
    after_us = caller.refused().retry_after_ms * 1000
    early = caller.send(after_us=after_us // 2)
    assert not offers_sent(early)
    refusal = refusal_in(early)
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms * 1000 >= after_us // 2 - 1_000
    assert caller.node.traffic.calls.counters.early_returns == 1
    assert offers_sent(caller.send(after_us=after_us // 2))


def test_a_caller_that_returns_as_told_is_offered():
    caller = Caller()
    after_us = caller.refused().retry_after_ms * 1000
    assert offers_sent(caller.send(after_us=after_us))
    assert not caller.node.traffic.calls.counters.early_returns


@pytest.mark.parametrize("name", ["", "r1"])
def test_another_request_is_not_taken_for_a_return(name):
    # Requests without a name, or of another caller with the same name.
    caller = Caller()
    caller.refused(name)
    budget_us = None if not name else BUDGET_US - 1_000_000
    assert offers_sent(caller.send(name, budget_us=budget_us))
