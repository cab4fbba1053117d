"""Floors and ceilings of the ranks' shares of a backend server's slots."""

from papayapost.define import define
from papayapost.distribution import RulesTable
from papayapost.rules import (
    DEFAULT_CEILINGS_PERCENT,
    DEFAULT_FLOORS_PERCENT,
    RuleSet,
)
from papayapost.states import Rank

__all__ = ["DEFAULT_SHARES", "ActiveShares", "RankShares"]


@define(frozen=True)
class RankShares:
    """Floors and ceilings as fractions, by rank.

    Parameters
    ----------
    floors
        Least fraction of the slot time that a rank gets while its attempts
        wait, however many attempts the other ranks send.
    ceilings
        Fraction of the slots that a rank may hold while other ranks wait.
    """

    floors: tuple[float, ...]
    ceilings: tuple[float, ...]

    @classmethod
    def of(cls, rules: RuleSet | None) -> "RankShares":
        """Return the rules' shares, with defaults for ranks without a rule."""
        floors = list(DEFAULT_SHARES.floors)
        ceilings = list(DEFAULT_SHARES.ceilings)
        for share in rules.shares if rules is not None else ():
            floors[share.rank] = share.floor_percent / 100
            ceilings[share.rank] = share.ceiling_percent / 100
        return cls(tuple(floors), tuple(ceilings))


DEFAULT_SHARES = RankShares(
    floors=tuple(DEFAULT_FLOORS_PERCENT[rank] / 100 for rank in Rank),
    ceilings=tuple(DEFAULT_CEILINGS_PERCENT[rank] / 100 for rank in Rank),
)
"""Shares of ranks for which the rules set none; see docs/notes/0010."""


class ActiveShares:
    """The shares that the active rules set, computed once per rules version.

    Attributes
    ----------
    current
        The shares at the last refresh.
    """

    def __init__(self, rules: RulesTable):
        self._rules = rules
        self._computed_from: RuleSet | None = None
        self.current = DEFAULT_SHARES

    def refresh(self) -> bool:
        """Recompute the shares; return whether the active rules changed."""
        in_force = self._rules.in_force
        if in_force is None or in_force.rules is self._computed_from:
            return False
        self._computed_from = in_force.rules
        self.current = RankShares.of(in_force.rules)
        return True
