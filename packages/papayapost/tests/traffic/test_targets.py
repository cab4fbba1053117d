"""Order of attempts at the owner node when rules set latency targets."""

from papayapost.ids import CallId, Micros
from papayapost.states import Rank
from papayapost.traffic import (
    CallArrived,
    OfferSend,
    RefusalCode,
    TrafficOptions,
)
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import RULES, Owner, refusals, sent_messages, started

TARGET_RULES = """\
route GET /gusts/* -> gusts idempotent=yes timeout_ms=2000 target_ms=700 # Mei: desk
route GET /looks/* -> gusts idempotent=yes timeout_ms=2000 target_ms=700 # Mei: desk
"""


class TargetedOwner(Owner):
    def __init__(self, slots=1):
        own = backend_row("owner", "gusts", slots=slots)
        options = TrafficOptions(has_exact_slots=True, has_targets=True)
        super().__init__(node=traffic_world(own, [], RULES, options=options))

    def targeted_offer(self, target_ms, rank=Rank.NORMAL, budget_ms=2_000):
        return self.offer(
            rank,
            target_us=Micros(target_ms * 1000),
            budget_us=Micros(budget_ms * 1000),
        )

    def fill_slot(self):
        offer = self.targeted_offer(1_000)
        assert started(self.tick(offer)) == [offer.attempt_id]
        return offer


def test_an_attempt_that_can_meet_its_target_runs_before_an_earlier_late_one():
    owner = TargetedOwner()
    first = owner.fill_slot()
    late, timely = owner.targeted_offer(10), owner.targeted_offer(900)
    owner.tick(late)
    owner.tick(timely)
    effects = owner.end(first.attempt_id, after_us=50_000)
    assert started(effects) == [timely.attempt_id]
    effects = owner.end(timely.attempt_id)
    assert started(effects) == [late.attempt_id]


def test_an_urgent_attempt_that_can_meet_its_target_runs_first():
    owner = TargetedOwner()
    first = owner.fill_slot()
    normal, urgent = owner.targeted_offer(900), owner.targeted_offer(900, Rank.URGENT)
    owner.tick(normal)
    owner.tick(urgent)
    assert started(owner.end(first.attempt_id)) == [urgent.attempt_id]


def test_attempts_past_their_target_are_refused_beyond_the_number_of_slots():
    owner = TargetedOwner(slots=1)
    owner.fill_slot()
    late = [owner.targeted_offer(0) for _ in range(3)]
    effects = owner.tick(*late)
    refused = refusals(effects)
    assert set(refused.values()) == {RefusalCode.QUEUE_FULL}
    assert list(refused) == [offer.attempt_id for offer in late[1:]]


def test_a_flood_of_urgent_attempts_leaves_other_ranks_a_share():
    owner = TargetedOwner(slots=1)
    running = owner.fill_slot()
    owner.tick(owner.targeted_offer(60_000, Rank.BULK, budget_ms=90_000))
    ranks = []
    for _ in range(60):
        owner.tick(owner.targeted_offer(60_000, Rank.URGENT, budget_ms=90_000))
        (attempt_id,) = started(owner.end(running.attempt_id))
        running = owner.tables.attempts.require(attempt_id).offer
        ranks.append(running.rank)
    assert Rank.BULK in ranks
    assert ranks.count(Rank.URGENT) > 50


def test_a_queued_attempt_is_refused_when_its_time_left_is_too_short_to_run():
    owner = TargetedOwner(slots=1)
    for _ in range(4):
        offer = owner.fill_slot()
        owner.end(offer.attempt_id, after_us=200_000)
    owner.fill_slot()
    waiting = owner.targeted_offer(1_000, budget_ms=1_000)
    assert not refusals(owner.tick(waiting))
    effects = owner.tick(after_us=750_000)
    assert refusals(effects) == {waiting.attempt_id: RefusalCode.DEADLINE}
    assert not len([row for row in owner.tables.attempts if row.offer is waiting])


