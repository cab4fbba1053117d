import pytest

from papayapost_testing.model import (
    AT_MOST_ONCE_FAULTS,
    BLOCKED_VARIANT,
    RULES_FAULTS,
    AtMostOnceSpec,
    RulesSpec,
    check,
)

FAULTS = {**RULES_FAULTS, **AT_MOST_ONCE_FAULTS}
MAX_STATES_TO_FAULT = 8_000


def test_versions_keep_their_promises_in_every_state():
    verdict = check(RulesSpec(wire_slots=2, restarts=2))
    assert verdict.is_exhaustive
    assert verdict.holds, verdict


def test_charges_run_at_most_once_and_refusals_are_true_in_every_state():
    verdict = check(AtMostOnceSpec())
    assert verdict.is_exhaustive
    assert verdict.holds, verdict


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_each_broken_guard_is_told_by_its_invariant(fault):
    verdict = check(fault(), max_states=MAX_STATES_TO_FAULT)
    assert FAULTS[fault] in verdict.broken


def test_every_promise_has_a_variant_that_breaks_it():
    names = {*RulesSpec().invariants(), *AtMostOnceSpec().invariants()}
    assert set(FAULTS.values()) == names


def test_the_newest_version_stays_within_reach():
    assert check(RulesSpec(wire_slots=1, restarts=1), asks_goal=True).is_goal_reachable


def test_a_staged_version_that_blocks_the_next_is_told():
    assert (
        check(
            BLOCKED_VARIANT(wire_slots=2, restarts=0), asks_goal=True
        ).is_goal_reachable
        is False
    )


def test_a_search_cut_short_does_not_hold():
    verdict = check(RulesSpec(), max_states=100)
    assert not verdict.broken
    assert not verdict.holds
