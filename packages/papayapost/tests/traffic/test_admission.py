import pytest

from papayapost.ids import ConnectionEpoch, Incarnation, Micros, NodeId
from papayapost.states import Rank
from papayapost.traffic import (
    AttemptFailed,
    BackendCallCancel,
    BackendCallEnded,
    DropOffer,
    RefusalCode,
)
from papayapost.traffic.owner.concurrency import FixedLimit
from papayapost.traffic.owner.seen import Novelty, SeenAttempts
from papayapost_testing.bench.flood import CAPACITY_PER_S, Flood, run_flood
from papayapost_testing.worlds import backend_row, traffic_world

from .owners import Owner, refusals, started, told

SHARES = """\
route * /* -> gusts idempotent=yes # Mei: wind desk
share bulk floor=20% ceiling=50% # Mei: archive
"""


@pytest.mark.parametrize("flooding", Rank)
def test_every_rank_keeps_its_floor_in_a_flood_of_another(flooding):
    flood = Flood(flooding, load=5, duration_s=4, others_share=0.2)
    figures = run_flood(flood, traffic_world(backend_row("owner", "gusts")).world)
    floors = {Rank.HIGH: 0.1, Rank.NORMAL: 0.1, Rank.BULK: 0.05}
    for rank, floor in floors.items():
        share = figures.answered[rank] / (CAPACITY_PER_S * flood.duration_s)
        assert share >= 0.9 * floor, rank
    if flooding is not Rank.URGENT:
        assert figures.goodput(Rank.URGENT) == 1
        assert figures.wait_p99_ms(Rank.URGENT) < 20


def test_the_most_urgent_attempt_starts_first():
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


def test_a_full_queue_gives_way_to_more_urgent_work_only():
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


def test_an_urgent_flood_leaves_each_rank_with_a_floor_its_places():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    owner.tick(*[owner.offer(Rank.URGENT) for _ in range(16)])
    bulk = [owner.offer(Rank.BULK) for _ in range(7)]
    refused = refusals(owner.tick(*bulk))
    assert refused.pop(bulk[-1].attempt_id) is RefusalCode.QUEUE_FULL
    assert set(refused.values()) == {RefusalCode.EVICTED}
    assert len(refused) == 6


def test_the_queue_is_bounded_in_bytes():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    big = [owner.offer(content_bytes=3 << 20) for _ in range(2)]
    refused = refusals(owner.tick(*big))
    assert refused == {big[1].attempt_id: RefusalCode.QUEUE_FULL}


def test_a_rank_above_its_ceiling_leaves_a_slot_for_the_next_urgent_attempt():
    owner = Owner(slots=4, rules=SHARES)
    effects = owner.tick(*[owner.offer(Rank.BULK) for _ in range(8)])
    assert len(started(effects)) == 3
    urgent = owner.offer(Rank.URGENT)
    assert started(owner.tick(urgent)) == [urgent.attempt_id]


def test_what_cannot_be_answered_in_time_takes_no_slot():
    owner = Owner(slots=1)
    first, second = owner.offer(), owner.offer(budget_us=Micros(25_000))
    owner.tick(first)
    owner.tick(second)
    effects = owner.end(first.attempt_id, after_us=20_000)
    assert refusals(effects) == {second.attempt_id: RefusalCode.DEADLINE}
    third = owner.offer(budget_us=Micros(10_000))
    assert refusals(owner.tick(third)) == {third.attempt_id: RefusalCode.DEADLINE}
    after_a_pause = owner.offer(budget_us=Micros(10_000))
    assert started(owner.tick(after_a_pause, after_us=3_000_000))


def test_long_work_of_a_rank_does_not_refuse_its_short_work():
    owner = Owner(slots=2)
    for held_us in [5_000, 400_000] * 20:
        offer = owner.offer()
        owner.tick(offer)
        owner.end(offer.attempt_id, after_us=held_us)
    short = owner.offer(budget_us=Micros(50_000))
    assert started(owner.tick(short)) == [short.attempt_id]


def test_a_fixed_limit_uses_all_slots_also_while_the_backend_server_sheds():
    limit = FixedLimit(9)
    limit.shed(Micros(1))
    limit.ended(Rank.URGENT, 1_000_000, True, Micros(2))
    assert limit.limit == 9


def test_an_attempt_that_waits_past_its_deadline_is_refused_at_its_deadline():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    late = owner.offer(budget_us=Micros(5_000))
    owner.tick(late)
    assert owner.node.world.next_due_us() <= owner.now_us + 5_000
    refused = refusals(owner.tick(after_us=5_000))
    assert refused == {late.attempt_id: RefusalCode.DEADLINE}


