"""What a system sees of the world that runs it."""

from collections import defaultdict
from collections.abc import Callable, Hashable
from random import Random
from typing import TypeVar

from papayapost.ids import Micros
from papayapost.kernel.timers import Timers

__all__ = ["Tick"]

M = TypeVar("M")


class Tick:
    """The interface through which a system reads inputs and gives outputs.

    A system uses nothing but this interface and its tables.

    Attributes
    ----------
    now_us
        Monotonic time of this tick in µs.
    random
        Seeded random source of the world.
    """

    __slots__ = ("_effects", "_enqueue", "_inbox", "_timers", "now_us", "random")

    def __init__(
        self, enqueue: Callable[[object], None], timers: Timers, random: Random
    ):
        self.now_us = Micros(0)
        self.random = random
        self._enqueue = enqueue
        self._timers = timers
        self._inbox: dict[type, list] = defaultdict(list)
        self._effects: list[object] = []

    def take(self, kind: type[M]) -> list[M]:
        """Return the messages of one type in this pass, oldest first."""
        return self._inbox.get(kind, [])

    def post(self, message: object) -> None:
        """Queue a message for the systems of this world.

        The message is processed in the current pass if all its consumers
        come later in the order than the running system, and otherwise in
        the next pass of the same tick.
        """
        self._enqueue(message)

    def emit(self, effect: object) -> None:
        """Add an effect that the caller carries out after the tick."""
        self._effects.append(effect)

    def set_timer(self, key: Hashable, due_us: Micros, message: object) -> None:
        """Deliver `message` in the first tick at or after `due_us`."""
        self._timers.set(key, due_us, message)

    def cancel_timer(self, key: Hashable) -> None:
        """Cancel the timer for `key`, if there is one."""
        self._timers.cancel(key)
