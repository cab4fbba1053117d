import pytest

from papayapost_testing.model import (
    AT_MOST_ONCE_FAULTS,
    BLOCKED_VARIANT,
    QUOTA_FAULTS,
    RULES_FAULTS,
    AtMostOnceSpec,
    LeaseSpec,
    QuotaSpec,
    RulesSpec,
    check,
)

FAULTS = {**RULES_FAULTS, **AT_MOST_ONCE_FAULTS}
MAX_STATES_TO_FAULT = 8_000
MAX_STATES_TO_QUOTA_FAULT = 200_000


def test_rules_invariants_hold_in_every_state():
    result = check(RulesSpec(max_in_flight=2, restarts=2))
    assert result.is_exhaustive
    assert result.holds, result


def test_at_most_once_invariants_hold_in_every_state():
    result = check(AtMostOnceSpec())
    assert result.is_exhaustive
    assert result.holds, result


def test_one_node_at_a_time_lends_in_every_state():
    result = check(LeaseSpec())
    assert result.is_exhaustive
    assert result.holds, result


def test_the_quota_holds_in_every_state():
    result = check(QuotaSpec())
    assert result.is_exhaustive
    assert result.holds, result


def test_a_lease_can_be_taken_from_every_state():
    assert check(LeaseSpec(), checks_goal=True).is_goal_reachable


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_each_faulty_variant_breaks_its_invariant(fault):
    result = check(fault(), max_states=MAX_STATES_TO_FAULT)
    assert FAULTS[fault] in result.broken


@pytest.mark.parametrize("fault", QUOTA_FAULTS, ids=lambda fault: fault.__name__)
def test_each_faulty_lender_breaks_its_invariant(fault):
    result = check(fault(), max_states=MAX_STATES_TO_QUOTA_FAULT)
    assert QUOTA_FAULTS[fault] in result.broken


def test_every_invariant_has_a_faulty_variant():
    specs = (RulesSpec(), AtMostOnceSpec(), LeaseSpec(), QuotaSpec())
    names = {name for spec in specs for name in spec.invariants()}
    assert {*FAULTS.values(), *QUOTA_FAULTS.values()} == names


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
