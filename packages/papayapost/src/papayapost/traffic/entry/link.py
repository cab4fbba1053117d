"""The budget of this node on the link between regions."""

from collections.abc import Iterable

from papayapost.ids import DataCentreId, Micros
from papayapost.membership import BackendServerRow, Directory
from papayapost.place import SelfRow
from papayapost.states import Rank

__all__ = ["HEAD_BYTES", "LinkBudget"]

HEAD_BYTES = 500
"""What the heads of a request or an answer are charged as."""

_LINK_BYTES_PER_S = 3_750_000
_CALLS_SHARE = 0.5
_BURST_S = 10
_MIN_BURST_BYTES = 65_536
_BULK_RESERVE = 0.5
_MAX_DEBT = 1.0


class LinkBudget:
    """A token bucket in bytes, charged after the fact.

    The region's part for calls is divided among the region's nodes. Bulk
    work leaves half of the bucket to the rest, and the most urgent may
    overdraw it by one bucket.

    Parameters
    ----------
    bytes_per_s
        What the link carries each way for the whole region.
    """

    def __init__(self, me: SelfRow, bytes_per_s: int = _LINK_BYTES_PER_S):
        self._me = me
        self._near: set[DataCentreId] = {me.place.data_centre}
        self._calls_bytes_per_s = bytes_per_s * _CALLS_SHARE
        self._refilled_us = 0
        self._set_nodes(1)
        self.tokens_bytes = self._burst_bytes

    def share_among(
        self, directory: Directory, changed: Iterable[BackendServerRow]
    ) -> None:
        """Divide the region's part among the nodes that are known there."""
        for row in changed:
            if row.region == self._me.place.region:
                self._near.add(row.data_centre)
        nodes = sum(directory.count("data_centre", near) for near in self._near)
        self._set_nodes(max(1, nodes))

    def allows(self, rank: Rank, now_us: Micros) -> bool:
        """Return whether a call of this rank may take the link now."""
        self._refill(now_us)
        if rank is Rank.BULK:
            return self.tokens_bytes > self._burst_bytes * _BULK_RESERVE
        if rank is Rank.URGENT:
            return self.tokens_bytes > -self._burst_bytes * _MAX_DEBT
        return self.tokens_bytes > 0

    def charge(self, size_bytes: int) -> None:
        """Take bytes that were sent or received."""
        self.tokens_bytes -= size_bytes

    def _set_nodes(self, nodes: int) -> None:
        self._bytes_per_us = self._calls_bytes_per_s / nodes / 1e6
        burst_bytes = self._calls_bytes_per_s / nodes * _BURST_S
        self._burst_bytes = max(float(_MIN_BURST_BYTES), burst_bytes)

    def _refill(self, now_us: Micros) -> None:
        earned = (now_us - self._refilled_us) * self._bytes_per_us
        self.tokens_bytes = min(self._burst_bytes, self.tokens_bytes + earned)
        self._refilled_us = now_us
