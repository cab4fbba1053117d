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


def test_rules_invariants_hold_in_every_state():
    result = check(RulesSpec(max_in_flight=2, restarts=2))
    assert result.is_exhaustive
    assert result.holds, result


def test_at_most_once_invariants_hold_in_every_state():
    result = check(AtMostOnceSpec())
    assert result.is_exhaustive
    assert result.holds, result


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_each_faulty_variant_breaks_its_invariant(fault):
    result = check(fault(), max_states=MAX_STATES_TO_FAULT)
    assert FAULTS[fault] in result.broken


def test_every_invariant_has_a_faulty_variant():
    names = {*RulesSpec().invariants(), *AtMostOnceSpec().invariants()}
    assert set(FAULTS.values()) == names


def test_newest_version_is_reachable_from_every_state():
    assert check(
        RulesSpec(max_in_flight=1, restarts=1), checks_goal=True
    ).is_goal_reachable


def test_liveness_check_detects_a_staged_version_that_blocks_newer_ones():
    assert (
        check(
            BLOCKED_VARIANT(max_in_flight=2, restarts=0), checks_goal=True
        ).is_goal_reachable
        is False
    )


def test_an_incomplete_search_does_not_hold():
    result = check(RulesSpec(), max_states=100)
    assert not result.broken
    assert not result.holds
