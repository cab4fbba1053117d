"""Distribution of rules versions and of the backend server directory."""

from papayapost.distribution.directory import AnnounceToSeeds, MergeAnnouncements
from papayapost.distribution.messages import (
    Announcement,
    ObjectSeen,
    PeerSend,
    RefreshDue,
    RulesInForce,
    RulesRejected,
    StoreFailed,
    WatchObject,
)
from papayapost.distribution.tables import (
    BackendServerRow,
    Directory,
    RulesTable,
    VersionRow,
    directory_table,
)
from papayapost.distribution.versions import (
    RULES_KIND,
    RULES_NAME,
    StageRules,
    SwapRules,
    WatchRules,
)

__all__ = [
    "RULES_KIND",
    "RULES_NAME",
    "AnnounceToSeeds",
    "Announcement",
    "BackendServerRow",
    "Directory",
    "MergeAnnouncements",
    "ObjectSeen",
    "PeerSend",
    "RefreshDue",
    "RulesInForce",
    "RulesRejected",
    "RulesTable",
    "StageRules",
    "StoreFailed",
    "SwapRules",
    "VersionRow",
    "WatchObject",
    "WatchRules",
    "directory_table",
]
