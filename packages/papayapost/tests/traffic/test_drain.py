import pytest

from papayapost.ids import CallId, Micros
from papayapost.membership import DirectoryChanged
from papayapost.states import BackendServerState, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerBlocked,
    AnswerEnded,
    AnswerUnblocked,
    AttemptFailed,
    BackendCallCancel,
    BackendCallEnded,
    BackendServerPolled,
    CallRefusal,
    DrainComplete,
    DrainRequested,
    RefusalCode,
    TrafficOptions,
)
from papayapost.traffic.drain import GRACE_US
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import RULES, Owner, refusals, sent_messages, started
from .stores import FakeStore
from .test_balancing import Entry, offers_sent, only
from .test_claims import KeyedOwner


def completions(effects):
    return [e for e in effects if isinstance(e, DrainComplete)]


def own_row(owner):
    return owner.node.directory.require("owner")


def test_a_draining_owner_accepts_offers_only_in_its_grace_period():
    owner = Owner()
    owner.tick(DrainRequested())
    assert own_row(owner).state is BackendServerState.DRAINING
    assert own_row(owner).revision == 2
    in_grace = owner.offer()
    assert started(owner.tick(in_grace, after_us=GRACE_US - 20))
    owner.tick(after_us=20)
    late = owner.offer()
    assert refusals(owner.tick(late)) == {late.attempt_id: RefusalCode.DRAINING}
    assert completions(owner.end(in_grace.attempt_id)) == [DrainComplete(True)]
    assert owner.node.world.next_due_us() is None


# An owner node broke off a booking that it had admitted in its drain, 4.2 s
# later and before its caller's deadline.
@pytest.mark.parametrize(
    ("budget_ms", "is_idempotent", "is_admitted"),
    [
        (2_900, False, True),
        (3_100, False, False),
        (3_100, True, False),
        (9_000, False, False),
        (9_000, True, True),
    ],
)
def test_a_draining_owner_admits_only_what_it_can_finish(
    budget_ms, is_idempotent, is_admitted
):
    owner = Owner()
    for _ in range(20):
        usual = owner.offer(idempotent=is_idempotent)
        owner.tick(usual)
        owner.end(usual.attempt_id)
    owner.tick(DrainRequested(limit_ms=5_000))
    offer = owner.offer(budget_us=Micros(budget_ms * 1_000), idempotent=is_idempotent)
    effects = owner.tick(offer, after_us=2_000_000)
    if is_admitted:
        assert started(effects) == [offer.attempt_id]
    else:
        assert refusals(effects) == {offer.attempt_id: RefusalCode.DEADLINE}


def test_a_node_serves_other_nodes_until_it_announces_its_drain():
    own = backend_row("owner", "gusts", slots=2)
    options = TrafficOptions(drain_announce_us=1_000_000)
    owner = Owner(node=traffic_world(own, [], RULES, options=options))
    owner.tick(DrainRequested())
    assert own_row(owner).state is BackendServerState.READY
    offer = owner.offer()
    assert started(owner.tick(offer, after_us=900_000))
    owner.end(offer.attempt_id)
    owner.tick(after_us=100_000)
    assert own_row(owner).state is BackendServerState.DRAINING
    assert completions(owner.tick(after_us=GRACE_US)) == [DrainComplete(True)]


def test_an_idle_node_completes_its_drain_after_the_grace_period():
    owner = Owner()
    assert not completions(owner.tick(DrainRequested()))
    assert not completions(owner.tick(after_us=GRACE_US - 10))
    assert completions(owner.tick(after_us=10)) == [DrainComplete(True)]


def test_queued_attempts_are_finished_before_a_drain_completes():
    owner = Owner(slots=1)
    offers = [owner.offer() for _ in range(3)]
    running = started(owner.tick(*offers))
    owner.tick(DrainRequested())
    owner.tick(after_us=GRACE_US - 2_900_000)
    done = []
    while running:
        effects = owner.end(running.pop())
        running = started(effects)
        done += completions(effects)
    assert not done
    assert completions(owner.tick(after_us=GRACE_US)) == [DrainComplete(True)]
    assert owner.tables.counters.started[2] == 3


