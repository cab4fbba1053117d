"""Tables of quotas: leases and buckets of lenders, and requests."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import field
from enum import Enum
from math import exp

from xxhash import xxh64_intdigest

from papayapost.define import define
from papayapost.ids import (
    AccountName,
    Address,
    CallId,
    DataCentreId,
    Incarnation,
    LeaseTerm,
    Micros,
    NodeId,
    QuotaPartition,
    RegionId,
)
from papayapost.kernel import Table
from papayapost.rules import Account
from papayapost.storage import ObjectKey, ObjectKind, StoreRequestId

__all__ = [
    "PARTITIONS",
    "AskRow",
    "AskState",
    "BucketRow",
    "Entrant",
    "LeaseRow",
    "LeaseState",
    "LeaseStep",
    "QuotaCounters",
    "QuotaLease",
    "QuotaTables",
    "WaitingCall",
    "partition_of_account",
]

PARTITIONS = (QuotaPartition(0), QuotaPartition(1))
"""Partitions of the accounts in each region. Two lenders share the work, and
the loss of one leaves the accounts of the other untouched."""

_MIN_CAP = 6.0
_MIN_CAP_S = 0.2
"""Least capacity of a bucket in tokens, and in seconds of its rate. Calls that
come at random exceed a quota without a burst for moments. Both regions
together get 12 tokens, or 0.2 s, which the slack of the bound covers."""

_DEMAND_US = 500_000
"""Time constant of the average of an account's demand."""


def partition_of_account(name: AccountName) -> QuotaPartition:
    """Return the partition of an account, the same at every node."""
    return PARTITIONS[xxh64_intdigest(name.encode()) % len(PARTITIONS)]


@define(frozen=True)
class QuotaLease:
    """Value of a lease object in the store.

    Parameters
    ----------
    holder, incarnation
        Process that lends the tokens; the holder is None after a release.
    renewals
        Number of renewals, so that each write changes the value.
    """

    holder: NodeId | None
    incarnation: Incarnation
    renewals: int


class LeaseState(Enum):
    """Whether this node holds a lease."""

    OTHERS = "others"
    HELD = "held"


class LeaseStep(Enum):
    """Store call of a lease that is not answered yet."""

    NONE = "none"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "release"


@define
class LeaseRow:
    """The lease of one partition of this node's region.

    Parameters
    ----------
    version, holder, incarnation
        Version and value of the object in the last answer of the store;
        the version is None before one.
    seen_us
        Tick time in µs at which that version was first seen.
    term
        Version at which this node took the lease; 0 if it has not.
    taken_us
        Tick time in µs at which this node took the lease.
    valid_until_us
        Tick time in µs until which this node may lend.
    is_expiry_noted
        Whether the log says that the lease has expired.
    step, request_id, asked_us
        Store call that is not answered yet, and when it was sent.
    due_us
        Tick time in µs of the next store call.
    renewals
        Number of writes of this process.
    """

    partition: QuotaPartition
    key: ObjectKey
    state: LeaseState = LeaseState.OTHERS
    version: int | None = None
    holder: NodeId | None = None
    incarnation: Incarnation = Incarnation(0)
    seen_us: Micros = Micros(0)
    term: LeaseTerm = LeaseTerm(0)
    taken_us: Micros = Micros(0)
    valid_until_us: Micros = Micros(0)
    is_expiry_noted: bool = False
    step: LeaseStep = LeaseStep.NONE
    request_id: StoreRequestId = StoreRequestId("")
    asked_us: Micros = Micros(0)
    due_us: Micros = Micros(0)
    renewals: int = 0

    def is_valid(self, now_us: Micros) -> bool:
        """Return whether this node may lend tokens of the partition."""
        return self.state is LeaseState.HELD and now_us < self.valid_until_us


@define(frozen=True)
class Entrant:
    """A process of an entry node that asks for tokens."""

    node_id: NodeId
    address: Address
    incarnation: Incarnation


@define
class WaitingCall:
    """A call that waits at the lender for a token.

    Parameters
    ----------
    due_us
        Tick time in µs at which the call is denied.
    """

    entrant: Entrant
    call_id: CallId
    due_us: Micros


