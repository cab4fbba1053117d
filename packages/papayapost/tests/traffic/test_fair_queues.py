"""Tests of the queue in which accounts and kinds of requests take turns."""

from random import Random

import pytest

from papayapost.ids import (
    AccountName,
    Address,
    AttemptId,
    ConnectionEpoch,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.competition import Competition
from papayapost.traffic.owner.fair import FairQueues
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.tables import OwnedRow, OwnedState, Standing
from papayapost.traffic.owner.targeted import TargetedQueues

SLOTS = 4
SERVICE_US = 100_000.0
SECOND_US = 1_000_000
IDLE = [0] * len(Rank)
LARGE = AccountName("large")
SMALL = AccountName("small")


def offer_of(
    number: int,
    account: AccountName | None = None,
    rank: Rank = Rank.NORMAL,
    target_ms: int = 2_000,
) -> AttemptOffer:
    return AttemptOffer(
        NodeId("entry"),
        Address("entry:1"),
        AttemptId(f"a{number}"),
        ConnectionEpoch(1),
        ServiceName("desk"),
        rank,
        True,
        Micros(10 * SECOND_US),
        None,
        target_us=Micros(target_ms * 1000),
        rule_target_us=Micros(target_ms * 1000),
        account=account,
    )


def row_of(offer: AttemptOffer, now_us: int) -> OwnedRow:
    deadline_us = Micros(now_us + offer.budget_us)
    return OwnedRow(offer, Micros(now_us), deadline_us, OwnedState.QUEUED)


def push(queue: QueueDiscipline, offer: AttemptOffer, now_us: int = 0) -> OwnedRow:
    row = row_of(offer, now_us)
    queue.record_ask(offer, Micros(now_us))
    assert queue.push(row) == []
    return row


def start_next(queue: QueueDiscipline, now_us: int = 0) -> OwnedRow | None:
    row = queue.pop(IDLE, SLOTS)
    if row is not None:
        row.started_us = Micros(now_us)
        queue.started(row, SERVICE_US)
    return row


def test_attempts_without_accounts_are_served_as_before():
    # Deployments that name no accounts must not be served in another order.
    random = Random(3)
    before, after = TargetedQueues(SLOTS), FairQueues(SLOTS)
    for number in range(2_000):
        now_us = number * 20_000
        offer = offer_of(
            number,
            rank=random.choice(list(Rank)),
            target_ms=random.choice((300, 900, 3_000)),
        )
        refused = []
        for queue in (before, after):
            queue.record_ask(offer, Micros(now_us))
            row = row_of(offer, now_us)
            gone = [*queue.advance(Micros(now_us)), *queue.push(row)]
            refused.append([row.offer.attempt_id for row in gone])
        assert refused[0] == refused[1]
        if random.random() < 0.8:
            started = [start_next(queue, now_us) for queue in (before, after)]
            assert started[0] == started[1]


def test_calls_of_running_requests_start_before_new_work_of_any_rank():
    queue = FairQueues(SLOTS)
    push(queue, offer_of(1, SMALL, Rank.URGENT, target_ms=500))
    call = push(queue, offer_of(2, None, Rank.BULK))
    assert queue.standing(call.offer) is Standing.INNER_CALL
    assert start_next(queue) is call


def test_attempts_queued_before_the_first_account_was_seen_can_be_removed():
    queue = FairQueues(SLOTS)
    first = push(queue, offer_of(1))
    push(queue, offer_of(2, SMALL))
    queue.remove(first)
    assert len(queue) == 1


def test_calls_of_running_requests_leave_slots_to_new_work():
    # A flood of calls without an account must not starve other requests.
    queue = FairQueues(SLOTS)
    started = {"call": 0, "new": 0}
    for number in range(0, 600, 3):
        now_us = number * 20_000
        for offer in (
            offer_of(number, None),
            offer_of(number + 1, None),
            offer_of(number + 2, SMALL),
        ):
            queue.record_ask(offer, Micros(now_us))
            queue.push(row_of(offer, now_us))
        row = start_next(queue, now_us)
        assert row is not None
        started["call" if row.offer.account is None else "new"] += 1
        queue.advance(Micros(now_us))
    assert started["new"] > 0.25 * started["call"]


@pytest.mark.parametrize("per_s", [6, 40])
def test_an_account_that_sends_far_more_than_usual_exceeds_its_share(per_s):
    competition = run_starts({SMALL: 5, LARGE: 5}, {SMALL: 5, LARGE: per_s})
    assert SMALL not in competition.excess_us
    assert (LARGE in competition.excess_us) == (per_s == 40)


def test_no_account_exceeds_its_share_in_a_burst_of_all():
    competition = run_starts({SMALL: 1, LARGE: 10}, {SMALL: 4, LARGE: 40})
    assert not competition.excess_us


def run_starts(
    usual_per_s: dict[AccountName, int], burst_per_s: dict[AccountName, int]
) -> Competition:
    """Start attempts for 20 s at the usual rates, then 2 s at others."""
    competition = Competition()
    for second in range(22):
        per_s = usual_per_s if second < 20 else burst_per_s
        for tenth in range(10):
            now_us = Micros(second * SECOND_US + tenth * SECOND_US // 10)
            competition.advance(now_us, SERVICE_US)
            for account, count in per_s.items():
                for _ in range(count * (tenth + 1) // 10 - count * tenth // 10):
                    competition.record_start(offer_of(0, account), SERVICE_US)
    competition.advance(Micros(22 * SECOND_US), SERVICE_US)
    return competition


def test_attempts_of_an_account_over_its_share_start_last_and_are_refused_first():
    queue = FairQueues(SLOTS)
    surge_us = 20 * SECOND_US
    for number in range(200):
        account = LARGE if number % 2 else SMALL
        row = row_of(offer_of(number, account), number * 100_000)
        row.started_us = row.arrived_us
        queue.started(row, SERVICE_US)
    for number in range(60):
        row = row_of(offer_of(number, LARGE), surge_us + number * 10_000)
        row.started_us = row.arrived_us
        queue.started(row, SERVICE_US)
    now_us = surge_us + SECOND_US
    first = push(queue, offer_of(1_000, LARGE), now_us)
    second = push(queue, offer_of(1_001, SMALL), now_us)
    assert queue.standing(first.offer) is Standing.OVER_SHARE
    others = [
        push(queue, offer_of(1_002 + number, SMALL), now_us)
        for number in range(2 * SLOTS)
    ]
    refused = queue.advance(Micros(now_us + 100_000))
    assert refused == [first]
    assert start_next(queue, now_us) in (second, *others)


def test_a_kind_that_gets_no_slots_is_served_after_some_time():
    # More urgent requests than slots must not starve the least urgent ones.
    queue = FairQueues(SLOTS)
    kinds: list[AttemptOffer] = []
    for number in range(0, 400, 2):
        now_us = number * 25_000
        for offer in (
            offer_of(number, SMALL, Rank.URGENT, target_ms=1_000),
            offer_of(number + 1, LARGE, Rank.BULK, target_ms=9_000),
        ):
            queue.record_ask(offer, Micros(now_us))
            queue.push(row_of(offer, now_us))
        row = start_next(queue, now_us)
        assert row is not None
        kinds.append(row.offer)
        queue.advance(Micros(now_us))
    bulk = sum(offer.rank is Rank.BULK for offer in kinds)
    assert bulk > 0.25 * len(kinds) / 2
