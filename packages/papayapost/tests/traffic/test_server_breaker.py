"""The breaker before a backend server, by ticks of its owner node."""

from papayapost.ids import CallId, InstanceId, ServiceName
from papayapost.states import BackendServerState
from papayapost.traffic import BackendCallEnded, CallArrived, RefusalCode
from papayapost.traffic.owner.tables import OwnBackendRow

from .owners import Owner, refusals, started

FAILING = RefusalCode.SERVER_FAILING


def owner_of_failing_server(status=500):
    owner = Owner(slots=2)
    for _ in range(5):
        offer = owner.offer()
        assert started(owner.tick(offer)) == [offer.attempt_id]
        owner.end(offer.attempt_id, status=status, after_us=1_000)
    return owner


def refused_code(owner, **fields):
    offer = owner.offer(**fields)
    return refusals(owner.tick(offer)).get(offer.attempt_id)


def trial(owner, after_us=100_000, **fields):
    """Return the attempt that is let through after some time."""
    owner.tick(after_us=after_us)
    offer = owner.offer(**fields)
    assert started(owner.tick(offer)) == [offer.attempt_id]
    return offer.attempt_id


def test_after_failures_in_a_row_attempts_are_refused_before_the_server():
    owner = owner_of_failing_server()
    assert refused_code(owner) is FAILING


def test_refusals_of_the_server_count_as_failures():
    owner = Owner(slots=2)
    for _ in range(5):
        offer = owner.offer()
        owner.tick(offer)
        owner.tick(BackendCallEnded(offer.attempt_id, True, False, True))
    assert refused_code(owner) is FAILING


def test_a_good_answer_between_failures_keeps_the_server_open():
    owner = Owner(slots=2)
    for status in (500, 500, 500, 500, 200, 500, 500, 500, 500):
        offer = owner.offer()
        owner.tick(offer)
        owner.end(offer.attempt_id, status=status, after_us=1_000)
    assert refused_code(owner) is None


def test_one_trial_at_a_time_ends_the_refusals_when_it_succeeds():
    owner = owner_of_failing_server()
    attempt_id = trial(owner)
    assert refused_code(owner) is FAILING
    owner.end(attempt_id)
    assert refused_code(owner) is None


def test_trials_become_rarer_while_they_fail():
    owner = owner_of_failing_server()
    owner.end(trial(owner), status=500)
    owner.tick(after_us=100_000)
    assert refused_code(owner) is FAILING
    trial(owner)


def test_an_attempt_that_may_not_run_twice_is_a_trial_only_for_want_of_others():
    owner = owner_of_failing_server()
    owner.tick(after_us=150_000)
    assert refused_code(owner, idempotent=False) is FAILING
    trial(owner, after_us=200_000, idempotent=False)


def test_a_call_that_other_failing_servers_refused_is_let_through():
    owner = owner_of_failing_server()
    assert refused_code(owner) is FAILING
    assert refused_code(owner, despite_failures=True) is None


def test_a_new_process_of_the_server_starts_without_failures():
    owner = owner_of_failing_server()
    owner.tables.backend = OwnBackendRow(
        InstanceId("i2"), 5, 1, ServiceName("gusts"), 2, BackendServerState.READY
    )
    assert refused_code(owner) is None


def test_a_call_without_another_server_reaches_the_failing_one():
    owner = owner_of_failing_server()
    arrived = CallArrived(CallId(1), "GET", "h", "/x")
    assert len(started(owner.tick(arrived))) == 1


SHED, GOOD = True, False
SHEDS_MOST = (SHED, SHED, SHED, SHED, GOOD) * 12


def end(owner, offer, is_shed):
    if is_shed:
        owner.tick(BackendCallEnded(offer.attempt_id, True, False, True))
    else:
        owner.end(offer.attempt_id, after_us=1_000)


def shedding_owner():
    owner = Owner(slots=2)
    for is_shed in SHEDS_MOST:
        offer = owner.offer()
        # Long enough after the last one to be a trial, once it sheds.
        assert started(owner.tick(offer, after_us=250_000)) == [offer.attempt_id]
        end(owner, offer, is_shed)
    return owner


def test_a_server_that_sheds_most_of_its_load_gets_few_attempts():
    owner = shedding_owner()
    codes = [refused_code(owner) for _ in range(10)]
    assert codes.count(FAILING) >= 9


def test_a_server_that_sheds_half_of_its_load_stays_in_use():
    owner = Owner(slots=2)
    for is_shed in (SHED, GOOD) * 40:
        offer = owner.offer()
        assert started(owner.tick(offer)) == [offer.attempt_id]
        end(owner, offer, is_shed)


def test_answers_with_status_503_are_not_taken_for_shedding():
    # Servers pass the refusals of their inner calls on with that status.
    owner = Owner(slots=2)
    for status in (503, 503, 503, 503, 200) * 12:
        offer = owner.offer()
        assert started(owner.tick(offer)) == [offer.attempt_id]
        owner.end(offer.attempt_id, status=status, after_us=1_000)


def test_good_trials_end_the_refusals_of_a_server_that_shed():
    owner = shedding_owner()
    for _ in range(10):
        attempt_id = trial(owner, after_us=200_000)
        owner.end(attempt_id, after_us=1_000)
    assert refused_code(owner) is None


def test_attempts_that_other_owners_refused_reach_a_server_that_sheds():
    owner = shedding_owner()
    offer = owner.offer(despite_failures=True)
    assert started(owner.tick(offer)) == [offer.attempt_id]


def test_if_the_siblings_shed_as_well_attempts_are_admitted():
    # Another server would refuse them as often, at two messages each.
    owner = shedding_owner()
    for _ in range(4):
        offer = owner.offer(despite_failures=True)
        owner.tick(offer)
    assert refused_code(owner) is not FAILING
