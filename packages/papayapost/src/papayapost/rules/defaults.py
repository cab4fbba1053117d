"""Default floors and ceilings of ranks without a ``share`` line."""

from collections.abc import Mapping

from papayapost.states import Rank

__all__ = ["DEFAULT_CEILINGS_PERCENT", "DEFAULT_FLOORS_PERCENT"]

DEFAULT_FLOORS_PERCENT: Mapping[Rank, int] = {
    Rank.URGENT: 0,
    Rank.HIGH: 10,
    Rank.NORMAL: 10,
    Rank.BULK: 5,
}
DEFAULT_CEILINGS_PERCENT: Mapping[Rank, int] = {
    Rank.URGENT: 100,
    Rank.HIGH: 100,
    Rank.NORMAL: 100,
    Rank.BULK: 70,
}
