"""The timer table: messages that fall due at a time."""

import heapq
from collections.abc import Hashable, Iterator

from papayapost.ids import Micros

__all__ = ["Timers"]


class Timers:
    """Messages keyed by their purpose, delivered once when due.

    Setting a key again replaces its earlier timer.

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
        self._current: dict[Hashable, tuple[int, object]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._current)

    def set(self, key: Hashable, due_us: Micros, message: object) -> None:
        """Deliver `message` at `due_us` unless `key` is set again."""
        self._sequence += 1
        self._current[key] = (self._sequence, message)
        heapq.heappush(self._heap, (due_us, self._sequence, key))
        if len(self._heap) > 64 + 4 * len(self._current):
            self._drop_replaced()

    def cancel(self, key: Hashable) -> None:
        """Forget the timer under `key`, if there is one."""
        self._current.pop(key, None)

    def next_due_us(self) -> Micros | None:
        """Return the earliest due time, or None without timers."""
        while self._heap:
            due_us, sequence, key = self._heap[0]
            if self._is_current(sequence, key):
                return Micros(due_us)
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now_us: Micros) -> Iterator[object]:
        """Yield and forget the messages that are due at `now_us`."""
        while self._heap and self._heap[0][0] <= now_us:
            _, sequence, key = heapq.heappop(self._heap)
            if self._is_current(sequence, key):
                yield self._current.pop(key)[1]

    def _is_current(self, sequence: int, key: Hashable) -> bool:
        entry = self._current.get(key)
        return entry is not None and entry[0] == sequence

    def _drop_replaced(self) -> None:
        self._heap = [e for e in self._heap if self._is_current(e[1], e[2])]
        heapq.heapify(self._heap)
