"""The world: an ordered list of systems that run in ticks."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from random import Random

from papayapost.ids import Micros
from papayapost.kernel.system import System
from papayapost.kernel.tick import Tick
from papayapost.kernel.timers import Timers

__all__ = ["World"]

_MAX_PASSES_PER_TICK = 100


class World:
    """An ordered list of systems, with their timers and queued messages.

    A tick runs only the systems that have a queued message. Its cost
    depends on the number of messages, not on the number of systems or rows.

    Parameters
    ----------
    systems
        The systems, in the order in which they run.
    random
        Seeded random source for the systems.

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
        self._tick = Tick(self._enqueue, self.timers, random)
        self._consumer_masks: dict[type, int] = defaultdict(int)
        for position, system in enumerate(self.systems):
            for kind in system.consumes:
                self._consumer_masks[kind] |= 1 << position
        self._pending_systems = 0
        self._next_pass: list[object] = []
        self._running_position = -1

    def next_due_us(self) -> Micros | None:
        """Return when the next timer is due, or None if no timer is set."""
        return self.timers.next_due_us()

    def tick(self, now_us: Micros, messages: Iterable[object] = ()) -> list:
        """Run the systems that have messages, until no message is left.

        Parameters
        ----------
        now_us
            Monotonic time in µs; not earlier than in the previous tick.
        messages
            Messages received since the previous tick, oldest first.

        Returns
        -------
        list
            Effects for the caller to carry out, in order.

        Raises
        ------
        RuntimeError
            If systems keep posting messages to each other without end.
        """
        tick = self._tick
        tick.now_us = now_us
        tick._effects = []
        self._running_position = -1
        for message in messages:
            self._enqueue(message)
        for message in self.timers.pop_due(now_us):
            self._enqueue(message)
        for _ in range(_MAX_PASSES_PER_TICK):
            self._run_pass()
            if not self._next_pass:
                return tick._effects
            queued, self._next_pass = self._next_pass, []
            for message in queued:
                self._enqueue(message)
        names = sorted({type(message).__name__ for message in queued})
        raise RuntimeError(
            f"systems still post {', '.join(names)} after {_MAX_PASSES_PER_TICK} "
            "passes of one tick; break the cycle with a timer"
        )

    def _run_pass(self) -> None:
        while self._pending_systems:
            lowest_bit = self._pending_systems & -self._pending_systems
            self._pending_systems ^= lowest_bit
            self._running_position = lowest_bit.bit_length() - 1
            self.systems[self._running_position].run(self._tick)
        self._running_position = -1
        self._tick._inbox.clear()

    def _enqueue(self, message: object) -> None:
        """Queue a message for this pass or the next one.

        It goes to the next pass if one of its consumers has already run.
        """
        consumer_mask = self._consumer_masks.get(type(message), 0)
        already_run_mask = (1 << (self._running_position + 1)) - 1
        if consumer_mask & already_run_mask:
            self._next_pass.append(message)
            return
        self._tick._inbox[type(message)].append(message)
        self._pending_systems |= consumer_mask
