"""Limits the rate at which large answers enter the link of a VM."""

import asyncio
from collections.abc import Callable

from papayapost.traffic import bulk_bytes_per_us
from papayapost_node.exchange.windows import SendWindow

__all__ = ["BulkPacer", "PacedWindow"]

_BURST_S = 0.02
_MIN_BURST_BYTES = 16 << 10
_MIN_PART_BYTES = 8 << 10

RoomCallback = Callable[[], None]


class BulkPacer:
    """Gives out the bytes that large answers may send, in order of arrival.

    Whatever the number of large answers, only a short burst of their bytes is
    queued at the link, so that small messages pass. Answers are served one
    after the other: if the link cannot carry all of them, some are in time.
    While an answer waits for credit, the next one is served.

    Parameters
    ----------
    link_mbps
        Rate of the link in Mbit/s; 0 for no limit.
    """

    def __init__(self, link_mbps: float):
        self._rate_bytes_per_s = bulk_bytes_per_us(link_mbps) * 1e6
        self._burst_bytes = max(_MIN_BURST_BYTES, self._rate_bytes_per_s * _BURST_S)
        self._tokens_bytes = self._burst_bytes
        self._refilled_s = 0.0
        self._last_place = 0
        self._waiting: dict[int, RoomCallback] = {}
        self._timer: asyncio.TimerHandle | None = None

    def new_place(self) -> int:
        """Return the place of a new answer, behind all earlier ones."""
        self._last_place += 1
        return self._last_place

    def take(self, wanted_bytes: int, place: int, on_room: RoomCallback) -> int:
        """Return how many bytes the answer at a place may send now.

        Parameters
        ----------
        on_room
            Called once more may be sent, if the result is 0.
        """
        if not self._rate_bytes_per_s or not wanted_bytes:
            return wanted_bytes
        self._refill()
        part_bytes = min(wanted_bytes, _MIN_PART_BYTES)
        is_behind = any(waiting < place for waiting in self._waiting)
        if is_behind or self._tokens_bytes < part_bytes:
            self._waiting[place] = on_room
            if self._timer is None:
                self._set_timer()
            return 0
        taken = min(wanted_bytes, int(self._tokens_bytes))
        self._tokens_bytes -= taken
        return taken

    def forget(self, place: int) -> None:
        """Drop the callback of an answer that has ended."""
        self._waiting.pop(place, None)

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
            self._waiting.pop(min(self._waiting))()
        if self._waiting and self._timer is None:
            self._set_timer()


class PacedWindow(SendWindow):
    """Credit of a large answer, of which a pacer gives out the use.

    Parameters
    ----------
    on_room
        Called when more may be sent, if the pacer had held bytes back.
    """

    __slots__ = ("_on_room", "_pacer", "_place")

    def __init__(self, credit_bytes: int, pacer: BulkPacer, on_room: RoomCallback):
        super().__init__(credit_bytes)
        self._pacer = pacer
        self._place = pacer.new_place()
        self._on_room = on_room

    def take(self, wanted_bytes: int) -> int:
        """Use up to `wanted_bytes` of the credit and return the bytes used."""
        allowed_bytes = min(wanted_bytes, self.credit_bytes)
        given_bytes = self._pacer.take(allowed_bytes, self._place, self._on_room)
        return super().take(given_bytes)

    def close(self) -> None:
        """Leave the pacer; nothing more is sent."""
        self._pacer.forget(self._place)
