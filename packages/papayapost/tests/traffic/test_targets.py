"""What a slot is given to when targets count."""

from papayapost.ids import CallId, Micros
from papayapost.states import Rank
from papayapost.traffic import (
    CallArrived,
    OfferSend,
    RefusalCode,
    TrafficOptions,
)
from papayapost_testing.worlds import backend_row, traffic_world

from .owners import RULES, Owner, refusals, started, told

AIMED = """\
route GET /gusts/* -> gusts idempotent=yes timeout_ms=2000 target_ms=700 # Mei: desk
route GET /looks/* -> gusts idempotent=yes timeout_ms=2000 target_ms=700 # Mei: desk
"""


class Targeted(Owner):
    def __init__(self, slots=1):
        own = backend_row("owner", "gusts", slots=slots)
        options = TrafficOptions(has_exact_slots=True, has_targets=True)
        super().__init__(node=traffic_world(own, [], RULES, options=options))

    def aimed(self, target_ms, rank=Rank.NORMAL, budget_ms=2_000):
        return self.offer(
            rank,
            target_us=Micros(target_ms * 1000),
            budget_us=Micros(budget_ms * 1000),
        )

    def busy(self):
        offer = self.aimed(1_000)
        assert started(self.tick(offer)) == [offer.attempt_id]
        return offer


def test_a_timely_attempt_goes_before_a_late_one_that_came_first():
    owner = Targeted()
    first = owner.busy()
    late, timely = owner.aimed(10), owner.aimed(900)
    owner.tick(late)
    owner.tick(timely)
    effects = owner.end(first.attempt_id, after_us=50_000)
    assert started(effects) == [timely.attempt_id]
    effects = owner.end(timely.attempt_id)
    assert started(effects) == [late.attempt_id]


def test_a_timely_attempt_of_an_urgent_rank_goes_first():
    owner = Targeted()
    first = owner.busy()
    usual, urgent = owner.aimed(900), owner.aimed(900, Rank.URGENT)
    owner.tick(usual)
    owner.tick(urgent)
    assert started(owner.end(first.attempt_id)) == [urgent.attempt_id]


def test_late_attempts_beyond_the_slots_are_refused_while_callers_can_come_back():
    owner = Targeted(slots=1)
    owner.busy()
    late = [owner.aimed(0) for _ in range(3)]
    effects = owner.tick(*late)
    refused = refusals(effects)
    assert set(refused.values()) == {RefusalCode.QUEUE_FULL}
    assert list(refused) == [offer.attempt_id for offer in late[1:]]


def test_a_flood_of_the_most_urgent_leaves_other_ranks_a_part():
    owner = Targeted(slots=1)
    running = owner.busy()
    owner.tick(owner.aimed(60_000, Rank.BULK, budget_ms=90_000))
    ranks = []
    for _ in range(60):
        owner.tick(owner.aimed(60_000, Rank.URGENT, budget_ms=90_000))
        (attempt_id,) = started(owner.end(running.attempt_id))
        running = owner.tables.attempts.require(attempt_id).offer
        ranks.append(running.rank)
    assert Rank.BULK in ranks
    assert ranks.count(Rank.URGENT) > 50


def test_a_queued_attempt_is_refused_once_even_a_short_one_no_longer_fits():
    owner = Targeted(slots=1)
    for _ in range(4):
        offer = owner.busy()
        owner.end(offer.attempt_id, after_us=300_000)
    owner.busy()
    waiting = owner.aimed(1_000, budget_ms=1_000)
    owner.tick(waiting)
    effects = owner.tick(after_us=750_000)
    assert refusals(effects) == {waiting.attempt_id: RefusalCode.DEADLINE}
    assert not len([row for row in owner.tables.attempts if row.offer is waiting])


def test_what_would_wait_as_long_as_its_rank_does_is_refused_at_once():
    owner = Targeted(slots=1)
    owner.busy()
    owner.tick(owner.aimed(1_500))
    offer = owner.aimed(900, budget_ms=1_000)
    effects = owner.tick(offer, after_us=700_000)
    (refused,) = told(effects)
    assert (refused.attempt_id, refused.code) == (
        offer.attempt_id,
        RefusalCode.DEADLINE,
    )
    assert refused.retry_after_ms >= 500


def test_a_short_queue_refuses_nobody():
    owner = Targeted(slots=1)
    owner.busy()
    owner.tick(owner.aimed(1_500))
    assert not told(owner.tick(owner.aimed(900), after_us=100_000))


def test_an_attempt_that_waited_in_vain_says_when_to_come_back():
    owner = Targeted(slots=1)
    owner.busy()
    first, second = owner.aimed(1_500), owner.aimed(1_500)
    owner.tick(first)
    owner.tick(second, after_us=200_000)
    refused = told(owner.tick(after_us=1_100_000))
    assert first.attempt_id in [message.attempt_id for message in refused]
    assert all(message.retry_after_ms >= 500 for message in refused)


def lefts(*calls):
    """Offer calls of a path and a time in ms; return the targets left."""
    owner = backend_row("owner", "gusts", slots=9)
    world = traffic_world(backend_row("entry", None), [owner], AIMED).world
    left_ms = []
    for number, (path, budget_ms) in enumerate(calls, 1):
        budget_us = Micros(budget_ms * 1000)
        arrived = CallArrived(CallId(number), "GET", "wind", path, budget_us)
        effects = world.tick(Micros(number * 1000), [arrived])
        (offered,) = (e for e in effects if isinstance(e, OfferSend))
        left_ms.append(offered.offer.target_us // 1000)
    return left_ms


def test_a_caller_who_comes_back_has_used_up_a_part_of_its_target():
    first, patient, second, last = lefts(
        ("/gusts/a", 2_000), ("/gusts/a", 1_800), ("/gusts/a", 1_500), ("/gusts/a", 600)
    )
    assert first == patient
    assert 0 < second < first // 2
    assert last == 0


def test_patient_callers_of_one_route_say_nothing_of_another():
    _, first = lefts(("/looks/a", 3_000), ("/gusts/a", 2_000))
    assert first > 600
