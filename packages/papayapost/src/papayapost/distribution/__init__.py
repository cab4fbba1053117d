"""Distribution of rules versions to every node."""

from papayapost.distribution.messages import RulesInForce, RulesRejected
from papayapost.distribution.part import DistributionPart, build_distribution
from papayapost.distribution.tables import RulesTable, VersionRow
from papayapost.distribution.versions import (
    RULES_KEY,
    StageRules,
    SwapRules,
    WatchRules,
)

__all__ = [
    "RULES_KEY",
    "DistributionPart",
    "RulesInForce",
    "RulesRejected",
    "RulesTable",
    "StageRules",
    "SwapRules",
    "VersionRow",
    "WatchRules",
    "build_distribution",
]