def test_a_drain_waits_for_an_answer_whose_entry_node_grants_no_credit_yet():
    owner = Owner()
    offer = owner.offer()
    owner.tick(offer)
    owner.tick(DrainRequested())
    ended = BackendCallEnded(offer.attempt_id, True, True)
    owner.tick(ended, AnswerBlocked(offer.attempt_id))
    assert not completions(owner.tick(after_us=GRACE_US))
    assert not completions(owner.tick(after_us=1_000_000))
    effects = owner.tick(AnswerUnblocked(offer.attempt_id))
    assert completions(effects) == [DrainComplete(True)]


def test_a_blocked_answer_that_is_cancelled_does_not_delay_a_drain():
    owner = Owner()
    offer = owner.offer()
    owner.tick(offer)
    owner.tick(DrainRequested())
    ended = BackendCallEnded(offer.attempt_id, True, True)
    owner.tick(ended, AnswerBlocked(offer.attempt_id))
    assert BackendCallCancel(offer.attempt_id) in owner.cancel(offer)
    owner.tick(AnswerUnblocked(offer.attempt_id))
    assert completions(owner.tick(after_us=GRACE_US)) == [DrainComplete(True)]


def test_an_entry_node_finishes_its_calls_before_its_drain_completes():
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")])
    offer = only(entry.call())
    entry.tick(DrainRequested())
    begun = AnswerBegun(offer.offer.sender, offer.offer.attempt_id, 200, 1)
    entry.tick(begun)
    assert not completions(entry.tick(after_us=GRACE_US))
    ended = AnswerEnded(offer.offer.sender, offer.offer.attempt_id, True)
    assert completions(entry.tick(ended)) == [DrainComplete(True)]


def test_a_call_that_arrives_after_the_grace_period_is_refused_as_not_run():
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")])
    entry.tick(DrainRequested())
    assert offers_sent(entry.call())
    entry.tick(after_us=GRACE_US)
    effects = entry.call()
    assert not offers_sent(effects)
    (refused,) = [item for item in effects if isinstance(item, CallRefusal)]
    assert (refused.code, refused.status) == (RefusalCode.DRAINING, 503)
    assert refused.outcome is Outcome.NOT_RUN


def drain_refusal(effects):
    (refused,) = [item for item in effects if isinstance(item, CallRefusal)]
    assert (refused.code, refused.status) == (RefusalCode.DRAINING, 503)
    assert refused.outcome is Outcome.NOT_RUN
    return refused


def test_a_call_that_may_outlast_the_process_is_refused_as_not_run():
    rules = "route GET /gusts/* -> gusts idempotent=yes timeout_ms=5000 # Mei: desk\n"
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")], rules)
    entry.tick(DrainRequested(limit_ms=5_580))
    # Nothing is known yet of how long calls of this route take.
    assert offers_sent(entry.call())
    entry.tick(after_us=600_000)
    refused = drain_refusal(entry.call())
    # Callers have the grace period to leave for another node.
    assert refused.retry_after_ms == (GRACE_US - 600_000) // 1000


def test_a_call_is_taken_late_in_a_drain_if_calls_of_its_route_end_in_time():
    rules = "route GET /gusts/* -> gusts idempotent=yes timeout_ms=5000 # Mei: desk\n"
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")], rules)
    entry.answer(only(entry.call()), after_us=500_000)
    entry.tick(DrainRequested(limit_ms=4_000))
    entry.answer(only(entry.call()), after_us=2_500_000)
    drain_refusal(entry.call())

    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")], rules)
    entry.answer(only(entry.call()), after_us=500_000)
    entry.tick(DrainRequested(limit_ms=4_000))
    entry.tick(after_us=2_500_000)
    assert offers_sent(entry.call())


