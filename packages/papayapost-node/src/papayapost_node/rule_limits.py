"""Limits on callers' requests that the rules in force may set."""

from dataclasses import replace
from typing import Any

from papayapost.distribution import RulesTable
from papayapost.rules import CallerLimits
from papayapost_node.http import HttpLimits
from papayapost_node.http.limits import LimitsSource

__all__ = ["RuleLimits"]


class RuleLimits(LimitsSource):
    """The limits of the settings, with those of the rules in their place.

    Parameters
    ----------
    settings
        Limits according to the settings.
    rules
        Holds the rules in force.
    """

    def __init__(self, settings: HttpLimits, rules: RulesTable):
        self._settings = settings
        self._rules = rules
        self._rule: CallerLimits | None = None
        self._limits = settings

    def current(self) -> HttpLimits:
        """Return the limits of connections that are opened now."""
        in_force = self._rules.in_force
        rule = in_force.rules.limits if in_force is not None else None
        if rule is not self._rule:
            self._rule = rule
            self._limits = _with_rule(self._settings, rule)
        return self._limits


def _with_rule(limits: HttpLimits, rule: CallerLimits | None) -> HttpLimits:
    if rule is None:
        return limits
    values = {
        "head_bytes": rule.head_bytes,
        "body_bytes": rule.body_bytes,
        "head_timeout_ms": rule.head_timeout_ms,
        "idle_timeout_ms": rule.idle_timeout_ms,
    }
    given: dict[str, Any] = {
        name: value for name, value in values.items() if value is not None
    }
    return replace(limits, **given)
