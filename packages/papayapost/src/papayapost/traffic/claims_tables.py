"""Tables of the claims that make keyed calls at-most-once."""

from dataclasses import dataclass, field
from enum import Enum

import xxhash

from papayapost.distribution import RulesTable
from papayapost.ids import (
    AttemptId,
    IdempotencyKey,
    Micros,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.rules import Route, RuleSet
from papayapost.storage import ObjectKey, ObjectKind, RequestId
from papayapost.traffic.messages import AttemptOffer

__all__ = [
    "PARTITIONS",
    "ClaimNeeded",
    "ClaimPace",
    "ClaimSettled",
    "ClaimTables",
    "ClaimToken",
    "ClaimUnused",
    "ClaimVerdict",
    "ClaimsDue",
    "ClaimsObject",
    "PartitionReady",
    "PartitionRow",
    "PartitionState",
    "digest_of_key",
    "partition_of",
]

PARTITIONS = 8
"""Claims objects of each service; never to be changed while claims last."""

FLEET_WRITES_PER_S = 200
"""Writes of claims that all nodes together may ask of the store."""

_BURST_WRITES = 5.0
_WRITING_METHODS = frozenset(["POST", "PUT", "PATCH", "DELETE"])


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


class ClaimVerdict(Enum):
    """What became of a wish to claim a key."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimNeeded:
    """Internal: this attempt may only run once its key is claimed."""

    offer: AttemptOffer
    is_maybe_written: bool = False


@dataclass(slots=True)
class ClaimUnused:
    """Internal: an attempt that wished for a claim will never run."""

    offer: AttemptOffer


@dataclass(slots=True)
class ClaimSettled:
    """Internal: the verdict on an attempt's wish."""

    attempt_id: AttemptId
    verdict: ClaimVerdict


@dataclass(slots=True)
class ClaimsDue:
    """Timer: a partition's pause is over, or its request is overdue."""

    key: ObjectKey


@dataclass(slots=True)
class PartitionReady:
    """Internal: nothing is under way for a claims object.

    Parameters
    ----------
    is_due
        Whether its timer says so.
    """

    key: ObjectKey
    is_due: bool = False


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


class ClaimPace:
    """A token bucket for writes of claims.

    The fleet's writes are divided among the nodes whose services have
    routes that may change something and are not idempotent.
    """

    def __init__(self, rules: RulesTable, directory: Directory):
        self._rules = rules
        self._directory = directory
        self._of: RuleSet | None = None
        self._services: frozenset[ServiceName] = frozenset()
        self._tokens = _BURST_WRITES
        self._refilled_us = 0

    def wait_us(self, now_us: Micros) -> int:
        """Return how long the next write has to wait, 0 for not at all."""
        per_us = self._writes_per_us()
        earned = (now_us - self._refilled_us) * per_us
        self._tokens = min(_BURST_WRITES, self._tokens + earned)
        self._refilled_us = now_us
        return 0 if self._tokens >= 1 else int((1 - self._tokens) / per_us) + 1

    def spend(self) -> None:
        """Take one write."""
        self._tokens -= 1

    def _writes_per_us(self) -> float:
        in_force = self._rules.in_force
        if in_force is not None and in_force.rules is not self._of:
            self._of = in_force.rules
            self._services = frozenset(
                route.service for route in self._of.routes if _may_claim(route)
            )
        nodes = sum(self._directory.count("service", name) for name in self._services)
        return FLEET_WRITES_PER_S / max(1, nodes) / 1e6


def _may_claim(route: Route) -> bool:
    if route.idempotent:
        return False
    return not route.methods or bool(route.methods & _WRITING_METHODS)
