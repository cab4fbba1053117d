"""Chooses among the versions of a service according to its order."""

from collections.abc import Iterable
from random import Random

from xxhash import xxh32_intdigest

from papayapost.ids import Micros, NodeId, RouteId, ServiceName
from papayapost.membership import BackendServerRow
from papayapost.rollout.states import Phase
from papayapost.rollout.tables import RolloutTables
from papayapost.rules import Route
from papayapost.traffic.versions import VersionPolicy

__all__ = ["OrderedVersions", "route_id_of"]

_NO_NODES: frozenset[NodeId] = frozenset()


class OrderedVersions(VersionPolicy):
    """Lets only versions get calls that an order allows.

    The load pattern that it answers: servers of a new version start beside
    the old ones, perhaps before this node knows of their order.
    """

    def __init__(self, tables: RolloutTables):
        self._tables = tables
        self._route_ids: dict[tuple, RouteId] = {}
        self._now_us = Micros(0)

    def set_time(self, now_us: Micros) -> None:
        """Store the time of the tick, for the rows that are built in it."""
        self._now_us = now_us

    def usable(
        self, service: ServiceName, rows: Iterable[BackendServerRow]
    ) -> list[BackendServerRow]:
        """Return the rows of the version that gets the calls now.

        As long as that version is not known, the other owner nodes decide;
        that of this node does not know either.
        """
        current = self._tables.current_version(service, self._now_us)
        if current is None:
            own = self._tables.own_row
            return [row for row in rows if row is not own or not row.software_version]
        return [row for row in rows if row.software_version in (current, "")]

    def trial_nodes(
        self, service: ServiceName, now_us: Micros, random: Random
    ) -> frozenset[NodeId]:
        """Return the nodes with a grant for a share of the attempts."""
        row = self._tables.orders.get(service)
        if row is None or not row.share:
            return _NO_NODES
        is_on_trial = row.phase_at(now_us) is Phase.CANARY
        if is_on_trial and random.random() < row.share:
            return row.trial_nodes
        return _NO_NODES

    def route_id(self, service: ServiceName, route: Route) -> RouteId | None:
        """Return the id of a route while its service has a live order."""
        row = self._tables.orders.get(service)
        if row is None or row.is_final:
            return None
        key = (route.methods, route.host, route.path)
        known = self._route_ids.get(key)
        if known is None:
            known = self._route_ids[key] = route_id_of(route)
        return known

    def admits(self, now_us: Micros) -> bool:
        """Return whether an order, or the lack of one, allows this version."""
        tables = self._tables
        grant = self._grant(now_us)
        if grant is None or tables.admitted < grant:
            return True
        tables.counters.refused_attempts += 1
        return False

    def is_open(self, now_us: Micros) -> bool:
        """Return whether this version may run, all or a granted number."""
        return self._grant(now_us) != 0

    def _grant(self, now_us: Micros) -> int | None:
        """Return how many attempts may run here, or None for any number."""
        tables, own = self._tables, self._tables.own_row
        if own is None or own.service is None or not own.software_version:
            return None
        if own.software_version == tables.current_version(own.service, now_us):
            return None
        row = tables.orders.get(own.service)
        if row is None or row.order.target_version != own.software_version:
            return 0
        return row.grant if row.phase_at(now_us) is Phase.CANARY else 0

    def record_admitted(self) -> None:
        """Count an attempt against the grant of this node."""
        self._tables.admitted += 1


def route_id_of(route: Route) -> RouteId:
    """Return a 32-bit hash of a route's methods, host and path."""
    text = f"{','.join(sorted(route.methods))} {route.host}{route.path}"
    return RouteId(xxh32_intdigest(text.encode()))
