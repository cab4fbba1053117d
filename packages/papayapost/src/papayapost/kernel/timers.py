"""The timer table: messages to deliver at a given time."""

import heapq
from collections.abc import Hashable, Iterator

from papayapost.ids import Micros

__all__ = ["Timers"]


class Timers:
    """Timers, each with a key and a message that is delivered once when due.

    Setting a timer replaces an earlier timer with the same key.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.set("lease", 50, "renew")
    >>> timers.set("lease", 90, "renew later")
    >>> timers.next_due_us()
    90
    >>> list(timers.pop_due(100))
    ['renew later']
    """

    def __init__(self):
        self._heap: list[tuple[int, int, Hashable]] = []
        self._active: dict[Hashable, tuple[int, object]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._active)

    def set(self, key: Hashable, due_us: Micros, message: object) -> None:
        """Deliver `message` at `due_us`, in place of any timer for `key`."""
        self._sequence += 1
        self._active[key] = (self._sequence, message)
        heapq.heappush(self._heap, (due_us, self._sequence, key))
        if len(self._heap) > 64 + 4 * len(self._active):
            self._remove_stale_entries()

    def cancel(self, key: Hashable) -> None:
        """Cancel the timer for `key`, if there is one."""
        self._active.pop(key, None)

    def next_due_us(self) -> Micros | None:
        """Return the earliest due time, or None if no timer is set."""
        while self._heap:
            due_us, sequence, key = self._heap[0]
            if self._is_current(sequence, key):
                return Micros(due_us)
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now_us: Micros) -> Iterator[object]:
        """Remove all timers due by `now_us`, and yield their messages."""
        while self._heap and self._heap[0][0] <= now_us:
            _, sequence, key = heapq.heappop(self._heap)
            if self._is_current(sequence, key):
                yield self._active.pop(key)[1]

    def _is_current(self, sequence: int, key: Hashable) -> bool:
        entry = self._active.get(key)
        return entry is not None and entry[0] == sequence

    def _remove_stale_entries(self) -> None:
        self._heap = [item for item in self._heap if self._is_current(item[1], item[2])]
        heapq.heapify(self._heap)
