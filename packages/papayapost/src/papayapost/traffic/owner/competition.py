"""What accounts and kinds of requests used of a backend server's slots."""

import math
from typing import NewType

from papayapost.define import define
from papayapost.ids import AccountName, Micros
from papayapost.kernel import Table
from papayapost.traffic.messages import AttemptOffer

__all__ = ["Competition", "RequestKind", "request_kind"]

RequestKind = NewType("RequestKind", tuple[bool, Micros | None, bool])
"""Attempts of rules with the same leave to run twice and the same target, with
an account or without one. Unlike `WorkClass` it leaves out the rank, which an
account may set."""

_RECENT_US = 2_000_000.0
"""Time constant of the recent use. A server with 9 slots starts some 40
attempts of half a second in it, enough to tell an account at several times its
usual rate from chance."""

_USUAL_US = 60_000_000.0
"""Time constant of the usual use, above the length of the bursts seen."""

_TOLERATED_ATTEMPTS = 2.0
"""Excess that is put down to chance, in mean attempts. An account whose usual
use of one server is far below one attempt would otherwise exceed its share
with each attempt."""

_MIN_SERVED = 0.4
"""Least share of its attempts that a claimant gets started, relative to all.
Callers are promised a quarter; the rest covers differences between servers."""

_MAX_INNER_SHARE = 0.6
"""Share of the slot time up to which attempts without an account go first.
Servers shared with new work spent up to 0.48 of their time on such calls."""

_EXCESS_WEIGHT = 0.1
"""Weight in the usual use of an account that exceeds its share. With the full
weight, a surge would be usual after as long as the account was seen."""

_MIN_USUAL = 0.5
"""Least usual use from which shares follow, in multiples of the recent use."""

_PERIOD_US = 200_000
"""Time between two updates of what follows from the sums. It bounds the work
for each attempt, and is short against the recent use."""

_MAX_ROWS = 4_096


@define
class UseRow:
    """Slot time in µs that an account was given, as decayed sums.

    What leaves the recent use enters the usual use, so that a surge does not
    become usual as it begins.
    """

    recent_us: float = 0.0
    usual_us: float = 0.0

    def decay(self, age_us: int, weight: float) -> float:
        """Let the sums decay; return what was added to the usual use."""
        left_us = self.recent_us * (1 - math.exp(-age_us / _RECENT_US))
        self.recent_us -= left_us
        self.usual_us *= math.exp(-age_us / _USUAL_US)
        self.usual_us += weight * left_us
        return weight * left_us


@define
class ServedRow:
    """Attempts that asked for a slot and that got one, as decayed counts."""

    asked: float = 0.0
    started: float = 0.0

    def is_below(self, total: "ServedRow") -> bool:
        """Return whether far fewer attempts were started than of all."""
        least = _MIN_SERVED * self.asked * total.started / max(1.0, total.asked)
        # One started attempt too few is within chance.
        return self.started + 1.0 < least


