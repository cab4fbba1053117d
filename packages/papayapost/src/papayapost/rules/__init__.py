"""The rules language: compiles a rules text and matches calls against it."""

from papayapost.rules.access import AccessIndex
from papayapost.rules.characters import MAX_TEXT_BYTES, decode_text, owner_label
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
    ANY_HOST,
    AccessRule,
    Account,
    AccountKey,
    CallerLimits,
    Route,
    RuleRow,
    Share,
    WeightedService,
)
from papayapost.rules.patterns import is_host, is_path_pattern
from papayapost.rules.route import MAX_WEIGHT, is_service_name
from papayapost.rules.ruleset import RuleSet
from papayapost.rules.tokens import MAX_LINE_CHARACTERS

__all__ = [
    "ANY_HOST",
    "DEFAULT_CEILINGS_PERCENT",
    "DEFAULT_FLOORS_PERCENT",
    "MAX_LINE_CHARACTERS",
    "MAX_TEXT_BYTES",
    "MAX_WEIGHT",
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
    "is_host",
    "is_path_pattern",
    "is_service_name",
    "match_route",
    "owner_label",
    "rules_digest",
]
