"""Policies that choose a backend server for an attempt."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random

from papayapost.membership import BackendServerRow
from papayapost.place import SelfRow
from papayapost.states import LinkClass
from papayapost.traffic.tables import TrafficTables

__all__ = ["BalancingPolicy", "NearestLeastOutstanding"]


class BalancingPolicy(ABC):
    """Chooses among the backend servers that may take an attempt."""

    @abstractmethod
    def choose(
        self, candidates: Sequence[BackendServerRow], random: Random
    ) -> BackendServerRow | None:
        """Return the best candidate, or None if there is none."""


class NearestLeastOutstanding(BalancingPolicy):
    """The nearest place, and within it the fewest outstanding attempts."""

    def __init__(self, me: SelfRow, tables: TrafficTables):
        self._me = me
        self._tables = tables

    def choose(
        self, candidates: Sequence[BackendServerRow], random: Random
    ) -> BackendServerRow | None:
        """Return the best candidate, or None if there is none."""
        if not candidates:
            return None
        return min(candidates, key=lambda row: (*self._cost(row), random.random()))

    def _cost(self, row: BackendServerRow) -> tuple[LinkClass, float]:
        if row.node_id == self._me.node_id:
            link = LinkClass.SELF
        else:
            link = self._me.place.distance_to(row.place)
        outstanding = self._tables.outstanding.get(row.node_id, 0)
        is_full = outstanding >= row.slots
        return (LinkClass.ACROSS if is_full else link, outstanding / row.slots)
