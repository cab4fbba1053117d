"""Messages of the load generator's world."""

from dataclasses import dataclass

from papayapost.ids import Address
from papayapost_testing.load.tables import CallNumber, CallRow, Verdict

__all__ = [
    "ArrivalDue",
    "CallEnded",
    "CallSend",
    "EntryClosed",
    "EntryOpened",
    "RateSet",
]


@dataclass(slots=True)
class RateSet:
    """Input: generate calls at this rate from now on; 0 stops them."""

    rate_per_s: float


@dataclass(slots=True)
class ArrivalDue:
    """Timer: the next call is due."""


@dataclass(slots=True)
class EntryOpened:
    """Input: callers may send calls to this entry node from now on."""

    address: Address


@dataclass(slots=True)
class EntryClosed:
    """Input: callers must send no new calls to this entry node."""

    address: Address


@dataclass(slots=True)
class CallSend:
    """Effect: send the call to its entry node."""

    call: CallRow


@dataclass(slots=True)
class CallEnded:
    """Input: a call that was sent, for the first time or again, has ended.

    Parameters
    ----------
    is_entry_refused
        Whether no connection to the entry node could be opened.
    is_entry_closing
        Whether the answer said that the entry node closes the connection,
        as a draining node does.
    code
        Refusal code that the entry node answered, or empty.
    """

    number: CallNumber
    verdict: Verdict
    is_entry_refused: bool = False
    is_entry_closing: bool = False
    code: str = ""
