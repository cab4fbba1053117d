from random import Random

from papayapost.ids import Address, CallId, Incarnation, Micros
from papayapost.membership import DirectoryChanged
from papayapost.states import BackendServerState, LinkClass, Outcome, Rank
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptRefused,
    CallArrived,
    CallRefusal,
    OfferSend,
    OfferUndelivered,
    OwnerConnectionLost,
    RefusalCode,
)
from papayapost.traffic.entry.link_budget import LinkBudget
from papayapost.traffic.entry.upstreams import SUBSET_SIZE
from papayapost_testing.traffic_worlds import (
    NORTH_1,
    NORTH_2,
    SOUTH_1,
    backend_row,
    traffic_world,
)

RULES = """\
route GET /gusts/* -> gusts rank=urgent idempotent=yes retries=2 # Mei: wind desk
route GET /far/* -> far idempotent=yes link=yes # Mei: archive
route GET /bulk/* -> far rank=bulk idempotent=yes link=yes # Mei: archive
"""


HOLD_US = 1_000_000
RAMP_MIN_SHARE = 0.1


class Entry:
    """An entry node whose owner nodes answer as the test decides."""

    def __init__(self, rows, rules=RULES, own=None, options=None):
        own = own or backend_row("entry", None)
        self.node = traffic_world(own, rows, rules, options=options)
        self.now_us = 1_000
        self.calls = 0

    def tick(self, *messages, after_us=10):
        self.now_us += after_us
        return self.node.world.tick(Micros(self.now_us), messages)

    def call(self, path="/gusts/wanli", method="GET", key=None):
        self.calls += 1
        call_id = CallId(self.calls)
        return self.tick(CallArrived(call_id, method, "wind", path, None, key))

    def answer(self, offer, status=200, after_us=1_000, free_slots=0):
        sender = offer.offer.sender
        attempt_id = offer.offer.attempt_id
        begun = AnswerBegun(sender, attempt_id, status, free_slots)
        return self.tick(
            begun, AnswerEnded(sender, attempt_id, True), after_us=after_us
        )

    def set_state(self, row, state):
        row.state = state
        row.revision += 1
        self.tick(DirectoryChanged((row,)))


def offers_sent(effects):
    return [effect for effect in effects if isinstance(effect, OfferSend)]


def only(effects):
    (offer,) = offers_sent(effects)
    return offer


def refusal_in(effects):
    return next(e for e in effects if isinstance(e, CallRefusal))


def targets(entry, calls, path="/gusts/wanli"):
    return [only(entry.call(path)).address for _ in range(calls)]


def test_a_call_goes_to_a_larger_distance_only_when_nearer_slots_are_full():
    own = backend_row("entry", "gusts", slots=1)
    rows = [
        backend_row("far", "gusts", SOUTH_1, slots=9),
        backend_row("region", "gusts", NORTH_2, slots=2),
        backend_row("near-a", "gusts", NORTH_1, slots=1),
        backend_row("near-b", "gusts", NORTH_1, slots=1),
    ]
    entry = Entry(rows, own=own)
    addresses = targets(entry, 5)
    assert addresses[0] == "entry:1"
    assert set(addresses[1:3]) == {"near-a:1", "near-b:1"}
    assert addresses[3:] == ["region:1", "region:1"]
    assert "far:1" not in targets(entry, 5)


def test_an_owner_that_refused_as_full_gets_no_attempts_during_its_pause():
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")])
    first = only(entry.call())
    refused = AttemptRefused(
        first.offer.sender, first.offer.attempt_id, RefusalCode.QUEUE_FULL, 50, 0
    )
    assert only(entry.tick(refused)).address != first.address
    assert first.address not in targets(entry, 5)
    entry.tick(after_us=60_000)
    assert first.address in targets(entry, 5)


def refuse(entry, offer, after_us):
    attempt_id, sender = offer.offer.attempt_id, offer.offer.sender
    refused = AttemptRefused(sender, attempt_id, RefusalCode.NO_FREE_SLOT, 20, 0)
    return entry.tick(refused, after_us=after_us)


def test_an_owner_whose_refusals_are_late_is_passed_over_for_as_long():
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")])
    first = only(entry.call())
    second = only(refuse(entry, first, after_us=200_000))
    assert second.address != first.address
    entry.answer(second)
    entry.tick(after_us=100_000)
    assert first.address not in targets(entry, 5)


def test_a_call_crosses_regions_rather_than_wait_for_a_slow_link():
    near = backend_row("near", "far", NORTH_1)
    entry = Entry([near, backend_row("far", "far", SOUTH_1)])
    offer = only(entry.call("/far/a"))
    assert offer.address == near.peer_address
    assert only(refuse(entry, offer, after_us=10_000)).address == near.peer_address
    entry.tick(after_us=1_000_000)
    offer = only(entry.call("/far/a"))
    assert only(refuse(entry, offer, after_us=200_000)).address == "far:1"


