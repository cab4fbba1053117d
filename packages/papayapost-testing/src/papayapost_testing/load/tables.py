"""Tables of the load generator: call types, calls and results."""

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
    "CallTypeRow",
    "EntryRow",
    "LoadTables",
    "TallyRow",
    "Verdict",
]

_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3

CallNumber = NewType("CallNumber", int)
"""Number of a generated call; repeats of the call keep it."""


class Verdict(Enum):
    """Result of a call, as its caller sees it.

    WHOLE is a complete answer that echoes this call, and WRONG_ANSWER a
    complete answer that does not. NOT_RUN and UNKNOWN are refusals with that
    outcome; any other status of 500 or more also counts as UNKNOWN. CUT is an
    incomplete answer. NO_ANSWER is a failed connection or a time-out.
    """

    WHOLE = "whole"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    CUT = "cut short"
    WRONG_ANSWER = "not its own"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class CallTypeRow:
    """One kind of call that the generator sends.

    Parameters
    ----------
    weight
        Share of the arrivals, relative to the weights of the other kinds.
    is_keyed
        Whether each call carries an idempotency key of its own.
    body_bytes
        Size of the request body in bytes.
    timeout_ms
        Time budget that the caller sends with the call, in ms.
    repeats
        Number of times that the caller repeats a call that got no whole
        answer.
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
    """An entry node that callers may send calls to."""

    address: Address
    is_open: bool = True


@dataclass(slots=True)
class CallRow:
    """A call that has not ended yet.

    Parameters
    ----------
    due_us
        Monotonic time in µs at which the call was due, even if it was sent
        later.
    entry
        Entry node that the call was sent to last.
    """

    number: CallNumber
    call_type: CallTypeRow
    due_us: Micros
    key: IdempotencyKey | None
    repeats_left: int
    entry: Address | None = None


@dataclass(slots=True)
class TallyRow:
    """Results of the calls of one rank.

    Attributes
    ----------
    arrived
        Number of calls that were generated.
    repeated
        Number of repeats.
    verdicts
        Number of calls for each final result.
    latency_us
        Time from the due time to the end of the whole answer, in µs.
    """

    rank: Rank
    arrived: int = 0
    repeated: int = 0
    verdicts: dict[Verdict, int] = field(
        default_factory=lambda: dict.fromkeys(Verdict, 0)
    )
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    )


class LoadTables:
    """All tables of the load generator.

    Attributes
    ----------
    not_run_keys
        Idempotency keys whose calls were refused as not run and were not
        repeated.
    whole_keys
        Idempotency keys whose calls got a whole answer.
    refusals
        Number of refusals by code, also of calls that were repeated later.
    """

    def __init__(self):
        self.call_types: list[CallTypeRow] = []
        self.entries: Table[Address, EntryRow] = Table("entries")
        self.calls: Table[CallNumber, CallRow] = Table("calls")
        self.tallies = {rank: TallyRow(rank) for rank in Rank}
        self.not_run_keys: set[IdempotencyKey] = set()
        self.whole_keys: set[IdempotencyKey] = set()
        self.refusals: Counter[str] = Counter()
        self.rate_per_s = 0.0
