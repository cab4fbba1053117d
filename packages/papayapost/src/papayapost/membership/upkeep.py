"""Rows of what a node has under way to keep its place in the tree."""

from collections import deque
from dataclasses import dataclass, field

from papayapost.ids import Address, DataCentreId, Micros, NodeId, RuleVersion

__all__ = ["NEVER", "KnownVersion", "RepairRow", "SeekRow", "SuspectRow"]

NEVER = Micros(0)


@dataclass(slots=True)
class KnownVersion:
    """The rules version that a node had acknowledged when last heard of."""

    version: RuleVersion
    noted_us: Micros


@dataclass(slots=True)
class SuspectRow:
    """A member whose failure waits for confirmation.

    Parameters
    ----------
    asked
        Members that were asked to probe it.
    denied
        How many of them could not reach it.
    """

    node_id: NodeId
    stamp: tuple[int, int]
    asked: int
    denied: int = 0
    answered: int = 0


@dataclass(slots=True)
class RepairRow:
    """A comparison of one data centre's rows with the parent.

    Parameters
    ----------
    buckets
        Buckets that differ and were not asked for yet.
    """

    source: Address
    data_centre: DataCentreId
    buckets: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class SeekRow:
    """The search for a parent.

    Parameters
    ----------
    since_us
        When a candidate last answered, or the search began.
    hinted_us
        When contacts were last read from the store.
    target
        Who was asked last and has not answered.
    tried
        Who was asked in this round.
    contacts
        Who was recommended by others, best first.
    answers
        Answers in this round.
    rounds
        Rounds since the last parent, for the back-off.
    """

    since_us: Micros = NEVER
    hinted_us: Micros = NEVER
    target: Address | None = None
    tried: set[Address] = field(default_factory=set)
    contacts: deque[Address] = field(default_factory=deque)
    hints: tuple[Address, ...] = ()
    answers: int = 0
    rounds: int = 0
