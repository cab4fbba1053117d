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
    StoreEra,
)
from papayapost.kernel import Table
from papayapost.rules import Account
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    StoreRequestId,
    StoreVersion,
    era_of,
)

__all__ = [
    "MAX_RETURN_AGE_US",
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
    "SpentSlot",
    "StoreEraRow",
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

MAX_RETURN_AGE_US = 500_000
"""Age up to which a token may be returned. For this time after a lender has
stopped, the buckets of the next one get no tokens."""

_SLOT_US = 50_000
_SPENT_US = MAX_RETURN_AGE_US + _SLOT_US

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
    era
        Era of the store in which the lease was taken or renewed. A record of
        an earlier era is one of the store's copy: a later one may be lost.
    """

    holder: NodeId | None
    incarnation: Incarnation
    renewals: int
    era: StoreEra = StoreEra(0)


@define
class StoreEraRow:
    """The store's era as the answers to this node show it.

    Parameters
    ----------
    era
        The newest era; 0 if the store names none.
    heard_us
        Tick time in µs of its first answer to this process; None before one.
        No write of an earlier era was acknowledged after that.
    """

    era: StoreEra = StoreEra(0)
    heard_us: Micros | None = None


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
    era
        Era in which that value was written by a holder.
    held_era
        Era in which this node last wrote the lease as its holder.
    seen_us
        Tick time in µs at which that version was first seen.
    term
        Version at which this node took the lease; 0 if it has not.
    fill_from_us
        Tick time in µs from which buckets get tokens under that term. Before
        it, calls may still use tokens that a former lender has granted.
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
    era: StoreEra = StoreEra(0)
    held_era: StoreEra = StoreEra(0)
    seen_us: Micros = Micros(0)
    term: LeaseTerm = LeaseTerm(0)
    fill_from_us: Micros = Micros(0)
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

    def is_confirmed(self, store_era: StoreEra) -> bool:
        """Return whether the record was written in the era it was read in.

        Of any other record, the store may have lost what came after it.
        """
        version = StoreVersion(self.version or 0)
        return self.era == (era_of(version) if version else store_era)


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
class SpentSlot:
    """Tokens of a bucket that were granted or sent in a short time.

    Parameters
    ----------
    count
        Their number, less those that were returned or received.
    """

    start_us: Micros
    count: float


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
        Number of tokens at a tick time in µs; none are added before that.
    slots, spent
        Tokens spent while they may still be returned, oldest first, and
        their sum.
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
    slots: deque[SpentSlot] = field(default_factory=deque)
    spent: float = 0.0
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
        if now_us <= self.refilled_us:
            return
        while self.slots and self.slots[0].start_us <= now_us - _SPENT_US:
            self.spent -= self.slots.popleft().count
        added = (now_us - self.refilled_us) * self.own_rate_per_s / 1e6
        self.refilled_us = now_us
        self._add(added)

    def spend(self, count: float, now_us: Micros) -> None:
        """Take tokens that are granted to a call or sent to a region."""
        self.tokens -= count
        self._record_spent(count, now_us)

    def receive(self, count: float, now_us: Micros) -> None:
        """Add tokens that another region has sent."""
        self._record_spent(-count, now_us)
        self._add(count)

    def take_back(self, granted_us: Micros) -> None:
        """Add a token that was granted at a time and is not used."""
        for slot in reversed(self.slots):
            if slot.start_us <= granted_us:
                slot.count -= 1
                self.spent -= 1
                self._add(1)
                return

    def _add(self, count: float) -> None:
        """Add tokens up to the capacity.

        Tokens that are returned and granted again must not add up beside the
        bucket. Those that may still be returned therefore count as if they
        were in it, beyond the rate of that time.
        """
        rate_us = self.own_rate_per_s * _SPENT_US / 1e6
        most = max(0.0, self.cap + rate_us - self.spent)
        self.tokens = min(self.cap, self.tokens + count, most)

    def _record_spent(self, count: float, now_us: Micros) -> None:
        self.spent += count
        slots = self.slots
        if slots and now_us - slots[-1].start_us < _SLOT_US:
            slots[-1].count += count
        else:
            slots.append(SpentSlot(now_us, count))

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
    store_era
        The store's era, as this node knows it.
    """

    def __init__(self, region: RegionId, data_centres: Mapping[DataCentreId, RegionId]):
        others = sorted({*data_centres.values()} - {region})
        self.regions: tuple[RegionId, ...] = (region, *others)
        self.are_quotas_in_force = False
        self.store_era = StoreEraRow()
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
