"""Messages of the load generator."""

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
    """Input: calls arrive at this rate from now on; 0 stops them."""

    rate_per_s: float


@dataclass(slots=True)
class ArrivalDue:
    """Timer: the next call leaves."""


@dataclass(slots=True)
class EntryOpened:
    """Input: callers may send to this node."""

    address: Address


@dataclass(slots=True)
class EntryClosed:
    """Input: callers know that this node has gone."""

    address: Address


@dataclass(slots=True)
class CallSend:
    """Effect: send the call to its entry node."""

    call: CallRow


@dataclass(slots=True)
class CallEnded:
    """Input: how one sending of a call ended.

    Parameters
    ----------
    is_entry_refused
        Whether the entry node did not even accept the connection.
    is_entry_leaving
        Whether the entry node said that it closes the connection.
    code
        The entry node's reason for a refusal, or empty.
    """

    number: CallNumber
    verdict: Verdict
    is_entry_refused: bool = False
    is_entry_leaving: bool = False
    code: str = ""
