"""Which versions of a service's backend servers may get calls."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from random import Random

from papayapost.ids import Micros, NodeId, RouteId, ServiceName
from papayapost.membership import BackendServerRow
from papayapost.rules import Route

__all__ = ["AnyVersion", "VersionPolicy"]

_NO_NODES: frozenset[NodeId] = frozenset()


class VersionPolicy(ABC):
    """Chooses among the versions of a service at entry and owner nodes."""

    @abstractmethod
    def usable(
        self, service: ServiceName, rows: Iterable[BackendServerRow]
    ) -> list[BackendServerRow]:
        """Return the rows of the version that gets the calls of a service."""

    @abstractmethod
    def trial_nodes(
        self, service: ServiceName, now_us: Micros, random: Random
    ) -> frozenset[NodeId]:
        """Return the nodes of another version that are to get an attempt.

        It is empty for most attempts, as a version on trial gets few.
        """

    @abstractmethod
    def route_id(self, service: ServiceName, route: Route) -> RouteId | None:
        """Return the id of a route if answers are counted by route."""

    @abstractmethod
    def admits(self, now_us: Micros) -> bool:
        """Return whether this node's backend server may get an attempt."""

    @abstractmethod
    def record_admitted(self) -> None:
        """Record that this node has admitted an attempt."""


class AnyVersion(VersionPolicy):
    """Uses all versions alike, in a mesh without roll-outs."""

    def usable(
        self, service: ServiceName, rows: Iterable[BackendServerRow]
    ) -> list[BackendServerRow]:
        """Return all rows."""
        return list(rows)

    def trial_nodes(
        self, service: ServiceName, now_us: Micros, random: Random
    ) -> frozenset[NodeId]:
        """Return no nodes."""
        return _NO_NODES

    def route_id(self, service: ServiceName, route: Route) -> RouteId | None:
        """Return None."""
        return None

    def admits(self, now_us: Micros) -> bool:
        """Return True."""
        return True

    def record_admitted(self) -> None:
        """Do nothing."""
