"""Tables of the claims that run calls with idempotency keys at most once.

The idempotency keys of a service are divided into partitions by their hashes.
The claims of a partition are stored together in one claims object.
"""

from dataclasses import field
from enum import Enum

import xxhash

from papayapost.define import define
from papayapost.ids import (
    AttemptId,
    IdempotencyKey,
    Micros,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.place import SelfRow
from papayapost.storage import ObjectKey, ObjectKind, StoreRequestId
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
"""Number of claims objects of each service. It must not change while claims
are in force, because keys would then map to other objects."""


def digest_of_key(key: IdempotencyKey) -> str:
    """Return the 128-bit hash of an idempotency key, in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(key.encode())


def partition_of(service: ServiceName, digest: str) -> ObjectKey:
    """Return the claims object that holds the claim of a service's key.

    Parameters
    ----------
    digest
        Hash of the idempotency key, in hexadecimal.

    Examples
    --------
    >>> partition_of(ServiceName("bookings"), "0b").name
    'bookings/3'
    """
    number = int(digest, 16) % PARTITIONS
    return ObjectKey(ObjectKind.CLAIMS, f"{service}/{number}")


@define(frozen=True)
class ClaimToken:
    """The claim of an idempotency key by the one attempt that may run.

    Parameters
    ----------
    key_digest
        Hash of the idempotency key, in hexadecimal.
    attempt_id
        Attempt that has run or may run with the key.
    claimed_s
        Wall-clock time of the claim in seconds since the Unix epoch.
    """

    key_digest: str
    attempt_id: AttemptId
    claimed_s: int


@define(frozen=True)
class ClaimsObject:
    """Value of a claims object: the recent claims of one partition."""

    tokens: tuple[ClaimToken, ...]


class PartitionState(Enum):
    """State of a claims object at this node.

    `UNREAD` and `IDLE` objects have no store request under way; the first have
    not been read yet. A `PAUSED` object waits for the end of a back-off.
    """

    UNREAD = "unread"
    READING = "reading"
    IDLE = "idle"
    WRITING = "writing"
    PAUSED = "paused"


@define
class PartitionRow:
    """One claims object as this node knows it.

    Parameters
    ----------
    version, tokens
        Version and claims, by key digest, that were last read or written.
    read_us
        Tick time in µs of that read or write.
    waiting
        Requested claims that no update includes yet.
    in_flight
        Requested claims that the update under way includes.
    written
        Claims that the update under way writes, by key digest.
    releases
        Attempts that will not run and whose claims are to be deleted, by key
        digest.
    request_id
        The store request under way, None without one.
    failures
        Number of failed requests since the last success, at most 8.
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
    request_id: StoreRequestId | None = None
    failures: int = 0


class ClaimTables:
    """Claims objects in which this node has claimed keys.

    Attributes
    ----------
    started_us
        Tick time in µs at which the process started; the base for computing
        wall-clock time from the tick clock.
    writes, conflicts
        Total updates sent and updates refused for a version conflict since
        the process started.
    """

    def __init__(self, me: SelfRow):
        self._me = me
        self.started_us = Micros(0)
        self.partitions: Table[ObjectKey, PartitionRow] = Table("claim partitions")
        self.writes = 0
        self.conflicts = 0

    def wall_s(self, now_us: Micros) -> int:
        """Return the wall-clock time in seconds since the Unix epoch.

        It is the process's start time, which its incarnation holds in µs, plus
        the time that has passed on the tick clock.
        """
        return (self._me.incarnation + now_us - self.started_us) // 1_000_000

    def is_busy(self) -> bool:
        """Return whether a claim is still to be written or released."""
        return any(
            row.waiting or row.in_flight or row.releases for row in self.partitions
        )
