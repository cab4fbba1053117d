"""Specification of how the tokens of one account are lent in two regions.

Each region has half of the quota and one lender at a time, which
`lease_protocol` checks. A lender may lose its lease at any time, as in a cut
or a restart, and a new term begins at any later time. Time passes in steps,
and a step adds the rate to each bucket. A token that was granted is used, or
returned unused, in the same or the next step. In the south, each is used at
once, and no lease is lost: this keeps the search small. The regions send each
other tokens, which are dropped after that time or lost in a cut. The quota is
lowered once, and the regions learn of it one after the other.

The bound on all windows is checked by a level: each used token raises it by
one, and each step lowers it by the rate of both regions. If the level stays
within a limit, the tokens used in any window stay within the rate of its time
plus that limit.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = ["Quota", "QuotaSpec", "QuotaState", "Region", "Term"]

MAX_AGE = 1
"""Age up to which tokens are used, returned, or received from a region."""

SETTLE_STEPS = 2
"""Steps after which tokens of the former quota are not used any more."""


class Quota(NamedTuple):
    """Tokens of one region in a step, and capacity of its bucket."""

    rate: int
    cap: int


NORTH, SOUTH = 0, 1
OLD, NEW = Quota(1, 1), Quota(0, 0)


class Term(Enum):
    """Whether a region has a lender."""

    LENDING = "lending"
    NONE = "none"


class Region(NamedTuple):
    """Bucket and quota of a region, with the tokens that it has granted.

    ``granted`` are the tokens of this step and the last one that are neither
    used nor returned. ``orphans`` are those of a former term. ``spent`` counts
    the tokens of these steps that were granted or sent, less those that were
    returned or received.
    """

    term: Term = Term.LENDING
    tokens: int = 0
    quota: Quota = OLD
    granted: tuple[int, int] = (0, 0)
    orphans: tuple[int, int] = (0, 0)
    spent: tuple[int, int] = (0, 0)


class QuotaState(NamedTuple):
    """State of the regions and of the bound.

    ``sent`` is a token on its way: the region that gets it, and its age; None
    if there is none. ``settled`` counts the steps since both regions know the
    lower quota; None before that. ``terms_left`` is the number of leases that
    may still be lost.
    """

    regions: tuple[Region, Region] = (Region(), Region())
    sent: tuple[int, int] | None = None
    level: int = 0
    settled: int | None = None
    terms_left: int = 0


Steps = Iterator[tuple[str, QuotaState]]


class QuotaSpec(Spec):
    """The protocol that the lenders follow; a subclass breaks one guard.

    Parameters
    ----------
    terms
        Limit on the number of leases that are lost.
    is_lowered
        Whether the quota is lowered once.
    """

    def __init__(self, terms: int = 1, is_lowered: bool = True):
        self._terms = terms
        self._is_lowered = is_lowered

    def initial(self) -> QuotaState:
        """Return the state in which both lenders have just taken a lease."""
        return QuotaState(terms_left=self._terms)

    def steps(self, state: QuotaState) -> list[tuple[str, QuotaState]]:
        """Return the name and the next state of every possible step."""
        return [
            *self._pass_time(state),
            *self._grant(state),
            *self._end_call(state),
            *self._transfer(state),
            *self._change_term(state),
            *self._lower(state),
        ]

    def invariants(self) -> Mapping[str, Callable[[QuotaState], bool]]:
        """Return the guarantees that operators rely on for quotas."""
        return {
            "the quota holds in every window": _is_quota_kept,
            "a lower quota holds once it has settled": _is_lower_quota_kept,
        }

    def goal(self, state: QuotaState) -> bool:
        """Return whether both regions lend under the lower quota."""
        return all(
            region.term is Term.LENDING and region.quota == NEW
            for region in state.regions
        )

    def tokens_after_taking(self, region: Region) -> int:
        """Return the tokens with which a new term begins.

        Tokens that the former term granted may still be used. The bucket
        therefore gets none before they are too old.
        """
        return -region.quota.rate * MAX_AGE

    def tokens_after_lowering(self, region: Region) -> int:
        """Return the tokens that stay under the lower quota."""
        return min(region.tokens, NEW.cap)

    def tokens_after_sending(self, region: Region) -> int:
        """Return the tokens left after one was sent to the other region."""
        return region.tokens - 1

    def credited(self, region: Region, count: int) -> int:
        """Return the tokens of a bucket after some were added to it.

        Tokens that are returned and granted again must not add up beside the
        bucket. Those spent of late therefore count as if they were in it,
        beyond the rate of that time.
        """
        quota = region.quota
        most = quota.cap + quota.rate * MAX_AGE - sum(region.spent)
        return min(quota.cap, region.tokens + count, max(0, most))

    def is_orphan_credited(self) -> bool:
        """Return whether a token of a former term may be returned."""
        return False

    def granted_after_step(self, granted: tuple[int, int]) -> tuple[int, int]:
        """Return the granted tokens one step later."""
        return (0, granted[0])

    def is_sent_token_taken(self, age: int) -> bool:
        """Return whether a token from the other region is still taken."""
        return age <= MAX_AGE

    def _pass_time(self, state: QuotaState) -> Steps:
        sent, settled = state.sent, state.settled
        if sent is not None:
            sent = (sent[0], min(sent[1] + 1, MAX_AGE + 1))
        drained = sum(region.quota.rate for region in state.regions)
        level = max(0, state.level - drained)
        if settled is not None and settled < SETTLE_STEPS:
            settled += 1
            level = 0 if settled == SETTLE_STEPS else level
        north, south = state.regions
        yield (
            "pass time",
            state._replace(
                regions=(self._next(north), self._next(south)),
                sent=sent,
                level=level,
                settled=settled,
            ),
        )

    def _next(self, region: Region) -> Region:
        """Return a region one step later."""
        after = region._replace(
            spent=(0, region.spent[0]),
            granted=self.granted_after_step(region.granted),
            orphans=(0, region.orphans[0]),
        )
        if region.term is Term.NONE:
            return after
        return after._replace(tokens=self.credited(after, region.quota.rate))

    def _grant(self, state: QuotaState) -> Steps:
        for at, region in enumerate(state.regions):
            if region.tokens <= 0 or region.term is Term.NONE:
                continue
            if at == SOUTH:
                used = region._replace(
                    tokens=region.tokens - 1, spent=_spent(region, 1)
                )
                after = _with(state, at, used)
                yield "grant and use", after._replace(level=state.level + 1)
            else:
                young, old = region.granted
                given = region._replace(
                    tokens=region.tokens - 1,
                    granted=(young + 1, old),
                    spent=_spent(region, 1),
                )
                yield "grant", _with(state, at, given)

    def _end_call(self, state: QuotaState) -> Steps:
        for at, region in enumerate(state.regions):
            for age in (0, 1):
                if region.granted[age]:
                    left = region._replace(granted=_less_one(region.granted, age))
                    yield from self._use_or_return(state, at, left, age, True)
                if region.orphans[age]:
                    left = region._replace(orphans=_less_one(region.orphans, age))
                    is_credited = self.is_orphan_credited()
                    yield from self._use_or_return(state, at, left, age, is_credited)

    def _use_or_return(
        self, state: QuotaState, at: int, left: Region, age: int, is_credited: bool
    ) -> Steps:
        used = _with(state, at, left)
        yield "use", used._replace(level=state.level + 1)
        if is_credited and left.term is Term.LENDING:
            returned = left._replace(spent=_less_one(left.spent, age))
            returned = returned._replace(tokens=self.credited(returned, 1))
            yield "return", _with(state, at, returned)

    def _transfer(self, state: QuotaState) -> Steps:
        for at, region in enumerate(state.regions):
            is_lending = region.term is Term.LENDING
            if state.sent is None and region.tokens > 0 and is_lending:
                left = region._replace(
                    tokens=self.tokens_after_sending(region), spent=_spent(region, 1)
                )
                yield "send", _with(state, at, left)._replace(sent=(1 - at, 0))
        if state.sent is None:
            return
        at, age = state.sent
        region = state.regions[at]
        yield "lose sent token", state._replace(sent=None)
        if self.is_sent_token_taken(age) and region.term is Term.LENDING:
            filled = region._replace(spent=_spent(region, -1))
            filled = filled._replace(tokens=self.credited(filled, 1))
            yield "receive", _with(state, at, filled)._replace(sent=None)

    def _change_term(self, state: QuotaState) -> Steps:
        for at, region in enumerate(state.regions):
            if region.term is Term.NONE:
                tokens = self.tokens_after_taking(region)
                taken = region._replace(term=Term.LENDING, tokens=tokens)
                yield "take lease", _with(state, at, taken)
            elif at == NORTH and state.terms_left:
                lost = Region(
                    Term.NONE,
                    0,
                    region.quota,
                    (0, 0),
                    (
                        region.granted[0] + region.orphans[0],
                        region.granted[1] + region.orphans[1],
                    ),
                )
                left = state._replace(terms_left=state.terms_left - 1)
                yield "lose lease", _with(left, at, lost)

    def _lower(self, state: QuotaState) -> Steps:
        for at, region in enumerate(state.regions):
            if region.quota == NEW or not self._is_lowered:
                continue
            tokens = self.tokens_after_lowering(region)
            after = _with(state, at, region._replace(quota=NEW, tokens=tokens))
            is_known = all(item.quota == NEW for item in after.regions)
            settled = 0 if is_known else None
            yield "learn lower quota", after._replace(settled=settled)


def _less_one(counts: tuple[int, int], age: int) -> tuple[int, int]:
    young, old = counts
    return (young - 1, old) if age == 0 else (young, old - 1)


def _spent(region: Region, count: int) -> tuple[int, int]:
    young, old = region.spent
    return (young + count, old)


def _with(state: QuotaState, at: int, region: Region) -> QuotaState:
    north, south = state.regions
    return state._replace(regions=(region, south) if at == 0 else (north, region))


def _limit(quota: Quota) -> int:
    """Return the largest level: the bursts, and the rates of two times.

    In these times, a token may be kept at an entry node, and be on its way
    between the regions.
    """
    return 2 * quota.cap + 2 * quota.rate * (MAX_AGE + MAX_AGE)


def _is_quota_kept(state: QuotaState) -> bool:
    return state.level <= _limit(OLD)


def _is_lower_quota_kept(state: QuotaState) -> bool:
    return state.settled != SETTLE_STEPS or state.level <= _limit(NEW)
