"""The world: an ordered list of systems, run by ticks."""

from collections import defaultdict
from collections.abc import Hashable, Iterable, Sequence
from random import Random
from typing import TypeVar

from papayapost.ids import Micros
from papayapost.kernel.system import System
from papayapost.kernel.timers import Timers

__all__ = ["Tick", "World"]

M = TypeVar("M")

_MAX_PASSES = 100


class Tick:
    """What a system may touch besides its tables.

    Attributes
    ----------
    now_us
        Monotonic time of this tick in µs.
    random
        The world's seeded random source.
    """

    __slots__ = ("_effects", "_inbox", "_world", "now_us", "random")

    def __init__(self, world: "World", random: Random):
        self.now_us = Micros(0)
        self.random = random
        self._world = world
        self._inbox: dict[type, list] = defaultdict(list)
        self._effects: list[object] = []

    def take(self, kind: type[M]) -> list[M]:
        """Return this pass's messages of one type, oldest first."""
        return self._inbox.get(kind, [])

    def post(self, message: object) -> None:
        """Hand a message to the systems of this world.

        Systems later in the order see it in this pass, earlier ones in the
        next pass of the same tick.
        """
        self._world._enqueue(message)

    def emit(self, effect: object) -> None:
        """Hand an effect to the shell, after the tick."""
        self._effects.append(effect)

    def set_timer(self, key: Hashable, due_us: Micros, message: object) -> None:
        """Post `message` in the first tick at or after `due_us`."""
        self._world.timers.set(key, due_us, message)

    def cancel_timer(self, key: Hashable) -> None:
        """Forget the timer under `key`."""
        self._world.timers.cancel(key)


class World:
    """Systems in order, with the timers and messages between them.

    Only systems with a waiting message run, so that a tick costs what
    changed and not how many systems or rows there are.

    Parameters
    ----------
    systems
        In the order in which they run.
    random
        Seeded source that systems draw from.

    Examples
    --------
    >>> class Echo(System):
    ...     consumes = (str,)
    ...     def run(self, tick):
    ...         for word in tick.take(str):
    ...             tick.emit((tick.now_us, word))
    >>> World([Echo()], Random(1)).tick(Micros(5), ["hello"])
    [(5, 'hello')]
    """

    def __init__(self, systems: Sequence[System], random: Random):
        self.systems = tuple(systems)
        self.timers = Timers()
        self._tick = Tick(self, random)
        self._consumers: dict[type, int] = defaultdict(int)
        for position, system in enumerate(self.systems):
            for kind in system.consumes:
                self._consumers[kind] |= 1 << position
        self._pending = 0
        self._next: list[object] = []
        self._position = -1

    def next_due_us(self) -> Micros | None:
        """Return when the next tick is owed without new messages."""
        return self.timers.next_due_us()

    def tick(self, now_us: Micros, messages: Iterable[object] = ()) -> list:
        """Run the systems that have work.

        Parameters
        ----------
        now_us
            Monotonic time in µs; never earlier than the last tick's.
        messages
            All that came in since the last tick, oldest first.

        Returns
        -------
        list
            Effects for the shell to carry out, in order.
        """
        tick = self._tick
        tick.now_us = now_us
        tick._effects = []
        self._position = -1
        for message in messages:
            self._enqueue(message)
        for message in self.timers.pop_due(now_us):
            self._enqueue(message)
        for _ in range(_MAX_PASSES):
            self._run_pass()
            if not self._next:
                return tick._effects
            queued, self._next = self._next, []
            for message in queued:
                self._enqueue(message)
        names = sorted({type(message).__name__ for message in queued})
        raise RuntimeError(
            f"systems still post {', '.join(names)} after {_MAX_PASSES} passes; "
            "break the cycle with a timer"
        )

    def _run_pass(self) -> None:
        while self._pending:
            lowest = self._pending & -self._pending
            self._pending ^= lowest
            self._position = lowest.bit_length() - 1
            self.systems[self._position].run(self._tick)
        self._position = -1
        self._tick._inbox.clear()

    def _enqueue(self, message: object) -> None:
        """Queue for this pass, or the next if a consumer has already run."""
        consumers = self._consumers.get(type(message), 0)
        already_run = (1 << (self._position + 1)) - 1
        if consumers & already_run:
            self._next.append(message)
            return
        self._tick._inbox[type(message)].append(message)
        self._pending |= consumers
