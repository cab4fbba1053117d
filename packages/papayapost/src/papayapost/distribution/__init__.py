"""Distribution of rules versions to every node."""

from papayapost.distribution.messages import RulesInForce, RulesRejected
from papayapost.distribution.part import DistributionPart, build_distribution
from papayapost.distribution.status import (
    Laggard,
    RefusedVersion,
    StatusReport,
    status_key,
)
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
    "Laggard",
    "RefusedVersion",
    "RulesInForce",
    "RulesRejected",
    "RulesTable",
    "StageRules",
    "StatusReport",
    "SwapRules",
    "VersionRow",
    "WatchRules",
    "build_distribution",
    "status_key",
]
