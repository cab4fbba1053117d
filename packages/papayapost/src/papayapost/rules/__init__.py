"""The rules language: compiling a text and matching calls against it."""

from papayapost.rules.compile import compile_rules, digest_of
from papayapost.rules.match import match_route
from papayapost.rules.model import Route, RuleSet, Share

__all__ = ["Route", "RuleSet", "Share", "compile_rules", "digest_of", "match_route"]
