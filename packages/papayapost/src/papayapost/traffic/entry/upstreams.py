"""Tables of the backend servers that this entry node sends attempts to."""

from dataclasses import field
from heapq import nsmallest

import xxhash

from papayapost.define import define
from papayapost.ids import (
    Address,
    AttemptId,
    ConnectionEpoch,
    Incarnation,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.kernel import Table
from papayapost.membership import BackendServerRow, Directory
from papayapost.place import SelfRow
from papayapost.states import BackendServerState, LinkClass
from papayapost.traffic.versions import AnyVersion, VersionPolicy

__all__ = ["SUBSET_SIZE", "ServiceRow", "UpstreamRow", "Upstreams"]

SUBSET_SIZE = 20
"""Largest number of upstreams per service and distance that a node uses."""

_REBUILD_EVERY_US = 100_000
_PANIC_SHARE = 0.5
_LATENCY_WEIGHT = 0.2
_FAILURE_RATE_WEIGHT = 0.1
_FAILURE_RATE_HALF_LIFE_US = 2_000_000
_MIN_FAILURE_RATE = 0.01
_LEAVING_STATES = frozenset([BackendServerState.DRAINING, BackendServerState.GONE])


@define
class UpstreamRow:
    """One backend server as this entry node has observed it.

    Parameters
    ----------
    slots
        Number of calls that the backend server runs at the same time.
    distance
        Distance from this entry node.
    epoch
        Connection epoch that this node's offers to the upstream carry.
    attempts
        Attempts of this entry node that are outstanding at the upstream.
    latency_us, latency_sampled_us
        Decayed time in µs from offer to answer, and time of the last sample.
    free_slots, reported_us, outstanding_at_report
        Number of free slots that the owner node last reported, time of the
        report, and number of outstanding attempts of this entry node at that
        time.
    expected_wait_us
        Time in µs that an attempt would have had to wait for a slot, as the
        owner node estimated it in its last report, with the time that the
        report took to arrive.
    full_until_us
        Time until which the upstream counts as full after a refusal.
    failure_rate, failure_rate_sampled_us
        Decayed fraction of the attempts that were refused, failed or lost, and
        time of the last sample.
    ramp_start_us
        Time at which the upstream started to take attempts, or None once it
        takes its full share of them.
    failures, ejections
        Number of failures in a row, and number of ejections since the last
        good answer; each of these ejections lasts twice as long as the one
        before, up to 60 s.
    """

    node_id: NodeId
    address: Address
    incarnation: Incarnation
    slots: int
    distance: LinkClass
    epoch: ConnectionEpoch
    attempts: dict[AttemptId, None] = field(default_factory=dict)
    latency_us: float = 0.0
    latency_sampled_us: Micros = Micros(0)
    free_slots: int = 0
    reported_us: int = -(1 << 60)
    outstanding_at_report: int = 0
    expected_wait_us: int = 0
    full_until_us: int = 0
    failure_rate: float = 0.0
    failure_rate_sampled_us: Micros = Micros(0)
    ramp_start_us: Micros | None = None
    failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    is_draining: bool = False
    is_cold: bool = False

    def report(self, free_slots: int, now_us: Micros) -> None:
        """Store the number of free slots that the owner node reported."""
        self.free_slots = free_slots
        self.reported_us = now_us
        self.outstanding_at_report = len(self.attempts)
        self.expected_wait_us = 0

    def sample_outcome(self, is_good: bool, now_us: Micros) -> None:
        """Update the decayed failure rate with the outcome of one attempt."""
        rate = self.failure_rate_at(now_us)
        self.failure_rate = rate + _FAILURE_RATE_WEIGHT * ((not is_good) - rate)
        self.failure_rate_sampled_us = now_us

    def failure_rate_at(self, now_us: Micros) -> float:
        """Return the failure rate, decayed by the age of its last sample."""
        if self.failure_rate < _MIN_FAILURE_RATE:
            return 0.0
        age_us = now_us - self.failure_rate_sampled_us
        return self.failure_rate * 0.5 ** (age_us / _FAILURE_RATE_HALF_LIFE_US)

    def sample_latency(self, latency_us: int, now_us: Micros) -> None:
        """Update the decayed latency with the latency of one answer."""
        if self.latency_us:
            self.latency_us += _LATENCY_WEIGHT * (latency_us - self.latency_us)
        else:
            self.latency_us = float(latency_us)
        self.latency_sampled_us = now_us


@define
class ServiceRow:
    """The upstreams of one service, prepared for balancing.

    Parameters
    ----------
    upstreams
        Upstreams of the service that this entry node uses.
    tiers
        For each `LinkClass`, the upstreams at that distance that take
        attempts.
    latency_us
        Decayed latency in µs over all upstreams of the service.
    built_us
        Time in µs at which the row was last built from the directory.
    uses_ejected
        Whether ejected upstreams are used too, because most are ejected.
    is_known
        Whether the last build found any upstreams. If so, upstreams that are
        found later start with a smaller share of the attempts.
    """

    name: ServiceName
    upstreams: list[UpstreamRow] = field(default_factory=list)
    tiers: list[list[UpstreamRow]] = field(default_factory=list)
    latency_us: float = 1.0
    built_us: int = 0
    is_stale: bool = True
    uses_ejected: bool = False
    is_known: bool = False

    def sample_latency(self, latency_us: int) -> None:
        """Update the decayed latency with the latency of one answer."""
        self.latency_us += _LATENCY_WEIGHT * (latency_us - self.latency_us)

    def refresh_tiers(self) -> None:
        """Build the tiers without ejected upstreams, unless most are ejected.

        If most upstreams seem to fail at once, the cause is more likely this
        node itself, so that all of them are used.
        """
        usable = [row for row in self.upstreams if not row.is_draining]
        not_ejected = [row for row in usable if not row.is_ejected]
        self.uses_ejected = len(not_ejected) < _PANIC_SHARE * len(usable)
        chosen = usable if self.uses_ejected else not_ejected
        self.tiers = [
            [row for row in chosen if row.distance is distance]
            for distance in LinkClass
        ]


class Upstreams:
    """Upstreams by node and services by name, built from the directory.

    The row of a service is built when a call first needs it. After a change of
    the directory it is built again, at most ten times per second and service,
    so that calls need not scan the directory. A node that leaves the service
    is removed at once.

    Attributes
    ----------
    rows
        All upstreams that were used and that the directory still lists.
    """

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        versions: VersionPolicy | None = None,
    ):
        self._me = me
        self._directory = directory
        self._versions = versions or AnyVersion()
        self._trials: dict[ServiceName, tuple[frozenset[NodeId], ServiceRow]] = {}
        self._next_epoch = 1
        self.rows: Table[NodeId, UpstreamRow] = Table(
            "upstreams", {"address": lambda row: row.address}
        )
        self.services: Table[ServiceName, ServiceRow] = Table("services")

    def service(self, name: ServiceName, now_us: Micros) -> ServiceRow:
        """Return the row of a service, rebuilt if it is stale.

        A row that has upstreams is rebuilt at most every 100 ms.
        """
        service = self.services.get(name)
        if service is None:
            service = ServiceRow(name)
            self.services.put(name, service)
        is_due = now_us - service.built_us >= _REBUILD_EVERY_US
        if service.is_stale and (is_due or not service.upstreams):
            self._rebuild(service, now_us)
        return service

    def trial(
        self, name: ServiceName, node_ids: frozenset[NodeId], now_us: Micros
    ) -> ServiceRow:
        """Return a row of only some nodes of a service, for a trial."""
        known = self._trials.get(name)
        if (
            known is None
            or known[0] != node_ids
            or now_us - known[1].built_us >= _REBUILD_EVERY_US
        ):
            found = (self._directory.get(node_id) for node_id in sorted(node_ids))
            service = ServiceRow(name, is_stale=False, built_us=now_us)
            service.upstreams = [
                self._upstream_for(row, True, now_us)
                for row in found
                if row is not None and row.state is BackendServerState.READY
            ]
            service.refresh_tiers()
            known = self._trials[name] = (node_ids, service)
        return known[1]

    def rebuild(self, name: ServiceName, now_us: Micros) -> None:
        """Build the row of a service at once, for other versions."""
        service = self.services.get(name)
        if service is not None:
            self._rebuild(service, now_us)

    def is_leaving(self, node_id: NodeId) -> bool:
        """Return whether the directory excludes a node from new attempts.

        It does so for a node that is draining, gone or not listed.
        """
        row = self._directory.get(node_id)
        return row is None or row.state in _LEAVING_STATES

    def mark_stale(self, name: ServiceName) -> None:
        """Have the service's row rebuilt soon to add new upstreams."""
        service = self.services.get(name)
        if service is not None:
            service.is_stale = True

    def remove_node(self, name: ServiceName, node_id: NodeId) -> None:
        """Stop using a node at once, because it left the service."""
        service = self.services.get(name)
        if service is None:
            return
        service.is_stale = True
        remaining = [row for row in service.upstreams if row.node_id != node_id]
        if len(remaining) < len(service.upstreams):
            service.upstreams = remaining
            service.refresh_tiers()

    def next_epoch(self) -> ConnectionEpoch:
        """Return a connection epoch that is higher than all earlier ones."""
        self._next_epoch += 1
        return ConnectionEpoch(self._next_epoch)

    def _rebuild(self, service: ServiceRow, now_us: Micros) -> None:
        rows = self._versions.usable(
            service.name, self._directory.find("service", service.name)
        )
        ready = [row for row in rows if row.state is BackendServerState.READY]
        if not ready:
            ready = [
                row
                for row in rows
                if row.state is BackendServerState.COLD and row.slots
            ]
        is_first_build = not service.is_known
        service.upstreams = [
            self._upstream_for(row, is_first_build, now_us)
            for row in self._subset(ready)
        ]
        service.is_stale = False
        service.built_us = now_us
        service.is_known = bool(service.upstreams)
        service.refresh_tiers()

    def _subset(self, rows: list[BackendServerRow]) -> list[BackendServerRow]:
        """Return at most `SUBSET_SIZE` rows for each distance.

        Rendezvous hashing keeps the choice stable over time and makes it
        differ between entry nodes.
        """
        by_distance: dict[LinkClass, list[BackendServerRow]] = {}
        for row in rows:
            by_distance.setdefault(self._distance_to(row), []).append(row)
        chosen: list[BackendServerRow] = []
        for candidates in by_distance.values():
            if len(candidates) > SUBSET_SIZE:
                candidates = nsmallest(SUBSET_SIZE, candidates, key=self._subset_hash)
            chosen.extend(candidates)
        return chosen

    def _subset_hash(self, row: BackendServerRow) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._me.node_id}|{row.node_id}".encode())

    def _distance_to(self, row: BackendServerRow) -> LinkClass:
        if row.node_id == self._me.node_id:
            return LinkClass.SELF
        return self._me.place.distance_to(row.place)

    def _upstream_for(
        self, row: BackendServerRow, is_first_build: bool, now_us: Micros
    ) -> UpstreamRow:
        known = self.rows.get(row.node_id)
        if known is None or known.incarnation != row.incarnation:
            known = UpstreamRow(
                node_id=row.node_id,
                address=row.peer_address,
                incarnation=row.incarnation,
                slots=max(1, row.slots),
                distance=self._distance_to(row),
                epoch=self.next_epoch(),
                ramp_start_us=None if is_first_build else now_us,
            )
            self.rows.put(row.node_id, known)
        known.slots = max(1, row.slots)
        return known
