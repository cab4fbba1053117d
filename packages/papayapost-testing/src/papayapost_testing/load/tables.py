"""Tables of the load generator."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from hdrh.histogram import HdrHistogram

from papayapost.ids import Address, IdempotencyKey, Micros
from papayapost.kernel import Table
from papayapost.states import Rank

__all__ = [
    "CallNumber",
    "CallRow",
    "EntryRow",
    "LoadTables",
    "MixRow",
    "TallyRow",
    "Verdict",
]

_HIGHEST_US = 120_000_000
_DIGITS = 3

CallNumber = NewType("CallNumber", int)


class Verdict(Enum):
    """What the caller can say of one call in the end."""

    WHOLE = "whole"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    CUT = "cut short"
    FOREIGN = "not its own"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class MixRow:
    """One kind of call.

    Parameters
    ----------
    weight
        Share of the arrivals, relative to the other kinds.
    is_keyed
        Whether each call carries an idempotency key of its own.
    repeats
        Times that the caller repeats a call that was not answered whole.
    """

    name: str
    rank: Rank
    method: str
    host: str
    path: str
    weight: float
    is_keyed: bool = False
    body_bytes: int = 0
    timeout_ms: int = 2_000
    repeats: int = 1


@dataclass(slots=True)
class EntryRow:
    """A node that callers may send to."""

    address: Address
    is_open: bool = True


@dataclass(slots=True)
class CallRow:
    """A call that waits for its answer.

    Parameters
    ----------
    intended_us
        When the call should have left, whatever the generator was doing.
    """

    number: CallNumber
    mix: MixRow
    intended_us: Micros
    key: IdempotencyKey | None
    repeats_left: int
    entry: Address | None = None


@dataclass(slots=True)
class TallyRow:
    """Results of one rank.

    Attributes
    ----------
    latency_us
        Time from the intended start to the whole answer, in µs.
    """

    rank: Rank
    arrived: int = 0
    repeated: int = 0
    verdicts: dict[Verdict, int] = field(
        default_factory=lambda: dict.fromkeys(Verdict, 0)
    )
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _HIGHEST_US, _DIGITS)
    )


class LoadTables:
    """All tables of the load generator."""

    def __init__(self):
        self.mixes: list[MixRow] = []
        self.entries: Table[Address, EntryRow] = Table("entries")
        self.calls: Table[CallNumber, CallRow] = Table("calls")
        self.tallies = {rank: TallyRow(rank) for rank in Rank}
        self.not_run_keys: set[IdempotencyKey] = set()
        self.whole_keys: set[IdempotencyKey] = set()
        self.refusals: Counter[str] = Counter()
        self.rate_per_s = 0.0
