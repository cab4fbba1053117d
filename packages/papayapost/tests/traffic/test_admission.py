from dataclasses import replace

import pytest

from papayapost.ids import ConnectionEpoch, Incarnation, Micros, NodeId
from papayapost.states import Rank
from papayapost.traffic import (
    AnswerBlocked,
    AnswerUnblocked,
    AttemptFailed,
    BackendCallCancel,
    BackendCallEnded,
    DropOffer,
    RefusalCode,
)
from papayapost.traffic.owner.concurrency import FixedLimit
from papayapost.traffic.owner.seen import OfferStatus, SeenAttempts
from papayapost_testing.bench.flood import CAPACITY_PER_S, FloodScenario, simulate_flood
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import Owner, refusals, sent_messages, started

SHARES = """\
route * /* -> gusts idempotent=yes # Mei: wind desk
share bulk floor=20% ceiling=50% # Mei: archive
"""


@pytest.mark.parametrize("overloading_rank", Rank)
def test_each_rank_gets_its_floor_when_another_rank_overloads_the_node(
    overloading_rank,
):
    flood = FloodScenario(overloading_rank, load=5, duration_s=4, others_share=0.2)
    figures = simulate_flood(flood, traffic_world(backend_row("owner", "gusts")).world)
    floors = {Rank.HIGH: 0.1, Rank.NORMAL: 0.1, Rank.BULK: 0.05}
    for rank, floor in floors.items():
        share = figures.answered[rank] / (CAPACITY_PER_S * flood.duration_s)
        assert share >= 0.9 * floor, rank
    if overloading_rank is not Rank.URGENT:
        assert figures.goodput(Rank.URGENT) == 1
        assert figures.wait_p99_ms(Rank.URGENT) < 20


def test_the_most_urgent_waiting_attempt_starts_first():
    owner = Owner(slots=1)
    running = owner.offer()
    owner.tick(running)
    waiting = [owner.offer(rank) for rank in reversed(Rank)]
    owner.tick(*waiting)
    order = []
    attempt_id = running.attempt_id
    for _ in waiting:
        (attempt_id,) = started(owner.end(attempt_id))
        order.append(attempt_id)
    assert order == [offer.attempt_id for offer in reversed(waiting)]


def test_an_attempt_that_may_not_queue_is_refused_unless_it_can_start_at_once():
    owner = Owner(slots=1)
    first, second = (replace(owner.offer(), may_queue=False) for _ in range(2))
    assert started(owner.tick(first)) == [first.attempt_id]
    (refused,) = sent_messages(owner.tick(second))
    assert (refused.attempt_id, refused.code) == (
        second.attempt_id,
        RefusalCode.NO_FREE_SLOT,
    )
    assert refused.retry_after_ms > 0


def test_an_owner_on_a_slow_link_takes_no_attempts_behind_its_unsent_answers():
    owner = Owner(slots=1)
    offers = [replace(owner.offer(), may_queue=False) for _ in range(3)]
    owner.tick(offers[0])
    owner.end(offers[0].attempt_id)
    owner.tick(AnswerBlocked(offers[0].attempt_id))
    assert refusals(owner.tick(offers[1]))
    may_queue = owner.offer()
    assert started(owner.tick(may_queue)) == [may_queue.attempt_id]
    owner.end(may_queue.attempt_id)
    owner.tick(AnswerUnblocked(offers[0].attempt_id))
    assert started(owner.tick(offers[2])) == [offers[2].attempt_id]


def test_unsent_answers_do_not_stand_in_the_way_of_the_own_callers():
    owner = Owner(slots=1)
    remote = replace(owner.offer(), may_queue=False)
    local = replace(owner.offer(sender=NodeId("owner")), may_queue=False)
    owner.tick(AnswerBlocked(remote.attempt_id))
    assert refusals(owner.tick(remote))
    assert started(owner.tick(local)) == [local.attempt_id]


def test_a_full_queue_evicts_only_for_a_more_urgent_attempt():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    waiting = [owner.offer(Rank.BULK) for _ in range(16)]
    assert not refusals(owner.tick(*waiting))
    late = owner.offer(Rank.BULK)
    assert refusals(owner.tick(late)) == {late.attempt_id: RefusalCode.QUEUE_FULL}
    urgent = owner.offer(Rank.URGENT)
    newest = waiting[-1].attempt_id
    assert refusals(owner.tick(urgent)) == {newest: RefusalCode.EVICTED}
    assert owner.tables.waiting == 16


