"""Retries under a budget that all nodes share."""

from random import Random

import pytest

from papayapost.ids import CallId, Micros
from papayapost.membership import directory_table
from papayapost.rules import compile_rules
from papayapost.traffic import (
    CallArrived,
    RefusalCode,
    SharedBudget,
    WindowedRetries,
)
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost_testing.worlds import backend_row

RATIO, SLACK, WINDOW_US = 0.2, 60.0, 10_000_000
ROUTE = compile_rules(
    "route * /* -> gusts idempotent=yes retries=2 timeout_ms=2000 target_ms=500"
    " # Mei: wind desk\n"
).routes[0]


def call_of(number: int) -> CallRow:
    arrived = CallArrived(CallId(number), "GET", "w", "/a")
    return CallRow(arrived.call_id, arrived, ROUTE, Micros(2_000_000))


def retries_of(nodes: int) -> list[WindowedRetries]:
    directory = directory_table()
    for number in range(nodes):
        row = backend_row(f"n{number}", "gusts")
        directory.put(row.node_id, row)
    budget = SharedBudget(RATIO, SLACK, WINDOW_US)
    return [WindowedRetries(budget, directory) for _ in range(nodes)]


@pytest.mark.parametrize("calls_per_s", [0, 5, 200])
@pytest.mark.parametrize("nodes", [1, 3, 12])
def test_all_nodes_together_stay_within_the_budget_of_any_window(nodes, calls_per_s):
    random = Random(nodes)
    fleet = retries_of(nodes)
    begun: list[int] = []
    spent: list[int] = []
    for now_ms in range(0, 40_000, 20):
        now_us = now_ms * 1000
        for policy in fleet:
            if random.random() < calls_per_s * 0.02 / nodes:
                begun.append(now_us)
                policy.began(call_of(now_ms), Micros(now_us))
            call = call_of(now_ms)
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


CALLS_EACH = 1.4


@pytest.mark.parametrize("calls_per_s", [20, 200])
def test_repeats_of_calls_that_make_calls_stay_within_the_budget(calls_per_s):
    random = Random(calls_per_s)
    callers, called = retries_of(11), retries_of(11)
    begun: list[int] = []
    extra: list[int] = []

    def spend(policy, now_us) -> int:
        call, spent = call_of(1), 0
        policy.next_step(call, 1.0, Micros(now_us))
        while policy.may_retry(call):
            policy.spend(call)
            spent += 1
        return spent

    def begin(fleet, now_us):
        random.choice(fleet).began(call_of(1), Micros(now_us))

    for now_ms in range(0, 30_000, 5):
        now_us = now_ms * 1000
        for _ in range(int(calls_per_s * 0.005) or random.random() < 0.1):
            begin(callers, now_us)
            for _ in range(1 + (random.random() < CALLS_EACH - 1)):
                begin(called, now_us)
                begun.append(now_us)
        repeated = sum(spend(policy, now_us) for policy in callers)
        made = sum(1 + (random.random() < CALLS_EACH - 1) for _ in range(repeated))
        made += sum(spend(policy, now_us) for policy in called)
        extra.extend([now_us] * made)
    for start_us in range(0, 20_000_000, 500_000):
        end_us = start_us + WINDOW_US
        repeats = sum(start_us <= at < end_us for at in extra)
        calls = sum(start_us - WINDOW_US // 2 <= at < end_us for at in begun)
        assert repeats <= RATIO * calls + SLACK


def test_an_attempt_that_no_backend_server_saw_costs_nothing():
    (policy,) = retries_of(1)
    call = call_of(1)
    for code in (RefusalCode.QUEUE_FULL, RefusalCode.DRAINING, RefusalCode.DEADLINE):
        assert policy.is_free(call, code)
    for code in (RefusalCode.SHED, RefusalCode.LOST):
        assert not policy.is_free(call, code)
    call.redirects = 4
    assert not policy.is_free(call, RefusalCode.QUEUE_FULL)


def test_a_call_is_hedged_while_a_second_attempt_is_still_timely():
    (policy,) = retries_of(1)
    call = call_of(1)
    step, due_us = policy.next_step(call, 1_000.0, Micros(0))
    assert (step, due_us) == (CallStep.HEDGE, 250_000)
    assert policy.next_step(call, 200_000.0, Micros(0))[1] == 500_000


def test_hedges_count_against_the_backend_servers_that_a_call_may_reach():
    (policy,) = retries_of(1)
    call = call_of(1)
    for _ in range(2):
        assert policy.next_step(call, 1.0, Micros(0))[0] is CallStep.HEDGE
        policy.hedged(call)
    assert policy.next_step(call, 1.0, Micros(0))[0] is CallStep.NONE
    assert not policy.may_retry(call)
