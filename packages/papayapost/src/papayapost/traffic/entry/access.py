"""Decides which client account a call belongs to, and whether it may run."""

from papayapost.define import define
from papayapost.distribution import EvidenceRow
from papayapost.ids import KeyDigest, Micros
from papayapost.rules import Account, Route, RuleSet
from papayapost.states import Rank
from papayapost.traffic.messages import RefusalCode

__all__ = ["AccessGrant", "decide_access"]


@define(frozen=True)
class AccessGrant:
    """The account and the rank with which a call is served.

    Parameters
    ----------
    account
        Account that holds the call's key; None for an anonymous call.
    """

    account: Account | None
    rank: Rank


def decide_access(
    rules: RuleSet,
    route: Route,
    key_digest: KeyDigest | None,
    evidence: EvidenceRow,
    now_us: Micros,
) -> AccessGrant | RefusalCode:
    """Return the account of a call, or why the call is refused.

    A node that may have missed a change of the keys refuses calls with a key
    as not run, whether it knows the key or not: the key may have been removed
    or added since.
    """
    if not rules.access.requires_keys:
        return AccessGrant(None, route.rank)
    account = rules.access.account_of(key_digest)
    if account is None and route.anonymous:
        return AccessGrant(None, route.rank)
    if not evidence.is_fresh(now_us):
        return RefusalCode.KEYS_UNCERTAIN
    if account is None:
        return RefusalCode.UNKNOWN_KEY
    return AccessGrant(account, route.rank if account.rank is None else account.rank)
