"""Limits the rate at which large answers enter the link of a VM."""

import asyncio
from collections import deque
from collections.abc import Callable

from papayapost_node.exchange.windows import SendWindow

__all__ = ["BulkPacer", "PacedWindow"]

_LINK_SHARE = 0.7
"""Fraction of the link's rate for large answers. Small answers, offers and
heartbeats take up to a quarter of the links in known deployments."""

_BURST_S = 0.02
_MIN_BURST_BYTES = 16 << 10
_MIN_PART_BYTES = 8 << 10

RoomCallback = Callable[[], None]


class BulkPacer:
    """Gives out the bytes that large answers may send, in order of arrival.

    Whatever the number of large answers, only a short burst of their bytes is
    queued at the link, so that small messages pass. Answers are served one
    after the other: if the link cannot carry all of them, some are in time.

    Parameters
    ----------
    link_mbps
        Rate of the link in Mbit/s; 0 for no limit.
    """

    def __init__(self, link_mbps: float):
        self._rate_bytes_per_s = link_mbps * 1e6 / 8 * _LINK_SHARE
        self._burst_bytes = max(_MIN_BURST_BYTES, self._rate_bytes_per_s * _BURST_S)
        self._tokens_bytes = self._burst_bytes
        self._refilled_s = 0.0
        self._waiting: deque[RoomCallback] = deque()
        self._served: RoomCallback | None = None
        self._timer: asyncio.TimerHandle | None = None

    def take(self, wanted_bytes: int, on_room: RoomCallback) -> int:
        """Return how many bytes may be sent now.

        Parameters
        ----------
        on_room
            Called once more may be sent, if the result is 0.
        """
        if not self._rate_bytes_per_s or not wanted_bytes:
            return wanted_bytes
        self._refill()
        is_served = on_room == self._served
        part_bytes = min(wanted_bytes, _MIN_PART_BYTES)
        if (self._waiting and not is_served) or self._tokens_bytes < part_bytes:
            self._wait(on_room, is_served)
            return 0
        taken = min(wanted_bytes, int(self._tokens_bytes))
        self._tokens_bytes -= taken
        return taken

    def forget(self, on_room: RoomCallback) -> None:
        """Drop the callback of an answer that has ended."""
        if on_room in self._waiting:
            self._waiting.remove(on_room)

    def _wait(self, on_room: RoomCallback, is_served: bool) -> None:
        if on_room in self._waiting:
            return
        if is_served:
            self._waiting.appendleft(on_room)
        else:
            self._waiting.append(on_room)
        if self._timer is None:
            self._set_timer()

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        earned_bytes = (now_s - self._refilled_s) * self._rate_bytes_per_s
        self._tokens_bytes = min(self._burst_bytes, self._tokens_bytes + earned_bytes)
        self._refilled_s = now_s

    def _set_timer(self) -> None:
        missing_bytes = max(0.0, _MIN_PART_BYTES - self._tokens_bytes)
        delay_s = missing_bytes / self._rate_bytes_per_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._serve_waiting)

    def _serve_waiting(self) -> None:
        self._timer = None
        self._refill()
        while self._waiting and self._tokens_bytes >= _MIN_PART_BYTES:
            self._served = self._waiting.popleft()
            self._served()
        self._served = None
        if self._waiting and self._timer is None:
            self._set_timer()


class PacedWindow(SendWindow):
    """Credit of a large answer, of which a pacer gives out the use.

    Parameters
    ----------
    on_room
        Called when more may be sent, if the pacer had held bytes back.
    """

    __slots__ = ("_on_room", "_pacer")

    def __init__(self, credit_bytes: int, pacer: BulkPacer, on_room: RoomCallback):
        super().__init__(credit_bytes)
        self._pacer = pacer
        self._on_room = on_room

    def take(self, wanted_bytes: int) -> int:
        """Use up to `wanted_bytes` of the credit and return the bytes used."""
        allowed_bytes = min(wanted_bytes, self.credit_bytes)
        return super().take(self._pacer.take(allowed_bytes, self._on_room))
