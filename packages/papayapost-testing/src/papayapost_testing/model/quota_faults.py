"""Faulty variants of the lease and quota specifications.

Each has one broken guard, and names the invariant that it must break.
"""

from collections.abc import Mapping

from papayapost_testing.model.checking import Spec
from papayapost_testing.model.lease_protocol import VALID_STEPS, LeaseSpec, Request
from papayapost_testing.model.quota_protocol import OLD, QuotaSpec, Region

__all__ = ["QUOTA_FAULTS"]


class _CountsValidityFromTheAnswer(LeaseSpec):
    def valid_steps(self, request: Request) -> int:
        return VALID_STEPS


class _TakesOverTooEarly(LeaseSpec):
    def may_take_over(self, seen: int) -> bool:
        return seen >= VALID_STEPS - 1


class _WritesUnconditionally(LeaseSpec):
    def is_written(self, request: Request) -> bool:
        return True


class _WithoutLowering(QuotaSpec):
    """Keeps the quota, so that the search for the other faults is small."""

    def __init__(self, terms: int = 0):
        super().__init__(terms, is_lowered=False)


class _OfTwoTerms(_WithoutLowering):
    def __init__(self):
        super().__init__(1)


class _BeginsWithFullBuckets(_OfTwoTerms):
    def tokens_after_taking(self, region: Region) -> int:
        return region.quota.cap


class _BeginsWithTokensAtOnce(_OfTwoTerms):
    def tokens_after_taking(self, region: Region) -> int:
        return 0


class _KeepsTokensThatItSends(_WithoutLowering):
    def tokens_after_sending(self, region: Region) -> int:
        return region.tokens


class _SavesUpReturnedTokens(_WithoutLowering):
    def credited(self, region: Region, count: int) -> int:
        return min(region.quota.cap, region.tokens + count)


class _TakesBackTokensOfAnyAge(_WithoutLowering):
    def granted_after_step(self, granted: tuple[int, int]) -> tuple[int, int]:
        return (0, min(8, sum(granted)))


class _TakesBackTokensOfFormerTerms(_OfTwoTerms):
    def is_orphan_credited(self) -> bool:
        return True


class _FillsBucketsAboveTheirCapacity(_WithoutLowering):
    def credited(self, region: Region, count: int) -> int:
        return min(2 * OLD.cap, region.tokens + count)


class _KeepsTokensOfTheFormerQuota(QuotaSpec):
    def tokens_after_lowering(self, region: Region) -> int:
        return region.tokens

    def credited(self, region: Region, count: int) -> int:
        return max(region.tokens, super().credited(region, count))


_LEASE = "one node lends under a lease"
_WINDOW = "the quota holds in every window"
_LOWERED = "a lower quota holds once it has settled"

QUOTA_FAULTS: Mapping[type[Spec], str] = {
    _CountsValidityFromTheAnswer: _LEASE,
    _TakesOverTooEarly: _LEASE,
    _WritesUnconditionally: _LEASE,
    _BeginsWithFullBuckets: _WINDOW,
    _BeginsWithTokensAtOnce: _WINDOW,
    _KeepsTokensThatItSends: _WINDOW,
    _SavesUpReturnedTokens: _WINDOW,
    _TakesBackTokensOfAnyAge: _WINDOW,
    _TakesBackTokensOfFormerTerms: _WINDOW,
    _FillsBucketsAboveTheirCapacity: _WINDOW,
    _KeepsTokensOfTheFormerQuota: _LOWERED,
}
"""Invariant that each variant must break."""