def test_a_rank_with_a_floor_evicts_urgent_attempts_up_to_its_reserved_places():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    owner.tick(*[owner.offer(Rank.URGENT) for _ in range(16)])
    bulk = [owner.offer(Rank.BULK) for _ in range(7)]
    refused = refusals(owner.tick(*bulk))
    assert refused.pop(bulk[-1].attempt_id) is RefusalCode.QUEUE_FULL
    assert set(refused.values()) == {RefusalCode.EVICTED}
    assert len(refused) == 6


def test_the_queue_refuses_attempts_beyond_its_byte_limit():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    large = [owner.offer(content_bytes=3 << 20) for _ in range(2)]
    refused = refusals(owner.tick(*large))
    assert refused == {large[1].attempt_id: RefusalCode.QUEUE_FULL}


def test_a_rank_at_its_ceiling_leaves_one_slot_for_an_urgent_attempt():
    owner = Owner(slots=4, rules=SHARES)
    effects = owner.tick(*[owner.offer(Rank.BULK) for _ in range(8)])
    assert len(started(effects)) == 3
    urgent = owner.offer(Rank.URGENT)
    assert started(owner.tick(urgent)) == [urgent.attempt_id]


def test_an_attempt_too_late_to_finish_is_refused_without_taking_a_slot():
    owner = Owner(slots=1)
    first, second = owner.offer(), owner.offer(budget_us=Micros(25_000))
    owner.tick(first)
    owner.tick(second)
    effects = owner.end(first.attempt_id, after_us=20_000)
    assert refusals(effects) == {second.attempt_id: RefusalCode.DEADLINE}
    third = owner.offer(budget_us=Micros(10_000))
    assert refusals(owner.tick(third)) == {third.attempt_id: RefusalCode.DEADLINE}
    after_idle = owner.offer(budget_us=Micros(10_000))
    assert started(owner.tick(after_idle, after_us=3_000_000))


def test_long_attempts_do_not_cause_refusals_of_short_attempts_of_their_rank():
    owner = Owner(slots=2)
    for held_us in [5_000, 400_000] * 20:
        offer = owner.offer()
        owner.tick(offer)
        owner.end(offer.attempt_id, after_us=held_us)
    short = owner.offer(budget_us=Micros(50_000))
    assert started(owner.tick(short)) == [short.attempt_id]


def test_a_fixed_limit_ignores_load_shedding_and_slowness():
    limit = FixedLimit(9)
    limit.shed(Micros(1))
    limit.ended(Rank.URGENT, 1_000_000, True, Micros(2))
    assert limit.limit == 9


def test_a_waiting_attempt_is_refused_at_its_deadline():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    late = owner.offer(budget_us=Micros(5_000))
    owner.tick(late)
    assert owner.node.world.next_due_us() <= owner.now_us + 5_000
    refused = refusals(owner.tick(after_us=5_000))
    assert refused == {late.attempt_id: RefusalCode.DEADLINE}


def test_the_adaptive_limit_falls_during_load_shedding_and_recovers():
    owner = Owner(slots=10)
    running = started(owner.tick(*[owner.offer() for _ in range(40)]))
    assert len(running) == 10
    for _ in range(6):
        running += started(owner.end(running.pop(0), 503, after_us=100_000))
    assert owner.tables.limit <= 2
    for _ in range(100):
        running += started(owner.tick(owner.offer(), owner.offer()))
        running += started(owner.end(running.pop(0)))
    assert owner.tables.limit == 10


