"""Quotas of client accounts over all nodes: leases, buckets, requests."""

from papayapost.quota.messages import (
    LeaseRenewed,
    NotLender,
    TokenDenied,
    TokenGrant,
    TokenGranted,
    TokenNeeded,
    TokenReturned,
    TokenSettled,
    TokensSent,
    TokensWanted,
    TokenUnneeded,
    TokenUnused,
    TokenVerdict,
    TokenWanted,
)
from papayapost.quota.part import QuotaPart, build_quota
from papayapost.quota.tables import QuotaCounters, QuotaLease, QuotaTables

__all__ = [
    "LeaseRenewed",
    "NotLender",
    "QuotaCounters",
    "QuotaLease",
    "QuotaPart",
    "QuotaTables",
    "TokenDenied",
    "TokenGrant",
    "TokenGranted",
    "TokenNeeded",
    "TokenReturned",
    "TokenSettled",
    "TokenUnneeded",
    "TokenUnused",
    "TokenVerdict",
    "TokenWanted",
    "TokensSent",
    "TokensWanted",
    "build_quota",
]
