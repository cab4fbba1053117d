"""Runs a world: gathers messages, ticks, and carries out the effects."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from papayapost.kernel import World
from papayapost_node.clock import Clock
from papayapost_node.observe.observer import RunnerObserver, join_watchers

__all__ = ["EffectHandler", "WorldRunner"]

EffectHandler = Callable[[Any], None]


class WorldRunner:
    """Ticks when input has arrived or a timer is due, and sleeps between.

    Parameters
    ----------
    handlers
        What carries out each type of effect.
    observers
        Look on at inputs and effects.
    """

    def __init__(
        self,
        world: World,
        clock: Clock,
        handlers: Mapping[type, EffectHandler],
        observers: Sequence[RunnerObserver] = (),
    ):
        self._world = world
        self._clock = clock
        self._handlers = dict(handlers)
        self._input_watchers = join_watchers(o.input_watchers() for o in observers)
        self._effect_watchers = join_watchers(o.effect_watchers() for o in observers)
        self._inbox: list[object] = []
        self._is_scheduled = False
        self._wake: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.ticks = 0

    def post(self, message: object) -> None:
        """Hand a message to the next tick."""
        self._inbox.append(message)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._tick)

    def close(self) -> None:
        """Run no further ticks."""
        if self._wake is not None:
            self._wake.cancel()
        self._handlers.clear()

    def _tick(self) -> None:
        self._is_scheduled = False
        messages, self._inbox = self._inbox, []
        self.ticks += 1
        for message in messages:
            for watch in self._input_watchers.get(type(message), ()):
                watch(message)
        for effect in self._world.tick(self._clock.now_us(), messages):
            for watch in self._effect_watchers.get(type(effect), ()):
                watch(effect)
            handler = self._handlers.get(type(effect))
            if handler is not None:
                handler(effect)
        self._sleep_until_due()

    def _sleep_until_due(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        due_us = self._world.next_due_us()
        if due_us is not None:
            delay_s = max(0, due_us - self._clock.now_us()) / 1e6
            self._wake = self._loop.call_later(delay_s, self._tick)
