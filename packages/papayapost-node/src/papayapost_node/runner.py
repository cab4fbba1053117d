"""Runs a world: collects its inputs, ticks it and carries out its effects."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from papayapost.kernel import World
from papayapost.observe import Event, Noted
from papayapost_node.batch import InputBatching
from papayapost_node.clock import Clock
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.observe.observer import RunnerObserver, join_watchers

__all__ = ["EffectHandler", "WorldRunner"]

EffectHandler = Callable[[Any], None]


class WorldRunner(InputBatching):
    """Ticks a world when inputs have arrived or one of its timers is due.

    Between ticks it waits in the event loop.

    Parameters
    ----------
    handlers
        Functions that carry out the effects, by type of effect.
    observers
        Objects that watch the inputs and effects of each tick.

    Attributes
    ----------
    ticks
        Number of ticks run so far.
    """

    def __init__(
        self,
        world: World,
        clock: Clock,
        handlers: Mapping[type, EffectHandler] | None = None,
        observers: Sequence[RunnerObserver] = (),
    ):
        self._world = world
        self._clock = clock
        self._handlers = dict(handlers or {})
        self._input_watchers = join_watchers(o.input_watchers() for o in observers)
        self._effect_watchers = join_watchers(o.effect_watchers() for o in observers)
        self._inbox: list[object] = []
        self._is_scheduled = False
        self._is_batching = False
        self._is_closed = False
        self._loop = asyncio.get_running_loop()
        self._timer = DeadlineTimer(self._loop, self._tick)
        self.ticks = 0

    def add_handlers(self, handlers: Mapping[type, EffectHandler]) -> None:
        """Add functions that carry out further types of effects."""
        self._handlers.update(handlers)

    def post(self, message: object) -> None:
        """Pass a message to the next tick."""
        self._inbox.append(message)
        if not self._is_batching and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_scheduled)

    def begin(self) -> None:
        """Collect messages, without a tick, until `end`."""
        self._is_batching = True

    def end(self) -> None:
        """Tick at once if messages were collected."""
        self._is_batching = False
        if self._inbox:
            self._tick()

    def close(self) -> None:
        """Run no further ticks."""
        self._is_closed = True
        self._timer.close()
        self._handlers.clear()

    def _run_scheduled(self) -> None:
        self._is_scheduled = False
        if self._inbox:
            self._tick()

    def _tick(self) -> None:
        if self._is_closed:
            return
        messages, self._inbox = self._inbox, []
        self.ticks += 1
        now_us = self._clock.now_us()
        handlers, watchers = self._handlers, self._effect_watchers
        for message in messages:
            for watch in self._input_watchers.get(type(message), ()):
                watch(message)
        for effect in self._world.tick(now_us, messages):
            kind = type(effect)
            for watch in watchers.get(kind, ()):
                watch(effect)
            handler = handlers.get(kind)
            if handler is None:
                continue
            try:
                handler(effect)
            except Exception as error:
                # A failed effect must not keep the later ones from running.
                self._note_failure(effect, error)
        due_us = self._world.next_due_us()
        if due_us is not None:
            self._timer.set_in(max(0, due_us - now_us) / 1e6)

    def _note_failure(self, effect: object, error: Exception) -> None:
        note = self._handlers.get(Noted)
        if note is None or isinstance(effect, Noted):
            raise error
        detail = f"{type(effect).__name__}: {type(error).__name__}: {error}"
        note(Noted(Event.EFFECT_FAILED, detail=detail))