def test_a_slow_backend_server_gets_fewer_attempts_than_others():
    entry = Entry([backend_row(name, "gusts") for name in "abc"])
    attempts = {"a:1": 0, "b:1": 0, "c:1": 0}
    for _ in range(300):
        offer = only(entry.call())
        attempts[offer.address] += 1
        entry.answer(offer, after_us=50_000 if offer.address == "a:1" else 1_000)
    assert attempts["a:1"] < attempts["b:1"] / 4


def test_a_failing_backend_server_is_ejected_for_a_limited_time():
    entry = Entry([backend_row(name, "gusts") for name in "abc"])
    bad = Address("a:1")
    for _ in range(60):
        offer = only(entry.call())
        entry.answer(offer, 500 if offer.address != bad else 502, after_us=100)
    assert entry.node.traffic.calls.counters.ejections == 1
    assert bad not in targets(entry, 6)
    entry.tick(after_us=20_000_000)
    assert bad in targets(entry, 20)


def test_short_deadlines_do_not_eject_healthy_backend_servers():
    entry = Entry([backend_row(name, "gusts") for name in "abc"])
    for number in range(100):
        call_id = CallId(1_000 + number)
        entry.tick(CallArrived(call_id, "GET", "w", "/gusts/a", Micros(1_000)))
        entry.tick(after_us=1_100)
    counters = entry.node.traffic.calls.counters
    assert counters.unknown_outcomes == 100
    assert counters.ejections == 0


def test_when_most_backend_servers_fail_all_of_them_are_used():
    entry = Entry([backend_row(name, "gusts") for name in "abcd"])
    for _ in range(100):
        entry.answer(only(entry.call()), 502, after_us=100)
    assert entry.node.traffic.calls.counters.ejections >= 3
    assert len(set(targets(entry, 12))) == 4


def test_a_restarted_backend_server_takes_its_full_share_only_after_a_ramp():
    rows = [backend_row(name, "gusts", slots=100) for name in "abcd"]
    entry = Entry(rows)
    targets(entry, 1)
    rows[0].incarnation = Incarnation(rows[0].incarnation + 1)
    entry.tick(DirectoryChanged((rows[0],)))
    entry.tick(after_us=100_000)
    assert targets(entry, 40).count("a:1") < 4
    entry.tick(after_us=11_000_000)
    assert targets(entry, 200).count("a:1") > 30


def test_a_backend_server_that_joins_gets_a_part_of_few_calls_during_its_ramp():
    random, calls_to_new = Random(5), 0
    for number in range(40):
        rows = [backend_row(name, "gusts") for name in "abcd"]
        entry = Entry(rows[:3], own=backend_row(f"entry-{number}", None))

        def call(entry=entry):
            offer = only(entry.call())
            entry.answer(offer, after_us=random.randrange(10_000, 30_000), free_slots=9)
            return offer.address

        for _ in range(20 + number):  # another part of the seeded draws each
            call()
        entry.node.directory.put(rows[3].node_id, rows[3])
        entry.tick(DirectoryChanged((rows[3],)))
        entry.tick(after_us=random.randrange(100_000, 200_000))
        calls_to_new += sum(call() == rows[3].peer_address for _ in range(20))
    assert calls_to_new >= 40 * 20 / 4 * RAMP_MIN_SHARE / 2


def test_a_cold_backend_server_starts_its_ramp_when_it_is_ready():
    rows = [backend_row(name, "gusts", slots=100) for name in "abcd"]
    entry = Entry(rows)
    targets(entry, 1)
    entry.set_state(rows[0], BackendServerState.COLD)
    assert "a:1" not in targets(entry, 40)
    entry.tick(after_us=20_000_000)
    entry.set_state(rows[0], BackendServerState.READY)
    entry.tick(after_us=100_000)
    assert targets(entry, 40).count("a:1") < 4


def test_a_call_never_goes_to_a_draining_or_gone_backend_server():
    rows = [backend_row(name, "gusts") for name in "ab"]
    entry = Entry(rows)
    targets(entry, 4)
    entry.set_state(rows[0], BackendServerState.DRAINING)
    assert set(targets(entry, 5)) == {"b:1"}
    entry.set_state(rows[1], BackendServerState.GONE)
    assert entry.call() == []
    effects = entry.tick(after_us=HOLD_US)
    refused = refusal_in(e for e in effects if getattr(e, "call_id", 0) == entry.calls)
    assert refused.code is RefusalCode.NO_BACKEND_SERVER
    assert refused.outcome is Outcome.NOT_RUN


