"""The rules language: compiles a rules text and matches calls against it."""

from papayapost.rules.access import AccessIndex
from papayapost.rules.characters import MAX_TEXT_BYTES, decode_text
from papayapost.rules.compile import compile_rules, rules_digest
from papayapost.rules.defaults import (
    DEFAULT_CEILINGS_PERCENT,
    DEFAULT_FLOORS_PERCENT,
)
from papayapost.rules.diff import ChangeKind, RuleChange, RuleKey, diff_rules
from papayapost.rules.explain import Explanation, Mismatch, NearMiss, explain
from papayapost.rules.faults import RuleFault
from papayapost.rules.match import match_route
from papayapost.rules.model import (
    AccessRule,
    Account,
    AccountKey,
    CallerLimits,
    Route,
    RuleRow,
    Share,
    WeightedService,
)
from papayapost.rules.ruleset import RuleSet

__all__ = [
    "DEFAULT_CEILINGS_PERCENT",
    "DEFAULT_FLOORS_PERCENT",
    "MAX_TEXT_BYTES",
    "AccessIndex",
    "AccessRule",
    "Account",
    "AccountKey",
    "CallerLimits",
    "ChangeKind",
    "Explanation",
    "Mismatch",
    "NearMiss",
    "Route",
    "RuleChange",
    "RuleFault",
    "RuleKey",
    "RuleRow",
    "RuleSet",
    "Share",
    "WeightedService",
    "compile_rules",
    "decode_text",
    "diff_rules",
    "explain",
    "match_route",
    "rules_digest",
]