def test_the_adaptive_limit_falls_while_the_backend_server_is_slow():
    owner = Owner(slots=8)
    running = started(owner.tick(*[owner.offer() for _ in range(32)]))
    for held_us in [10_000] * 30 + [400_000] * 20:
        running += started(owner.end(running.pop(0), after_us=held_us // 8))
        running += started(owner.tick(owner.offer()))
    assert owner.tables.limit < 8


def test_a_replayed_offer_starts_once_and_is_not_answered():
    owner = Owner()
    offer = owner.offer()
    assert started(owner.tick(offer, offer)) == [offer.attempt_id]
    again = owner.tick(offer)
    assert not started(again)
    assert not sent_messages(again)
    owner.end(offer.attempt_id)
    after = owner.tick(offer)
    assert not started(after)
    assert not sent_messages(after)
    assert owner.tables.counters.replayed == 3


def test_a_replay_does_not_drop_the_request_of_a_waiting_attempt():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    offer = owner.offer()
    assert not [e for e in owner.tick(offer, offer) if isinstance(e, DropOffer)]


def test_an_offer_with_an_older_connection_epoch_is_refused_as_not_run():
    owner = Owner()
    old = owner.offer(epoch=ConnectionEpoch(1))
    owner.tick(owner.offer(epoch=ConnectionEpoch(2)))
    assert refusals(owner.tick(old)) == {old.attempt_id: RefusalCode.STALE_EPOCH}
    assert not started(owner.tick(old))


def test_an_offer_of_an_earlier_entry_process_never_runs():
    owner = Owner()
    owner.tick(owner.offer(incarnation=Incarnation(2)))
    effects = owner.tick(owner.offer(incarnation=Incarnation(1)))
    assert not started(effects)
    assert not sent_messages(effects)


def test_an_offer_cancelled_before_its_arrival_never_runs():
    owner = Owner()
    offer = owner.offer()
    owner.cancel(offer)
    effects = owner.tick(offer)
    assert not started(effects)
    assert [e for e in effects if isinstance(e, DropOffer)]
    assert owner.is_idle()


def test_offers_of_evicted_attempts_are_still_classified_as_replays(monkeypatch):
    monkeypatch.setattr("papayapost.traffic.owner.seen._MAX_SEEN", 10)
    owner, seen = Owner(), SeenAttempts()
    offers = [owner.offer() for _ in range(30)]
    assert {seen.classify(offer) for offer in offers} == {OfferStatus.NEW}
    assert len(seen) == 10
    assert {seen.classify(offer) for offer in offers} == {OfferStatus.REPLAYED}


def test_a_cancelled_attempt_holds_its_slot_until_its_backend_call_ends():
    owner = Owner(slots=1)
    running, waiting = owner.offer(), owner.offer()
    owner.tick(running)
    owner.tick(waiting)
    effects = owner.cancel(running)
    assert effects == [BackendCallCancel(running.attempt_id)]
    ended = BackendCallEnded(running.attempt_id, True, False)
    effects = owner.tick(ended)
    assert started(effects) == [waiting.attempt_id]
    assert not sent_messages(effects, AttemptFailed)
    owner.end(waiting.attempt_id)
    assert owner.is_idle()


def test_a_backend_call_that_breaks_after_sending_is_reported_as_failed():
    owner = Owner()
    sent, unsent = owner.offer(), owner.offer()
    owner.tick(sent, unsent)
    effects = owner.tick(BackendCallEnded(sent.attempt_id, True, False))
    assert not refusals(effects)
    assert [m.attempt_id for m in sent_messages(effects, AttemptFailed)] == [
        sent.attempt_id
    ]
    effects = owner.tick(BackendCallEnded(unsent.attempt_id, False, False))
    assert refusals(effects) == {unsent.attempt_id: RefusalCode.UNREACHABLE}


def test_an_offer_to_an_earlier_owner_process_runs_only_if_idempotent():
    owner = Owner()
    own = owner.node.directory.require(NodeId("owner"))
    earlier_incarnation = Incarnation(own.incarnation - 1)
    charge = owner.offer(idempotent=False, owner_incarnation=earlier_incarnation)
    effects = owner.tick(charge)
    assert DropOffer(charge.attempt_id) in effects
    assert [m.attempt_id for m in sent_messages(effects, AttemptFailed)] == [
        charge.attempt_id
    ]
    assert not refusals(effects)
    assert not started(effects)
    lookup = owner.offer(owner_incarnation=earlier_incarnation)
    assert started(owner.tick(lookup)) == [lookup.attempt_id]
    current = owner.offer(
        idempotent=False, owner_incarnation=Incarnation(earlier_incarnation + 1)
    )
    assert started(owner.tick(current)) == [current.attempt_id]