def test_many_joining_backend_servers_do_not_each_cause_a_rebuild():
    rows = [backend_row(f"u{number}", "gusts") for number in range(50)]
    entry = Entry(rows[:10])
    targets(entry, 1)
    for row in rows[10:]:
        entry.node.directory.put(row.node_id, row)
        entry.tick(DirectoryChanged((row,)))
        only(entry.call())
    service = entry.node.traffic.upstreams.services.require("gusts")
    assert len(service.upstreams) == 10
    entry.tick(after_us=100_000)
    only(entry.call())
    assert len(service.upstreams) == SUBSET_SIZE


def test_an_entry_node_uses_a_bounded_stable_subset_of_a_large_service():
    rows = [backend_row(f"u{number}", "gusts", slots=100) for number in range(200)]
    entry, again = Entry(rows), Entry(rows[::-1])
    used = set(targets(entry, 600))
    assert len(used) == SUBSET_SIZE
    assert set(targets(again, 600)) == used
    other = Entry(rows, own=backend_row("other", None))
    assert set(targets(other, 600)) != used


def test_bulk_calls_leave_half_of_the_link_budget_to_other_ranks():
    entry = Entry([backend_row("far", "far", SOUTH_1)])
    link: LinkBudget = entry.node.traffic.link
    offer = only(entry.call("/bulk/scan"))
    size_bytes = int(link.tokens_bytes * 0.6)
    attempt_id = offer.offer.attempt_id
    entry.tick(AnswerBegun(offer.offer.sender, attempt_id, 200, 1))
    entry.tick(AnswerEnded(offer.offer.sender, attempt_id, True, size_bytes))
    assert entry.call("/bulk/scan") == []
    (refused,) = entry.tick(after_us=HOLD_US)
    assert refused.outcome is Outcome.NOT_RUN
    assert only(entry.call("/far/report")).address == "far:1"
    link.charge(size_bytes)
    assert not link.allows(Rank.NORMAL, Micros(entry.now_us))
    assert link.allows(Rank.URGENT, Micros(entry.now_us))
    entry.tick(after_us=20_000_000)
    assert only(entry.call("/bulk/scan")).address == "far:1"


def test_offers_after_a_lost_connection_carry_a_higher_epoch():
    entry = Entry([backend_row("a", "gusts")])
    first = only(entry.call())
    entry.tick(OwnerConnectionLost(first.address))
    second = only(entry.call())
    assert second.offer.epoch > first.offer.epoch
    assert entry.node.traffic.upstreams.rows.require("a").distance is (
        LinkClass.DATA_CENTRE
    )


def test_an_undelivered_offer_is_retried_at_another_upstream():
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")])
    first = only(entry.call())
    second = only(entry.tick(OfferUndelivered(first.offer.attempt_id)))
    assert second.address != first.address


def refuse_as_too_late(entry, call):
    """Have the near owner refuse a call, twice as a probe, then for good."""
    offer = only(call)
    for _ in range(2):
        offer = only(refuse(entry, offer, after_us=1_000))
    attempt_id, sender = offer.offer.attempt_id, offer.offer.sender
    refused = AttemptRefused(sender, attempt_id, RefusalCode.DEADLINE, 400, 0)
    return entry.tick(refused)


def entry_beside_a_full_region():
    rows = [backend_row("near", "far"), backend_row("far", "far", SOUTH_1)]
    return Entry(rows)


def test_a_call_refused_in_its_region_goes_to_another_one_once():
    entry = entry_beside_a_full_region()
    crossing = only(refuse_as_too_late(entry, entry.call("/far/a")))
    assert crossing.address == "far:1"
    assert not crossing.offer.may_queue
    effects = refuse(entry, crossing, after_us=60_000)
    assert "far:1" not in [offer.address for offer in offers_sent(effects)]


def test_calls_are_not_held_for_another_region_that_was_just_full():
    entry = entry_beside_a_full_region()
    crossing = only(refuse_as_too_late(entry, entry.call("/far/a")))
    refuse(entry, crossing, after_us=60_000)
    effects = refuse_as_too_late(entry, entry.call("/far/a"))
    assert "far:1" not in [offer.address for offer in offers_sent(effects)]


def test_a_route_without_the_link_is_refused_in_its_region():
    rows = [backend_row("near", "gusts"), backend_row("far", "gusts", SOUTH_1)]
    entry = Entry(rows)
    effects = refuse_as_too_late(entry, entry.call("/gusts/a"))
    assert "far:1" not in [offer.address for offer in offers_sent(effects)]
