"""The budget in bytes of a node's calls on the link between regions."""

from collections.abc import Iterable

from papayapost.ids import DataCentreId, Micros
from papayapost.membership import BackendServerRow, Directory
from papayapost.place import SelfRow
from papayapost.states import Rank

__all__ = ["HEAD_BYTES", "LinkBudget"]

HEAD_BYTES = 500
"""Bytes charged for the head of each request and of each answer."""

_LINK_BYTES_PER_S = 3_750_000
_SHARE_FOR_CALLS = 0.5
_BURST_S = 10
_MIN_BURST_BYTES = 65_536
_BULK_MIN_SHARE = 0.5
_URGENT_OVERDRAFT_SHARE = 1.0


class LinkBudget:
    """A token bucket in bytes for the calls on the link between regions.

    Bytes are charged after they were sent or received. Each node of the region
    has an equal part of the region's rate for calls. Calls of rank ``BULK``
    may use only the upper half of the bucket. Calls of rank ``URGENT`` may
    overdraw it by the size of the bucket.

    Parameters
    ----------
    bytes_per_s
        Capacity of the link for the whole region, in bytes per second and
        direction.
    """

    def __init__(self, me: SelfRow, bytes_per_s: int = _LINK_BYTES_PER_S):
        self._me = me
        self._region_data_centres: set[DataCentreId] = {me.place.data_centre}
        self._calls_bytes_per_s = bytes_per_s * _SHARE_FOR_CALLS
        self._refilled_us = 0
        self._set_node_count(1)
        self.tokens_bytes = self._burst_bytes

    def divide_among_nodes(
        self, directory: Directory, changed: Iterable[BackendServerRow]
    ) -> None:
        """Divide the rate among the nodes of this region in the directory."""
        for row in changed:
            if row.region == self._me.place.region:
                self._region_data_centres.add(row.data_centre)
        nodes = sum(
            directory.count("data_centre", data_centre)
            for data_centre in self._region_data_centres
        )
        self._set_node_count(max(1, nodes))

    def allows(self, rank: Rank, now_us: Micros) -> bool:
        """Return whether a call of this rank may use the link now."""
        self._refill(now_us)
        if rank is Rank.BULK:
            return self.tokens_bytes > self._burst_bytes * _BULK_MIN_SHARE
        if rank is Rank.URGENT:
            return self.tokens_bytes > -self._burst_bytes * _URGENT_OVERDRAFT_SHARE
        return self.tokens_bytes > 0

    def charge(self, size_bytes: int) -> None:
        """Take the bytes of a request or an answer from the bucket."""
        self.tokens_bytes -= size_bytes

    def _set_node_count(self, nodes: int) -> None:
        self._bytes_per_us = self._calls_bytes_per_s / nodes / 1e6
        burst_bytes = self._calls_bytes_per_s / nodes * _BURST_S
        self._burst_bytes = max(float(_MIN_BURST_BYTES), burst_bytes)

    def _refill(self, now_us: Micros) -> None:
        refill_bytes = (now_us - self._refilled_us) * self._bytes_per_us
        self.tokens_bytes = min(self._burst_bytes, self.tokens_bytes + refill_bytes)
        self._refilled_us = now_us
