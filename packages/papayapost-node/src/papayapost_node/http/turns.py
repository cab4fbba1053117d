"""Turns between connections that have received more than can be handled.

Guards against a few connections with very much to parse, such as bodies in
chunks of one byte: they must not keep others from their requests.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Hashable

__all__ = ["TurnTaker", "Turns"]

_UNITS_PER_PASS = 512
"""Work in one pass of the event loop, about 8 ms. A unit is 10 to 20 µs: the
time to parse one chunk, or eight header fields."""

_UNITS_PER_TURN = 64


class TurnTaker(ABC):
    """A connection with received bytes to handle."""

    @property
    @abstractmethod
    def turn_group(self) -> Hashable:
        """The server of the connection; servers take turns too."""

    @property
    @abstractmethod
    def wants_turn(self) -> bool:
        """Whether there is more to handle now."""

    @abstractmethod
    def take_turn(self, units: int) -> int:
        """Handle received bytes and return the units of work that took.

        Parameters
        ----------
        units
            Work after which the turn ends. It may be exceeded by the work of
            one request, which cannot be divided.
        """


class Turns:
    """Gives turns to connections, within a bound on each event loop pass.

    A connection gets its turn at once while the bound of the pass is not
    reached and no other one waits. Otherwise it waits until a later pass.

    Attributes
    ----------
    deferred
        Number of turns that had to wait.
    """

    def __init__(
        self,
        units_per_pass: int = _UNITS_PER_PASS,
        units_per_turn: int = _UNITS_PER_TURN,
    ):
        self._units_per_pass = units_per_pass
        self._units_per_turn = units_per_turn
        self._units_left = units_per_pass
        self._waiting: dict[Hashable, deque[TurnTaker]] = {}
        self._queued: set[TurnTaker] = set()
        self.deferred = 0

    def request(self, taker: TurnTaker) -> None:
        """Give a connection its turn now or in a later pass."""
        if self._units_left > 0 and not self._queued:
            self._give_turn(taker)
        elif taker not in self._queued:
            self.deferred += 1
            self._enqueue(taker)

    def _give_turn(self, taker: TurnTaker) -> None:
        # A turn that takes no work still takes the time to find that out.
        self._units_left -= taker.take_turn(self._units_per_turn) or 1
        if taker.wants_turn and taker not in self._queued:
            self._enqueue(taker)

    def _enqueue(self, taker: TurnTaker) -> None:
        if not self._queued:
            asyncio.get_running_loop().call_soon(self._run_pass)
        self._queued.add(taker)
        self._waiting.setdefault(taker.turn_group, deque()).append(taker)

    def _run_pass(self) -> None:
        self._units_left = self._units_per_pass
        try:
            while self._queued and self._units_left > 0:
                self._give_turn(self._next_taker())
        finally:
            if self._queued:
                asyncio.get_running_loop().call_soon(self._run_pass)

    def _next_taker(self) -> TurnTaker:
        group = next(iter(self._waiting))
        queue = self._waiting.pop(group)
        taker = queue.popleft()
        if queue:
            # The group goes behind the others.
            self._waiting[group] = queue
        self._queued.discard(taker)
        return taker
