"""Tests limits that the rules in force set in place of the settings."""

from papayapost.distribution import RulesTable
from papayapost.distribution.rules_table import VersionRow
from papayapost.ids import RuleVersion
from papayapost.rules import compile_rules
from papayapost.states import StagedState
from papayapost_node.http import HttpLimits
from papayapost_node.rule_limits import RuleLimits

SETTINGS = HttpLimits(connections=7, head_bytes=2_000, idle_timeout_ms=300)


def put_in_force(rules: RulesTable, text: str) -> None:
    state = next(iter(StagedState))
    rules.in_force = VersionRow(RuleVersion(1), compile_rules(text), state)


def test_limits_of_the_rules_go_before_those_of_the_settings():
    rules = RulesTable()
    limits = RuleLimits(SETTINGS, rules)
    assert limits.current() is SETTINGS
    put_in_force(rules, "limits head_bytes=4096 idle_timeout_ms=900 # Ana: a")
    assert limits.current().head_bytes == 4_096
    assert limits.current().idle_timeout_ms == 900
    assert limits.current().connections == 7
    assert limits.current() is limits.current()
    put_in_force(rules, "share bulk floor=5% # Ana: a")
    assert limits.current() == SETTINGS
