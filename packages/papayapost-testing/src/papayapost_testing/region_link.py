"""A link of limited rate between two regions, in virtual time."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["RegionLink", "Transfer", "TransferProgress"]

_CHUNK_BYTES = 16 * 1024
_TELL_INTERVAL_US = 300_000


class RegionLink:
    """Carries bytes one way, in the order in which they were handed over.

    Parameters
    ----------
    rate_bytes_per_s
        Bytes that the link carries in a second.

    Attributes
    ----------
    carried_bytes
        Bytes that were handed over so far, by what they belong to.
    """

    def __init__(
        self,
        rate_bytes_per_s: int,
        clock: Callable[[], int],
        call_later: Callable[[int, Callable[[], None]], None],
    ):
        self._rate_bytes_per_s = rate_bytes_per_s
        self.clock = clock
        self._call_later = call_later
        self._free_us = 0
        self.carried_bytes: Counter[str] = Counter()

    def carry(self, kind: str, size_bytes: int, done: Callable[[], None]) -> None:
        """Call `done` when the last byte has left the link."""
        now_us = self.clock()
        self.carried_bytes[kind] += size_bytes
        start_us = max(now_us, self._free_us)
        self._free_us = start_us + size_bytes * 1_000_000 // self._rate_bytes_per_s
        self._call_later(self._free_us - now_us, done)


@dataclass(slots=True)
class TransferProgress:
    """What to do as an answer arrives.

    Parameters
    ----------
    is_wanted
        Whether the receiver still waits for the answer.
    part_arrived, done, failed
        Called for a part, for the last part, and if no part arrives in time.
    """

    is_wanted: Callable[[], bool]
    part_arrived: Callable[[], None]
    done: Callable[[], None]
    failed: Callable[[], None]


class Transfer:
    """One answer on its way over a link, which it shares with others.

    Its parts are handed over one after the other, as TCP does with a small
    window. It fails if no part arrives for some time.
    """

    def __init__(
        self,
        link: RegionLink,
        kind: str,
        size_bytes: int,
        timeout_us: int,
        progress: TransferProgress,
    ):
        self._link = link
        self._kind = kind
        self._left_bytes = size_bytes
        self._timeout_us = timeout_us
        self._progress = progress
        self._told_us = link.clock()
        self._hand_over()

    def _hand_over(self) -> None:
        part_bytes = min(self._left_bytes, _CHUNK_BYTES)
        self._left_bytes -= part_bytes
        sent_us = self._link.clock()

        def arrived() -> None:
            now_us, progress = self._link.clock(), self._progress
            if not progress.is_wanted():
                return
            if now_us - sent_us > self._timeout_us:
                progress.failed()
            elif not self._left_bytes:
                progress.done()
            else:
                self._hand_over()
                if now_us - self._told_us >= _TELL_INTERVAL_US:
                    self._told_us = now_us
                    progress.part_arrived()

        self._link.carry(self._kind, part_bytes, arrived)
