"""The outbound link of a simulated VM."""

from papayapost.traffic import LARGE_ANSWER_BYTES, bulk_bytes_per_us

__all__ = ["SimulatedLink"]


class SimulatedLink:
    """Sends large answers one after the other, at the rate of `BulkPacer`.

    Small answers pass at once, as a node's pacing lets them.

    Parameters
    ----------
    mbps
        Rate in Mbit/s; 0 if the link is never full.
    """

    def __init__(self, mbps: float):
        self._bytes_per_us = bulk_bytes_per_us(mbps)
        self._free_us = 0

    def send(self, size_bytes: int, now_us: int) -> int:
        """Send an answer and return when its last byte has left."""
        if not self._bytes_per_us or size_bytes <= LARGE_ANSWER_BYTES:
            return now_us
        begin_us = max(now_us, self._free_us)
        self._free_us = begin_us + int(size_bytes / self._bytes_per_us)
        return self._free_us