@define
class BucketRow:
    """The share of this region in an account's quota, at its lender.

    Parameters
    ----------
    rate_per_s, burst
        Quota of the account over all regions.
    share
        Share of this region in the quota.
    tokens, refilled_us
        Number of tokens at a tick time in µs.
    demand_per_s, demand_us
        Decayed average of the tokens that calls asked for, and its time.
    waiting
        Calls that wait for a token, oldest first.
    asked_us, asked_count, lender
        Request to another region that is not answered yet: its time, number
        of tokens, and the node asked. The time is None if there is none.
    next_ask_us
        Earliest time in µs of the next request to another region.
    refused_until_us
        Time in µs at which those refused so far would all have had a token.
    noted_us
        Time in µs at which the log last said that the quota is used up.
    """

    account: AccountName
    partition: QuotaPartition
    rate_per_s: float
    burst: float
    share: float
    tokens: float
    refilled_us: Micros
    demand_per_s: float = 0.0
    demand_us: Micros = Micros(0)
    waiting: deque[WaitingCall] = field(default_factory=deque)
    asked_us: Micros | None = None
    asked_count: float = 0.0
    lender: NodeId | None = None
    next_ask_us: Micros = Micros(0)
    refused_until_us: Micros = Micros(0)
    noted_us: Micros | None = None

    @property
    def own_rate_per_s(self) -> float:
        """Tokens that the bucket gets by itself in a second."""
        return self.rate_per_s * self.share

    @property
    def cap(self) -> float:
        """Number of tokens that the bucket holds at most."""
        return max(self.burst * self.share, _MIN_CAP, self.own_rate_per_s * _MIN_CAP_S)

    def refill(self, now_us: Micros) -> None:
        """Add the tokens of the time since the last refill."""
        added = (now_us - self.refilled_us) * self.own_rate_per_s / 1e6
        self.tokens = min(self.cap, self.tokens + added)
        self.refilled_us = now_us

    def add(self, count: float) -> None:
        """Add tokens that were sent or returned, up to the capacity."""
        self.tokens = min(self.cap, self.tokens + count)

    def set_quota(self, account: Account, now_us: Micros) -> None:
        """Replace the quota; the tokens of the time before stay, within it."""
        self.refill(now_us)
        self.rate_per_s, self.burst = account.rate_per_s, account.burst
        self.tokens = min(self.cap, self.tokens)
        self.refused_until_us = now_us

    def record_demand(self, now_us: Micros) -> None:
        """Count one call in the average of the demand."""
        self.demand_per_s = self.demand_at(now_us) + 1e6 / _DEMAND_US
        self.demand_us = now_us

    def demand_at(self, now_us: Micros) -> float:
        """Return the average number of tokens asked for in a second."""
        return self.demand_per_s * exp((self.demand_us - now_us) / _DEMAND_US)


class AskState(Enum):
    """What an entry node waits for after it has asked for a token.

    A call that is settled or has ended stays in the table for a moment, so
    that a token that comes too late is returned.
    """

    WAITING = "waiting"
    SETTLED = "settled"


@define
class AskRow:
    """A call that needs a token, at its entry node.

    Parameters
    ----------
    deadline_us
        Tick time in µs after which the call has no use for a token.
    asked
        Nodes that were asked, in order.
    due_us
        Tick time in µs until which the last of them has time to answer.
    """

    call_id: CallId
    account: AccountName
    partition: QuotaPartition
    deadline_us: Micros
    state: AskState = AskState.WAITING
    asked: list[NodeId] = field(default_factory=list)
    due_us: Micros = Micros(0)


@define
class QuotaCounters:
    """Totals since the process started.

    Parameters
    ----------
    calls, granted, denied
        Calls of this entry node that needed a token, and those that were
        granted or denied one.
    unanswered, no_lender
        Requests that a lender did not answer in time, and calls refused
        because no lender answered.
    returned
        Tokens of calls that ended as not run.
    lent, refused
        Tokens that this node granted as a lender, and calls that it denied.
    received, sent
        Tokens that this lender got from other regions, and sent there.
    """

    calls: int = 0
    granted: int = 0
    denied: int = 0
    unanswered: int = 0
    no_lender: int = 0
    returned: int = 0
    lent: int = 0
    refused: int = 0
    received: float = 0.0
    sent: float = 0.0


class QuotaTables:
    """Leases, buckets and requests for tokens of a node.

    Parameters
    ----------
    region
        Region of this node.
    data_centres
        Region of each data centre of the mesh, whether it has live nodes or
        not: the shares of the regions must not depend on what a node sees.

    Attributes
    ----------
    regions
        All regions, the one of this node first.
    are_quotas_in_force
        Whether the rules in force hold an account with a quota.
    """

    def __init__(self, region: RegionId, data_centres: Mapping[DataCentreId, RegionId]):
        others = sorted({*data_centres.values()} - {region})
        self.regions: tuple[RegionId, ...] = (region, *others)
        self.are_quotas_in_force = False
        self.leases: Table[QuotaPartition, LeaseRow] = Table("quota leases")
        self.buckets: Table[AccountName, BucketRow] = Table(
            "quota buckets", {"partition": lambda row: row.partition}
        )
        self.asks: Table[CallId, AskRow] = Table("quota requests")
        self.counters = QuotaCounters()
        for partition in PARTITIONS:
            key = ObjectKey(ObjectKind.QUOTA_LEASE, f"{region}.{partition}")
            self.leases.put(partition, LeaseRow(partition, key))

    @property
    def share(self) -> float:
        """Share of one region in each quota."""
        return 1 / len(self.regions)

    @property
    def held_leases(self) -> int:
        """Number of leases that this node holds, expired ones included."""
        return sum(lease.state is LeaseState.HELD for lease in self.leases)

    def valid_lease(self, partition: QuotaPartition, now_us: Micros) -> LeaseRow | None:
        """Return the lease of a partition if this node may lend under it."""
        lease = self.leases.get(partition)
        return lease if lease is not None and lease.is_valid(now_us) else None

    def drop_buckets(self, partition: QuotaPartition) -> Iterable[BucketRow]:
        """Remove and return the buckets of a partition."""
        rows = list(self.buckets.find("partition", partition))
        for row in rows:
            self.buckets.pop(row.account)
        return rows
