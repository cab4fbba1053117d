"""Distribution of rules versions to every node of the mesh."""

from papayapost.distribution.direct import (
    DirectWatchRow,
    PeerRulesVersionSeen,
    WatchCounters,
)
from papayapost.distribution.evidence import EvidenceRow
from papayapost.distribution.line_edits import (
    LineEdit,
    apply_edits,
    diff_lines,
)
from papayapost.distribution.messages import (
    AcceptedRules,
    PeersListed,
    RulesInForce,
    RulesRejected,
    RulesStaged,
    StoreBehind,
    StoreEraBegun,
    StoreRegained,
    TextOffered,
)
from papayapost.distribution.part import (
    DirectDistributionPart,
    DistributionPart,
    build_direct_distribution,
    build_distribution,
)
from papayapost.distribution.peer_messages import (
    ChunkRequest,
    Confirmation,
    ContactEcho,
    DataCentreProgress,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesGone,
    RulesNotice,
    RulesProgress,
    RulesRequest,
    RulesShared,
    RulesWanted,
    StoreContact,
)
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.source import ACCEPTED_KEY, RULES_KEY
from papayapost.distribution.status import (
    MAX_REPORTED_LAGGARDS,
    Laggard,
    RefusedVersion,
    StatusReport,
    status_key,
)
from papayapost.distribution.watch_ranks import WatchRanks

__all__ = [
    "ACCEPTED_KEY",
    "MAX_REPORTED_LAGGARDS",
    "RULES_KEY",
    "AcceptedRules",
    "ChunkRequest",
    "Confirmation",
    "ContactEcho",
    "DataCentreProgress",
    "DirectDistributionPart",
    "DirectWatchRow",
    "DistributionPart",
    "EvidenceRow",
    "Laggard",
    "LineEdit",
    "PeerRulesVersionSeen",
    "PeersListed",
    "RefusedVersion",
    "RulesBusy",
    "RulesChunk",
    "RulesDelta",
    "RulesGone",
    "RulesInForce",
    "RulesNotice",
    "RulesProgress",
    "RulesRejected",
    "RulesRequest",
    "RulesShared",
    "RulesStaged",
    "RulesTable",
    "RulesWanted",
    "StatusReport",
    "StoreBehind",
    "StoreContact",
    "StoreEraBegun",
    "StoreRegained",
    "TextOffered",
    "VersionRow",
    "WatchCounters",
    "WatchRanks",
    "apply_edits",
    "build_direct_distribution",
    "build_distribution",
    "diff_lines",
    "status_key",
]
