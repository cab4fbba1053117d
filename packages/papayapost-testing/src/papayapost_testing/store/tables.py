"""Tables of the object store stand-in: objects, watches and faults."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from papayapost.kernel import Table

__all__ = [
    "FaultsRow",
    "ListenerId",
    "ObjectRow",
    "ReplyKind",
    "RequestNumber",
    "StoreCountsRow",
    "StoreTables",
    "WatchRow",
]

RequestNumber = NewType("RequestNumber", int)
"""Number of an HTTP request, unique within the stand-in."""

ListenerId = NewType("ListenerId", int)
"""Index of the listening address on which a request was received."""


class ReplyKind(Enum):
    """Kind of an answer; the value is its HTTP status."""

    VALUE = 200
    NOT_MODIFIED = 304
    MISSING = 404
    CONFLICT = 412
    UNAVAILABLE = 503


@dataclass(slots=True)
class ObjectRow:
    """An object with its current and its previous value.

    Attributes
    ----------
    stale_version, stale_value
        Previous version and value, which a store with stale reads answers.
    """

    path: str
    version: int
    value: bytes
    stale_version: int = 0
    stale_value: bytes = b""


@dataclass(slots=True)
class WatchRow:
    """A request that waits until its object has another version."""

    number: RequestNumber
    path: str
    known_version: int


@dataclass(slots=True)
class FaultsRow:
    """Faults that the stand-in simulates.

    Parameters
    ----------
    is_down
        Whether every request is answered with 503. The connections of waiting
        watches are closed.
    is_frozen
        Whether requests are processed but never answered.
    slow_ms
        Delay of every answer in ms.
    is_stale
        Whether reads and watches see the previous version of each object.
    lost_replies
        Number of updates from now on whose connection is closed without an
        answer; the updates take effect.
    cut_listeners
        Listeners that close the connection of every request.
    """

    is_down: bool = False
    is_frozen: bool = False
    slow_ms: int = 0
    is_stale: bool = False
    lost_replies: int = 0
    cut_listeners: frozenset[ListenerId] = frozenset()


@dataclass(slots=True)
class StoreCountsRow:
    """Counts of the calls so far; a watch counts as one read.

    Attributes
    ----------
    reads, writes, conflicts
        Reads, updates, and updates refused because of another version.
    read_bytes, written_bytes
        Size of all values that were sent and received.
    written_us
        Monotonic time of the last update of each object, by path, in µs.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    read_bytes: int = 0
    written_bytes: int = 0
    written_us: dict[str, int] = field(default_factory=dict)


class StoreTables:
    """All tables of the stand-in.

    Attributes
    ----------
    last_version
        Version of the latest update. All objects share one sequence of
        versions.
    """

    def __init__(self):
        self.objects: Table[str, ObjectRow] = Table("objects")
        self.watches: Table[RequestNumber, WatchRow] = Table(
            "watches", {"path": lambda row: row.path}
        )
        self.faults = FaultsRow()
        self.counts = StoreCountsRow()
        self.last_version = 0
