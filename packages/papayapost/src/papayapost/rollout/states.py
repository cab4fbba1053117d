"""States of a roll-out."""

from enum import Enum

__all__ = ["FINAL_PHASES", "Phase"]


class Phase(Enum):
    """How far a roll-out is, as its controller announces it.

    While ``HELD`` the target version gets no calls, in ``CANARY`` a small
    share, in ``SHIFT`` all. The last two phases are final.
    """

    HELD = "held"
    CANARY = "canary"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


FINAL_PHASES = frozenset([Phase.COMPLETED, Phase.ROLLED_BACK])
