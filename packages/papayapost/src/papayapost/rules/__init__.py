"""The rules language: compiling a text and matching calls against it."""

from papayapost.rules.characters import MAX_TEXT_BYTES, decode_text
from papayapost.rules.compile import compile_rules, digest_of
from papayapost.rules.faults import RuleFault
from papayapost.rules.match import match_route
from papayapost.rules.model import Route, Share
from papayapost.rules.ruleset import RuleSet

__all__ = [
    "MAX_TEXT_BYTES",
    "Route",
    "RuleFault",
    "RuleSet",
    "Share",
    "compile_rules",
    "decode_text",
    "digest_of",
    "match_route",
]
