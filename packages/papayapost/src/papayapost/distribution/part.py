"""Builds the distribution part of a node's world."""

from dataclasses import dataclass

from papayapost.distribution.tables import RulesTable
from papayapost.distribution.versions import (
    RULES_KEY,
    StageRules,
    SwapRules,
    WatchRules,
)
from papayapost.kernel import System
from papayapost.membership import MembershipPart
from papayapost.storage import WatchObject

__all__ = ["DistributionPart", "build_distribution"]


@dataclass(slots=True)
class DistributionPart:
    """Tables and systems of the rules, and what its first tick takes."""

    rules: RulesTable
    systems: list[System]
    first_messages: list[object]


def build_distribution(membership: MembershipPart) -> DistributionPart:
    """Return the distribution part of a node without any rules."""
    rules = RulesTable()
    systems: list[System] = [
        WatchRules(rules),
        StageRules(rules),
        SwapRules(rules, membership.directory),
    ]
    return DistributionPart(rules, systems, [WatchObject(RULES_KEY, 0)])