def test_an_attempt_is_refused_at_once_if_its_expected_wait_is_too_long():
    owner = TargetedOwner(slots=1)
    owner.fill_slot()
    owner.tick(owner.targeted_offer(1_500))
    offer = owner.targeted_offer(900, budget_ms=1_000)
    effects = owner.tick(offer, after_us=700_000)
    (refused,) = sent_messages(effects)
    assert (refused.attempt_id, refused.code) == (
        offer.attempt_id,
        RefusalCode.DEADLINE,
    )
    assert refused.retry_after_ms >= 500


def test_a_short_queue_refuses_no_attempt():
    owner = TargetedOwner(slots=1)
    owner.fill_slot()
    owner.tick(owner.targeted_offer(1_500))
    assert not sent_messages(owner.tick(owner.targeted_offer(900), after_us=100_000))


def test_a_refusal_after_a_wait_in_the_queue_gives_a_retry_time():
    owner = TargetedOwner(slots=1)
    owner.fill_slot()
    first, second = owner.targeted_offer(1_500), owner.targeted_offer(1_500)
    owner.tick(first)
    owner.tick(second, after_us=200_000)
    refused = sent_messages(owner.tick(after_us=1_100_000))
    assert first.attempt_id in [message.attempt_id for message in refused]
    assert all(message.retry_after_ms >= 500 for message in refused)


def remaining_targets_ms(*calls):
    """Route calls of given paths and time budgets at a new entry node.

    Returns the time in ms that each offer has left until its latency target.
    """
    owner = backend_row("owner", "gusts", slots=9)
    world = traffic_world(backend_row("entry", None), [owner], TARGET_RULES).world
    remaining_ms = []
    for number, (path, budget_ms) in enumerate(calls, 1):
        budget_us = Micros(budget_ms * 1000)
        arrived = CallArrived(CallId(number), "GET", "wind", path, budget_us)
        effects = world.tick(Micros(number * 1000), [arrived])
        (offered,) = (e for e in effects if isinstance(e, OfferSend))
        remaining_ms.append(offered.offer.target_us // 1000)
    return remaining_ms


def test_a_repeated_call_has_less_time_left_until_its_target():
    first, slightly_shorter, second, last = remaining_targets_ms(
        ("/gusts/a", 2_000), ("/gusts/a", 1_800), ("/gusts/a", 1_500), ("/gusts/a", 600)
    )
    assert first == slightly_shorter
    assert 0 < second < first // 2
    assert last == 0


def test_long_time_budgets_of_one_route_do_not_affect_another_route():
    _, first = remaining_targets_ms(("/looks/a", 3_000), ("/gusts/a", 2_000))
    assert first > 600


def owner_with_refused_urgent_attempt():
    """Return an owner whose only slot is taken for 200 ms at a time."""
    owner = TargetedOwner(slots=1)
    for _ in range(4):
        offer = owner.fill_slot()
        owner.end(offer.attempt_id, after_us=200_000)
    owner.fill_slot()
    urgent = owner.targeted_offer(600, Rank.URGENT)
    assert refusals(owner.tick(urgent)) == {urgent.attempt_id: RefusalCode.DEADLINE}
    return owner


def test_less_urgent_attempts_do_not_queue_where_urgent_ones_are_refused():
    owner = owner_with_refused_urgent_attempt()
    patient = owner.targeted_offer(1_900)
    assert refusals(owner.tick(patient)) == {patient.attempt_id: RefusalCode.DEADLINE}


def test_less_urgent_attempts_queue_again_when_urgent_ones_are_not_refused():
    owner = owner_with_refused_urgent_attempt()
    assert not refusals(owner.tick(owner.targeted_offer(1_900), after_us=600_000))


def test_the_attempt_of_a_rank_whose_target_passes_first_starts_first():
    owner = TargetedOwner()
    running = owner.fill_slot()
    patient, hurried = owner.targeted_offer(900), owner.targeted_offer(300)
    owner.tick(patient)
    owner.tick(hurried)
    assert started(owner.end(running.attempt_id)) == [hurried.attempt_id]
