from papayapost.ids import AttemptId, IdempotencyKey, Micros, ServiceName
from papayapost.states import Rank
from papayapost.storage import ObjectUpdated, ReadObject, UpdateObject
from papayapost.traffic import BackendCallEnded, ClaimsObject, ClaimToken, RefusalCode
from papayapost.traffic.claims.keys import _MAX_TOKENS, RETENTION_S
from papayapost.traffic.claims.tables import PARTITIONS
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import Owner, refusals, started
from .stores import FakeStore, StoreFault
from .test_balancing import Entry, only

KEY = IdempotencyKey("deposit-7")


class KeyedOwner(Owner):
    """An owner node whose store answers at once, with a given fault."""

    def __init__(self, store, name="owner", slots=2):
        own = backend_row(name, "gusts", slots=slots)
        super().__init__(node=traffic_world(own))
        self.store = store
        self.name = name

    def keyed_offer(self, key=KEY, **fields):
        offer = self.offer(idempotent=False, idempotency_key=key, **fields)
        offer.attempt_id = AttemptId(f"{self.name}-{offer.attempt_id}")
        return offer

    def apply_store_effects(self, effects, fault=StoreFault.NONE):
        """Apply store effects until none is left; return the other effects."""
        others = []
        while effects:
            requests = [e for e in effects if self.store.is_store_effect(e)]
            others += [e for e in effects if not self.store.is_store_effect(e)]
            results = [self.store.apply_effect(e, fault) for e in requests]
            effects = self.tick(*results) if results else []
        return others

    def take(self, *offers, fault=StoreFault.NONE):
        return self.apply_store_effects(self.tick(*offers), fault)


def test_a_keyed_attempt_starts_only_after_its_claim_took_effect():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer()
    effects = owner.tick(charge)
    while not any(isinstance(e, UpdateObject) for e in effects):
        assert not started(effects)
        effects = owner.tick(*map(owner.store.apply_effect, effects))
    assert not started(effects)
    assert started(owner.apply_store_effects(effects)) == [charge.attempt_id]


def test_a_repeat_of_a_key_at_another_owner_node_is_refused_as_duplicate():
    store = FakeStore()
    first, second = KeyedOwner(store, "a"), KeyedOwner(store, "b")
    charge, repeat = first.keyed_offer(), second.keyed_offer()
    assert started(first.take(charge))
    effects = second.take(repeat)
    assert refusals(effects) == {repeat.attempt_id: RefusalCode.DUPLICATE}
    assert not started(effects)


def test_concurrent_claims_of_a_key_at_two_owner_nodes_run_one_attempt():
    store = FakeStore()
    first, second = KeyedOwner(store, "a"), KeyedOwner(store, "b")
    read_a, read_b = first.tick(first.keyed_offer()), second.tick(second.keyed_offer())
    write_a = first.tick(store.apply_effect(read_a[0]))
    write_b = second.tick(store.apply_effect(read_b[0]))
    ran = started(first.apply_store_effects(write_a)) + started(
        second.apply_store_effects(write_b)
    )
    assert len(ran) == 1
    assert second.node.traffic.claims.conflicts == 1


def test_a_claim_whose_update_reply_was_lost_is_granted_after_a_read():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer()
    (read,) = owner.tick(charge)
    (write,) = owner.tick(owner.store.apply_effect(read))
    effects = owner.tick(owner.store.apply_effect(write, StoreFault.LOST_REPLY))
    assert not started(effects)
    assert started(owner.apply_store_effects(effects)) == [charge.attempt_id]
    assert owner.store.writes == 1


def test_an_update_that_takes_effect_late_grants_its_claim():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer()
    (read,) = owner.tick(charge)
    (late,) = owner.tick(owner.store.apply_effect(read))
    (again,) = owner.tick(owner.store.apply_effect(late, StoreFault.DOWN))
    (write,) = owner.tick(owner.store.apply_effect(again))
    owner.store.apply_effect(late)
    effects = owner.tick(owner.store.apply_effect(write))
    assert started(owner.apply_store_effects(effects)) == [charge.attempt_id]


def test_a_result_of_a_timed_out_update_grants_nothing():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer(budget_us=Micros(10_000_000))
    (read,) = owner.tick(charge)
    (overdue,) = owner.tick(owner.store.apply_effect(read))
    late = ObjectUpdated(overdue.key, overdue.request_id, 1)
    (again,) = owner.tick(after_us=2_000_000)
    assert not owner.tick(late)
    (write,) = owner.tick(owner.store.apply_effect(again))
    assert not owner.tick(late)
    assert started(owner.apply_store_effects([write])) == [charge.attempt_id]


def test_keyed_attempts_are_refused_as_not_run_while_the_store_is_down():
    owner = KeyedOwner(FakeStore())
    charge, other = owner.keyed_offer(), owner.keyed_offer(IdempotencyKey("other"))
    effects = owner.take(charge, other, fault=StoreFault.DOWN)
    assert set(refusals(effects).values()) == {RefusalCode.CLAIMS_UNAVAILABLE}
    lookup = owner.offer()
    assert started(owner.tick(lookup)) == [lookup.attempt_id]
    owner.apply_store_effects(owner.tick(after_us=2_000_000))
    again = owner.keyed_offer()
    assert started(owner.take(again)) == [again.attempt_id]


def test_a_silent_store_delays_a_keyed_attempt_only_to_its_deadline():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer(budget_us=Micros(300_000))
    owner.tick(charge)
    refused = refusals(owner.tick(after_us=300_000))
    assert refused == {charge.attempt_id: RefusalCode.DEADLINE}
    assert owner.tables.waiting_for_claim == 0
    owner.tick(after_us=1_700_000)
    again = owner.keyed_offer()
    owner.apply_store_effects(owner.tick(after_us=2_000_000))
    assert started(owner.take(again)) == [again.attempt_id]


