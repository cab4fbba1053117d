"""What each rank keeps of a backend server's slots."""

from dataclasses import dataclass

from papayapost.distribution import RulesTable
from papayapost.rules import (
    DEFAULT_CEILINGS_PERCENT,
    DEFAULT_FLOORS_PERCENT,
    RuleSet,
)
from papayapost.states import Rank

__all__ = ["DEFAULT_SHARES", "RankShares", "SharesInForce"]


@dataclass(frozen=True, slots=True)
class RankShares:
    """Floors and ceilings as fractions, by rank.

    Parameters
    ----------
    floors
        Part of the slot time that the rank gets whatever others send.
    ceilings
        Part of the slots that the rank does not exceed while others wait.
    """

    floors: tuple[float, ...]
    ceilings: tuple[float, ...]

    @classmethod
    def of(cls, rules: RuleSet | None) -> "RankShares":
        """Return the rules' shares, and the defaults for other ranks."""
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
"""Shares where the rules state none; see docs/notes/0010."""


class SharesInForce:
    """The shares of the rules in force, computed once per version.

    Attributes
    ----------
    current
        The shares as of the last look.
    """

    def __init__(self, rules: RulesTable):
        self._rules = rules
        self._of: RuleSet | None = None
        self.current = DEFAULT_SHARES

    def have_changed(self) -> bool:
        """Look whether another version is in force."""
        in_force = self._rules.in_force
        if in_force is None or in_force.rules is self._of:
            return False
        self._of = in_force.rules
        self.current = RankShares.of(in_force.rules)
        return True
