"""Tables of the object store stand-in."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from papayapost.kernel import Table

__all__ = [
    "AccountRow",
    "FaultsRow",
    "ListenerId",
    "ObjectRow",
    "ReplyKind",
    "RequestNumber",
    "StoreTables",
    "WatchRow",
]

RequestNumber = NewType("RequestNumber", int)
"""One HTTP request, unique within the stand-in."""

ListenerId = NewType("ListenerId", int)
"""Position of the listening address that a request came in on."""


class ReplyKind(Enum):
    """How the stand-in answers a request."""

    VALUE = 200
    NOT_MODIFIED = 304
    MISSING = 404
    CONFLICT = 412
    UNAVAILABLE = 503


@dataclass(slots=True)
class ObjectRow:
    """An object with its earlier value, which a stale read answers."""

    path: str
    version: int
    value: bytes
    stale_version: int = 0
    stale_value: bytes = b""


@dataclass(slots=True)
class WatchRow:
    """A request that waits until its object's version differs."""

    number: RequestNumber
    path: str
    known_version: int


@dataclass(slots=True)
class FaultsRow:
    """The faults that are switched on.

    Parameters
    ----------
    is_down
        Every request is answered with 503, waiting watches as well.
    is_frozen
        Requests are taken and never answered.
    slow_ms
        Delay of every answer.
    is_stale
        Reads and watches see each object's earlier version.
    lost_replies
        Number of further updates that take effect without an answer.
    cut_listeners
        Listeners whose connections are closed at once.
    """

    is_down: bool = False
    is_frozen: bool = False
    slow_ms: int = 0
    is_stale: bool = False
    lost_replies: int = 0
    cut_listeners: frozenset[ListenerId] = frozenset()


@dataclass(slots=True)
class AccountRow:
    """Calls answered so far; a waiting watch is one read.

    Attributes
    ----------
    written_us
        Monotonic time of each object's last update, in µs.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    read_bytes: int = 0
    written_bytes: int = 0
    written_us: dict[str, int] = field(default_factory=dict)


class StoreTables:
    """All tables of the stand-in."""

    def __init__(self):
        self.objects: Table[str, ObjectRow] = Table("objects")
        self.watches: Table[RequestNumber, WatchRow] = Table(
            "watches", {"path": lambda row: row.path}
        )
        self.faults = FaultsRow()
        self.account = AccountRow()
        self.last_version = 0