def test_a_claim_is_released_when_its_attempt_does_not_run():
    store = FakeStore()
    first, second = KeyedOwner(store, "a"), KeyedOwner(store, "b")
    charge = first.keyed_offer()
    first.take(charge)
    first.apply_store_effects(
        first.tick(BackendCallEnded(charge.attempt_id, False, False))
    )
    repeat = second.keyed_offer()
    assert RefusalCode.DUPLICATE in refusals(second.take(repeat)).values()
    first.apply_store_effects(first.tick(after_us=1_000_000))
    assert store.tokens() == []
    second.tick(after_us=2_000_000)
    assert started(second.take(second.keyed_offer()))


def test_cancelling_an_attempt_releases_a_claim_that_is_being_written():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer()
    effects = owner.tick(charge)
    owner.cancel(charge)
    assert not started(owner.apply_store_effects(effects))
    owner.apply_store_effects(owner.tick(after_us=1_000_000))
    assert owner.store.tokens() == []
    assert owner.is_idle()


def test_a_retry_takes_over_the_claim_of_a_refused_attempt():
    store = FakeStore()
    first, second = KeyedOwner(store, "a"), KeyedOwner(store, "b")
    charge = first.keyed_offer()
    first.take(charge)
    first.apply_store_effects(
        first.tick(BackendCallEnded(charge.attempt_id, False, False))
    )
    retry = second.keyed_offer(refused_attempts=(charge.attempt_id,))
    assert started(second.take(retry)) == [retry.attempt_id]
    first.apply_store_effects(first.tick(after_us=1_000_000))
    assert [token.attempt_id for token in store.tokens()] == [retry.attempt_id]


def test_concurrent_claims_of_a_partition_share_one_update():
    owner = KeyedOwner(FakeStore(), slots=200)
    keys = [IdempotencyKey(f"key-{number}") for number in range(100)]
    charges = [owner.keyed_offer(key) for key in keys]
    effects = owner.take(*charges)
    for _ in range(4):
        effects += owner.apply_store_effects(owner.tick(after_us=10_000))
    assert len(started(effects)) == 100
    assert owner.store.writes == PARTITIONS


def test_a_key_can_be_claimed_again_after_its_retention():
    store = FakeStore()
    first, second = KeyedOwner(store, "a"), KeyedOwner(store, "b")
    first.take(first.keyed_offer())
    second.now_us += (RETENTION_S - 2) * 1_000_000
    assert not started(second.take(second.keyed_offer()))
    second.now_us += 4_000_000
    assert started(second.take(second.keyed_offer()))


def test_a_full_claims_object_stays_under_a_megabyte_and_refuses_more():
    longest = AttemptId(f"{'n' * 63}/{1 << 60:x}/{1 << 40:x}")
    token_bytes = len(f'{{"key_digest":"{"0" * 32}","attempt_id":"{longest}"}},')
    assert _MAX_TOKENS * (token_bytes + len('"claimed_s":1234567890,')) < 1_000_000
    owner = KeyedOwner(FakeStore())
    (read,) = owner.tick(owner.keyed_offer())
    tokens = tuple(
        ClaimToken(f"{number:032x}", longest, 10) for number in range(_MAX_TOKENS)
    )
    owner.store.objects[read.key] = (3, ClaimsObject(tokens))
    effects = owner.apply_store_effects([read])
    assert set(refusals(effects).values()) == {RefusalCode.CLAIMS_UNAVAILABLE}


def test_claim_updates_are_rate_limited():
    owner = KeyedOwner(FakeStore(), slots=200)
    rules = "route POST /* -> gusts # Mei: festival\n"
    others = [backend_row(f"u{number}", "gusts") for number in range(99)]
    own = backend_row("owner", "gusts", slots=200)
    owner.node = traffic_world(own, others, rules)
    for number in range(200):
        owner.take(owner.keyed_offer(IdempotencyKey(f"key-{number}")))
        owner.apply_store_effects(owner.tick(after_us=10_000))
    elapsed_s = owner.now_us / 1e6
    assert owner.node.traffic.claims.writes <= 5 + 200 / 100 * elapsed_s


def test_entry_nodes_send_calls_of_a_key_to_the_same_owner_node():
    rules = "route POST /bookings -> gusts # Mei: festival\n"
    rows = [backend_row(f"u{number}", "gusts") for number in range(8)]
    entries = [Entry(rows, rules, backend_row(name, None)) for name in ("x", "y")]
    all_addresses = []
    for number in range(16):
        addresses = set()
        for entry in entries:
            key = IdempotencyKey(f"key-{number}")
            addresses.add(only(entry.call("/bookings", method="POST", key=key)).address)
        assert len(addresses) == 1
        all_addresses += addresses
    assert len(set(all_addresses)) > 2


def test_an_offer_for_another_service_is_refused_as_not_run():
    owner = Owner()
    offer = owner.offer(Rank.URGENT, service=ServiceName("archive"))
    assert refusals(owner.tick(offer)) == {offer.attempt_id: RefusalCode.WRONG_SERVICE}


def test_an_attempt_without_a_key_sends_no_store_requests():
    owner = KeyedOwner(FakeStore())
    effects = owner.tick(owner.offer(idempotent=False))
    assert started(effects)
    assert not [e for e in effects if isinstance(e, (ReadObject, UpdateObject))]