@pytest.mark.parametrize("tenth", range(10))
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_no_call_taken_in_a_drain_is_cut_when_it_needs_all_its_time(tenth, method):
    rules = (
        "route GET /gusts/* -> gusts idempotent=yes timeout_ms=2500 # Mei: desk\n"
        "route POST /gusts/* -> gusts timeout_ms=2500 # Mei: bookings\n"
    )
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")], rules)
    entry.answer(only(entry.call(method=method)), after_us=100_000)
    limit_us = 3_720_000
    entry.tick(DrainRequested(limit_ms=limit_us // 1000))
    entry.tick(after_us=limit_us * tenth // 10)
    effects = entry.call(method=method)
    if limit_us * tenth // 10 + 2_500_000 > limit_us:
        drain_refusal(effects)
    else:
        assert offers_sent(effects)


def test_a_call_that_may_not_be_repeated_is_not_taken_on_an_estimate():
    rules = "route POST /gusts/* -> gusts timeout_ms=5000 # Mei: bookings\n"
    entry = Entry([backend_row("a", "gusts"), backend_row("b", "gusts")], rules)
    entry.answer(only(entry.call(method="POST")), after_us=10_000)
    entry.tick(DrainRequested(limit_ms=4_000))
    drain_refusal(entry.call(method="POST"))


def test_a_drain_that_ends_at_its_time_limit_with_work_left_is_not_clean():
    owner = Owner()
    owner.tick(owner.offer())
    owner.tick(DrainRequested(limit_ms=5_000))
    owner.tick(after_us=GRACE_US)
    assert completions(owner.tick(after_us=2_000_000)) == [DrainComplete(False)]


def test_entry_nodes_are_told_which_attempts_end_with_the_process():
    owner = Owner(slots=1)
    budget_us = Micros(9_000_000)
    running, queued = (owner.offer(budget_us=budget_us) for _ in range(2))
    owner.tick(running, queued)
    owner.tick(DrainRequested(limit_ms=5_000))
    effects = owner.tick(after_us=5_000_000)
    assert completions(effects) == [DrainComplete(False)]
    (failed,) = sent_messages(effects, AttemptFailed)
    assert failed.attempt_id == running.attempt_id
    assert refusals(effects) == {queued.attempt_id: RefusalCode.DRAINING}


def test_calls_at_a_draining_node_are_offered_to_other_nodes():
    own = backend_row("entry", "gusts")
    entry = Entry([backend_row("a", "gusts")], own=own)
    assert only(entry.call()).is_local
    entry.tick(DrainRequested())
    assert only(entry.call()).address == "a:1"
    assert entry.node.traffic.calls.counters.offers_to_draining == 0


def test_a_backend_server_that_is_ready_after_a_drain_gets_attempts_again():
    owner = Owner()
    owner.tick(BackendServerPolled(BackendServerState.DRAINING))
    assert not completions(owner.tick(after_us=GRACE_US))
    refused = owner.offer()
    assert refusals(owner.tick(refused))
    owner.tick(BackendServerPolled(BackendServerState.READY))
    assert own_row(owner).state is BackendServerState.READY
    assert started(owner.tick(owner.offer()))
    assert not completions(owner.tick(after_us=GRACE_US))


def test_a_drain_releases_claims_before_it_completes():
    owner = KeyedOwner(FakeStore())
    charge = owner.keyed_offer()
    owner.take(charge)
    owner.tick(DrainRequested())
    owner.tick(after_us=GRACE_US)
    effects = owner.tick(BackendCallEnded(charge.attempt_id, False, False))
    assert not completions(effects)
    effects = owner.apply_store_effects(owner.tick(after_us=1_000_000))
    assert completions(effects) == [DrainComplete(True)]
    assert owner.store.tokens() == []


def test_an_offer_to_a_node_listed_as_draining_is_counted():
    rows = [backend_row("a", "gusts")]
    entry = Entry(rows)
    only(entry.call())
    rows[0].state = BackendServerState.DRAINING
    entry.call()
    assert entry.node.traffic.calls.counters.offers_to_draining == 1
    entry.tick(DirectoryChanged((rows[0],)))
    assert not offers_sent(entry.call())
    assert CallId(3) not in entry.node.traffic.calls.calls