class Competition:
    """Tells which accounts exceed their share and who is below its floor.

    The share of an account is its part of the usual use by all accounts, so
    that large accounts keep what they usually get and a burst of all accounts
    makes none of them exceed its share. Load pattern: `account-surge`, in
    which one account sends 7.5 times its usual rate.

    A claimant is an account or a kind of request. One is below its floor if
    far fewer of its attempts were started than of all. Load pattern:
    `podcasts`, in which calls of running requests and new work need the same
    slots.

    Attributes
    ----------
    excess_us
        Slot time in µs by which accounts exceed their share, for those that
        do.
    below_floor
        Claimants that got too few slots.
    """

    def __init__(self):
        self._uses: Table[AccountName, UseRow] = Table("slot use by account")
        self._served: Table[AccountName | RequestKind, ServedRow] = Table(
            "attempts served by claimant"
        )
        self._accounts_use = UseRow()
        self._inner_use = UseRow()
        self._all_served = ServedRow()
        self._updated_us = Micros(0)
        self.excess_us: dict[AccountName, float] = {}
        self.below_floor: set[AccountName | RequestKind] = set()

    @property
    def inner_share(self) -> float:
        """Share of the recent slot time of attempts without an account."""
        inner_us = self._inner_use.recent_us
        return inner_us / max(1.0, inner_us + self._accounts_use.recent_us)

    @property
    def may_put_inner_first(self) -> bool:
        """Whether attempts without an account go before new work."""
        return self.inner_share <= _MAX_INNER_SHARE

    def advance(self, now_us: Micros, mean_us: float) -> None:
        """Let the sums decay, and update what follows from them when due.

        Parameters
        ----------
        mean_us
            Mean time in µs for which attempts hold a slot.
        """
        age_us = now_us - self._updated_us
        if age_us < _PERIOD_US:
            return
        self._updated_us = now_us
        self._decay(age_us)
        total = self._accounts_use
        tolerated_us = _TOLERATED_ATTEMPTS * mean_us
        self.excess_us = {}
        if total.usual_us > _MIN_USUAL * total.recent_us:
            growth = total.recent_us / total.usual_us
            for account, use in self._uses.items():
                excess_us = use.recent_us - use.usual_us * growth - tolerated_us
                if excess_us > 0:
                    self.excess_us[account] = excess_us
        self.below_floor = {
            claimant
            for claimant, row in self._served.items()
            if row.is_below(self._all_served)
        }

    def record_ask(self, offer: AttemptOffer) -> None:
        """Record that an attempt asked for a slot."""
        for row in self._served_rows(offer):
            row.asked += 1

    def record_start(self, offer: AttemptOffer, cost_us: float) -> None:
        """Record that an attempt got a slot, and for how long probably."""
        for row in self._served_rows(offer):
            row.started += 1
        account = offer.account
        if account is None:
            self._inner_use.recent_us += cost_us
            return
        if account in self.excess_us:
            self.excess_us[account] += cost_us
        self._accounts_use.recent_us += cost_us
        self._use(account).recent_us += cost_us

    def is_below_floor(self, offer: AttemptOffer) -> bool:
        """Return whether an attempt's kind or account got too few slots."""
        below_floor = self.below_floor
        return bool(below_floor) and (
            request_kind(offer) in below_floor or offer.account in below_floor
        )

    def _decay(self, age_us: int) -> None:
        recent = math.exp(-age_us / _RECENT_US)
        self._inner_use.decay(age_us, 1.0)
        total = self._accounts_use
        total.decay(age_us, 0.0)
        for account, use in self._uses.items():
            weight = _EXCESS_WEIGHT if account in self.excess_us else 1.0
            total.usual_us += use.decay(age_us, weight)
        for row in (self._all_served, *self._served):
            row.asked *= recent
            row.started *= recent

    def _served_rows(self, offer: AttemptOffer) -> list[ServedRow]:
        rows = [self._all_served]
        for claimant in _claimants(offer):
            row = self._served.get(claimant)
            if row is None:
                if len(self._served) >= _MAX_ROWS:
                    oldest, _ = next(iter(self._served.items()))
                    self._served.pop(oldest)
                row = ServedRow()
                self._served.put(claimant, row)
            rows.append(row)
        return rows

    def _use(self, account: AccountName) -> UseRow:
        use = self._uses.get(account)
        if use is None:
            if len(self._uses) >= _MAX_ROWS:
                oldest, _ = next(iter(self._uses.items()))
                self._uses.pop(oldest)
            use = UseRow()
            self._uses.put(account, use)
        return use


def request_kind(offer: AttemptOffer) -> RequestKind:
    """Return the kind of an offered attempt."""
    return RequestKind((offer.idempotent, offer.rule_target_us, offer.account is None))


def _claimants(offer: AttemptOffer) -> list[AccountName | RequestKind]:
    kind = request_kind(offer)
    return [kind] if offer.account is None else [kind, offer.account]
