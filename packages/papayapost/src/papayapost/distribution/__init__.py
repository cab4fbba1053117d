"""Distribution of rules versions to every node."""

from papayapost.distribution.held import RulesTable, VersionRow
from papayapost.distribution.lines import (
    MAX_RULES_BYTES,
    LineEdit,
    apply_edits,
    diff_lines,
)
from papayapost.distribution.messages import (
    AcceptedRules,
    RulesHeld,
    RulesInForce,
    RulesRejected,
    StoreBehind,
    TextOffered,
)
from papayapost.distribution.part import DistributionPart, build_distribution
from papayapost.distribution.peer_messages import (
    ChunkRequest,
    PartProgress,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesGone,
    RulesNotice,
    RulesProgress,
    RulesRequest,
)
from papayapost.distribution.source import ACCEPTED_KEY, RULES_KEY
from papayapost.distribution.status import (
    MAX_REPORTED_LAGGARDS,
    Laggard,
    RefusedVersion,
    StatusReport,
    status_key,
)

__all__ = [
    "ACCEPTED_KEY",
    "MAX_REPORTED_LAGGARDS",
    "MAX_RULES_BYTES",
    "RULES_KEY",
    "AcceptedRules",
    "ChunkRequest",
    "DistributionPart",
    "Laggard",
    "LineEdit",
    "PartProgress",
    "RefusedVersion",
    "RulesBusy",
    "RulesChunk",
    "RulesDelta",
    "RulesGone",
    "RulesHeld",
    "RulesInForce",
    "RulesNotice",
    "RulesProgress",
    "RulesRejected",
    "RulesRequest",
    "RulesTable",
    "StatusReport",
    "StoreBehind",
    "TextOffered",
    "VersionRow",
    "apply_edits",
    "build_distribution",
    "diff_lines",
    "status_key",
]
