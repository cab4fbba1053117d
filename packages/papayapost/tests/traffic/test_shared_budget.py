"""Retries within a retry budget that all nodes of the mesh share."""

from random import Random

import pytest

from papayapost.ids import CallId, Micros
from papayapost.membership import directory_table
from papayapost.rules import compile_rules
from papayapost.states import Outcome
from papayapost.traffic import (
    AttemptRefused,
    CallArrived,
    RefusalCode,
    SharedBudget,
    TrafficOptions,
    WindowedRetries,
)
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost_testing.traffic_worlds import backend_row

from .test_balancing import Entry, only, refusal_in

RATIO, SLACK, WINDOW_US = 0.2, 60.0, 10_000_000
SHARED_RULES = (
    "route * /* -> gusts idempotent=yes retries=2 timeout_ms=2000 target_ms=500"
    " # Mei: wind desk\n"
)
ROUTE = compile_rules(SHARED_RULES).routes[0]


def make_call(number: int) -> CallRow:
    arrived = CallArrived(CallId(number), "GET", "w", "/a")
    return CallRow(arrived.call_id, arrived, ROUTE, Micros(2_000_000))


def make_policies(nodes: int) -> list[WindowedRetries]:
    directory = directory_table()
    for number in range(nodes):
        row = backend_row(f"n{number}", "gusts")
        directory.put(row.node_id, row)
    budget = SharedBudget(RATIO, SLACK, WINDOW_US)
    return [WindowedRetries(budget, directory) for _ in range(nodes)]


@pytest.mark.parametrize("calls_per_s", [0, 5, 200])
@pytest.mark.parametrize("nodes", [1, 3, 12])
def test_the_nodes_stay_within_the_shared_budget_in_every_window(nodes, calls_per_s):
    random = Random(nodes)
    policies = make_policies(nodes)
    begun: list[int] = []
    spent: list[int] = []
    for now_ms in range(0, 40_000, 20):
        now_us = now_ms * 1000
        for policy in policies:
            if random.random() < calls_per_s * 0.02 / nodes:
                begun.append(now_us)
                policy.record_call_start(make_call(now_ms), Micros(now_us))
            call = make_call(now_ms)
            policy.next_step(call, 1.0, Micros(now_us))
            while policy.may_retry(call):
                policy.spend(call)
                spent.append(now_us)
    for start_us in range(0, 30_000_000, 500_000):
        end_us = start_us + WINDOW_US
        extra = sum(start_us <= at < end_us for at in spent)
        calls = sum(start_us - WINDOW_US // 2 <= at < end_us for at in begun)
        assert extra <= RATIO * calls + SLACK
    assert spent


CALLS_PER_CALL = 1.4
"""Mean number of calls to the second service that one to the first makes."""


@pytest.mark.parametrize("calls_per_s", [20, 200])
def test_repeats_at_a_second_service_stay_within_the_shared_budget(calls_per_s):
    random = Random(calls_per_s)
    first_policies, second_policies = make_policies(11), make_policies(11)
    begun: list[int] = []
    extra: list[int] = []

    def spend(policy, now_us) -> int:
        call, spent = make_call(1), 0
        policy.next_step(call, 1.0, Micros(now_us))
        while policy.may_retry(call):
            policy.spend(call)
            spent += 1
        return spent

    def begin(policies, now_us):
        random.choice(policies).record_call_start(make_call(1), Micros(now_us))

    for now_ms in range(0, 30_000, 5):
        now_us = now_ms * 1000
        for _ in range(int(calls_per_s * 0.005) or random.random() < 0.1):
            begin(first_policies, now_us)
            for _ in range(1 + (random.random() < CALLS_PER_CALL - 1)):
                begin(second_policies, now_us)
                begun.append(now_us)
        repeated = sum(spend(policy, now_us) for policy in first_policies)
        extra_count = sum(
            1 + (random.random() < CALLS_PER_CALL - 1) for _ in range(repeated)
        )
        extra_count += sum(spend(policy, now_us) for policy in second_policies)
        extra.extend([now_us] * extra_count)
    for start_us in range(0, 20_000_000, 500_000):
        end_us = start_us + WINDOW_US
        repeats = sum(start_us <= at < end_us for at in extra)
        calls = sum(start_us - WINDOW_US // 2 <= at < end_us for at in begun)
        assert repeats <= RATIO * calls + SLACK


def test_refusals_for_want_of_a_free_slot_leave_the_redirects_of_a_call():
    rows = [backend_row(f"u{number}", "gusts") for number in range(8)]
    options = TrafficOptions(shared_budget=SharedBudget(0.2, 56, 10_000_000))
    entry = Entry(rows, SHARED_RULES, options=options)
    offer = only(entry.call())
    codes = [RefusalCode.NO_FREE_SLOT] * 2 + [RefusalCode.DRAINING] * 4
    for code in codes:
        attempt_id, sender = offer.offer.attempt_id, offer.offer.sender
        offer = only(entry.tick(AttemptRefused(sender, attempt_id, code, 20, 0)))
    assert offer.offer.may_queue


def test_a_call_is_refused_at_once_when_even_the_shortest_wait_is_too_long():
    rows = [backend_row(f"u{number}", "gusts") for number in range(8)]
    options = TrafficOptions(shared_budget=SharedBudget(0.2, 56, 10_000_000))
    rules = SHARED_RULES.replace("retries=2", "retries=0")
    entry = Entry(rows, rules, options=options)
    offer = only(entry.call())
    for code in (RefusalCode.NO_FREE_SLOT, RefusalCode.NO_FREE_SLOT, None):
        assert offer.offer.may_queue is (code is None)
        attempt_id, sender = offer.offer.attempt_id, offer.offer.sender
        refused = AttemptRefused(
            sender, attempt_id, code or RefusalCode.DEADLINE, 900, 0
        )
        effects = entry.tick(refused)
        if code is not None:
            offer = only(effects)
    refusal = refusal_in(effects)
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms == 900


def test_an_attempt_that_reached_no_backend_server_costs_no_retry():
    (policy,) = make_policies(1)
    call = make_call(1)
    for code in (RefusalCode.QUEUE_FULL, RefusalCode.DRAINING, RefusalCode.DEADLINE):
        assert policy.costs_no_retry(call, code)
    for code in (RefusalCode.SHED, RefusalCode.LOST):
        assert not policy.costs_no_retry(call, code)
    call.redirects = 4
    assert not policy.costs_no_retry(call, RefusalCode.QUEUE_FULL)


def test_a_hedge_is_due_at_half_of_the_target_or_when_the_attempt_is_slow():
    (policy,) = make_policies(1)
    call = make_call(1)
    step, due_us = policy.next_step(call, 1_000.0, Micros(0))
    assert (step, due_us) == (CallStep.HEDGE, 250_000)
    assert policy.next_step(call, 200_000.0, Micros(0))[1] == 500_000


def test_hedges_count_against_the_retry_limit():
    (policy,) = make_policies(1)
    call = make_call(1)
    for _ in range(2):
        assert policy.next_step(call, 1.0, Micros(0))[0] is CallStep.HEDGE
        policy.record_hedge(call)
    assert policy.next_step(call, 1.0, Micros(0))[0] is CallStep.NONE
    assert not policy.may_retry(call)
