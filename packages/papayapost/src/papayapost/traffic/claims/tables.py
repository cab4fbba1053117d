"""Tables of the claims that make keyed calls at-most-once."""

from dataclasses import dataclass, field
from enum import Enum

import xxhash

from papayapost.ids import (
    AttemptId,
    IdempotencyKey,
    Micros,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.place import SelfRow
from papayapost.storage import ObjectKey, ObjectKind, RequestId
from papayapost.traffic.claims.messages import ClaimNeeded

__all__ = [
    "PARTITIONS",
    "ClaimTables",
    "ClaimToken",
    "ClaimsObject",
    "PartitionRow",
    "PartitionState",
    "digest_of_key",
    "partition_of",
]

PARTITIONS = 8
"""Claims objects of each service; never to be changed while claims last."""


def digest_of_key(key: IdempotencyKey) -> str:
    """Return the 128-bit hash of a caller's key, in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(key.encode())


def partition_of(service: ServiceName, digest: str) -> ObjectKey:
    """Return the claims object that holds a key of a service.

    Examples
    --------
    >>> partition_of(ServiceName("bookings"), "0b").name
    'bookings/3'
    """
    number = int(digest, 16) % PARTITIONS
    return ObjectKey(ObjectKind.CLAIMS, f"{service}/{number}")


@dataclass(frozen=True, slots=True)
class ClaimToken:
    """An attempt that may have run, or may yet, for a caller's key.

    Parameters
    ----------
    claimed_s
        Wall-clock time of the claim in seconds since the Unix epoch.
    """

    key_digest: str
    attempt_id: AttemptId
    claimed_s: int


@dataclass(frozen=True, slots=True)
class ClaimsObject:
    """Value of a claims object: the recent claims of one partition."""

    tokens: tuple[ClaimToken, ...]


class PartitionState(Enum):
    """What this node is doing with a claims object."""

    UNREAD = "unread"
    READING = "reading"
    IDLE = "idle"
    WRITING = "writing"
    PAUSED = "paused"


@dataclass(slots=True)
class PartitionRow:
    """One claims object as this node knows it.

    Parameters
    ----------
    version, tokens, read_us
        As last read or written, and when that was.
    waiting, in_flight
        Wishes that are not yet, and that are, part of a write.
    releases
        Claims of attempts that will not run, by key.
    request_id
        The one request that is under way.
    """

    key: ObjectKey
    state: PartitionState = PartitionState.UNREAD
    version: int = 0
    tokens: dict[str, ClaimToken] = field(default_factory=dict)
    read_us: int = 0
    waiting: list[ClaimNeeded] = field(default_factory=list)
    in_flight: list[ClaimNeeded] = field(default_factory=list)
    written: dict[str, ClaimToken] = field(default_factory=dict)
    releases: dict[str, AttemptId] = field(default_factory=dict)
    request_id: RequestId | None = None
    failures: int = 0


class ClaimTables:
    """Partitions that this node has claimed keys in.

    Attributes
    ----------
    started_us
        The tick clock when the process started, to tell wall-clock time by.
    writes, conflicts
        Totals since the process started.
    """

    def __init__(self, me: SelfRow):
        self._me = me
        self.started_us = Micros(0)
        self.partitions: Table[ObjectKey, PartitionRow] = Table("claim partitions")
        self.writes = 0
        self.conflicts = 0

    def wall_s(self, now_us: Micros) -> int:
        """Return wall-clock time by this process's start and its clock."""
        return (self._me.incarnation + now_us - self.started_us) // 1_000_000

    def is_busy(self) -> bool:
        """Return whether claims are being written or are to be given back."""
        return any(
            row.waiting or row.in_flight or row.releases for row in self.partitions
        )