def test_fewer_slots_are_used_while_the_backend_server_sheds():
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


def test_fewer_slots_are_used_while_the_backend_server_is_slow():
    owner = Owner(slots=8)
    running = started(owner.tick(*[owner.offer() for _ in range(32)]))
    for held_us in [10_000] * 30 + [400_000] * 20:
        running += started(owner.end(running.pop(0), after_us=held_us // 8))
        running += started(owner.tick(owner.offer()))
    assert owner.tables.limit < 8


def test_a_replayed_offer_starts_once_and_is_not_called_not_run():
    owner = Owner()
    offer = owner.offer()
    assert started(owner.tick(offer, offer)) == [offer.attempt_id]
    again = owner.tick(offer)
    assert not started(again)
    assert not told(again)
    owner.end(offer.attempt_id)
    after = owner.tick(offer)
    assert not started(after)
    assert not told(after)
    assert owner.tables.counters.replayed == 3


def test_a_replay_of_a_waiting_offer_keeps_its_request():
    owner = Owner(slots=1)
    owner.tick(owner.offer())
    offer = owner.offer()
    assert not [e for e in owner.tick(offer, offer) if isinstance(e, DropOffer)]


def test_an_offer_of_an_older_connection_is_refused_as_not_run():
    owner = Owner()
    old = owner.offer(epoch=ConnectionEpoch(1))
    owner.tick(owner.offer(epoch=ConnectionEpoch(2)))
    assert refusals(owner.tick(old)) == {old.attempt_id: RefusalCode.STALE_EPOCH}
    assert not started(owner.tick(old))


def test_an_offer_of_a_process_that_was_replaced_never_runs():
    owner = Owner()
    owner.tick(owner.offer(incarnation=Incarnation(2)))
    effects = owner.tick(owner.offer(incarnation=Incarnation(1)))
    assert not started(effects)
    assert not told(effects)


def test_an_offer_that_was_cancelled_before_it_arrived_never_runs():
    owner = Owner()
    offer = owner.offer()
    owner.cancel(offer)
    effects = owner.tick(offer)
    assert not started(effects)
    assert [e for e in effects if isinstance(e, DropOffer)]
    assert owner.is_idle()


def test_a_forgotten_attempt_is_still_known_as_a_replay(monkeypatch):
    monkeypatch.setattr("papayapost.traffic.owner.seen._MAX_SEEN", 10)
    owner, seen = Owner(), SeenAttempts()
    offers = [owner.offer() for _ in range(30)]
    assert {seen.classify(offer) for offer in offers} == {Novelty.NEW}
    assert len(seen) == 10
    assert {seen.classify(offer) for offer in offers} == {Novelty.REPLAYED}


def test_a_cancelled_attempt_frees_its_slot_only_when_its_call_has_ended():
    owner = Owner(slots=1)
    running, waiting = owner.offer(), owner.offer()
    owner.tick(running)
    owner.tick(waiting)
    effects = owner.cancel(running)
    assert effects == [BackendCallCancel(running.attempt_id)]
    ended = BackendCallEnded(running.attempt_id, True, False)
    effects = owner.tick(ended)
    assert started(effects) == [waiting.attempt_id]
    assert not told(effects, AttemptFailed)
    owner.end(waiting.attempt_id)
    assert owner.is_idle()


def test_a_call_that_broke_after_it_was_sent_is_not_said_to_be_not_run():
    owner = Owner()
    sent, unsent = owner.offer(), owner.offer()
    owner.tick(sent, unsent)
    effects = owner.tick(BackendCallEnded(sent.attempt_id, True, False))
    assert not refusals(effects)
    assert [m.attempt_id for m in told(effects, AttemptFailed)] == [sent.attempt_id]
    effects = owner.tick(BackendCallEnded(unsent.attempt_id, False, False))
    assert refusals(effects) == {unsent.attempt_id: RefusalCode.UNREACHABLE}


def test_an_offer_to_a_former_process_runs_only_where_twice_does_no_harm():
    owner = Owner()
    own = owner.node.directory.require(NodeId("owner"))
    former = Incarnation(own.incarnation - 1)
    charge = owner.offer(idempotent=False, owner_incarnation=former)
    effects = owner.tick(charge)
    assert DropOffer(charge.attempt_id) in effects
    assert [m.attempt_id for m in told(effects, AttemptFailed)] == [charge.attempt_id]
    assert not refusals(effects)
    assert not started(effects)
    lookup = owner.offer(owner_incarnation=former)
    assert started(owner.tick(lookup)) == [lookup.attempt_id]
    meant = owner.offer(idempotent=False, owner_incarnation=Incarnation(former + 1))
    assert started(owner.tick(meant)) == [meant.attempt_id]
