"""Observers of the inputs and effects of a world."""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

__all__ = ["RunnerObserver", "Watcher", "join_watchers"]

Watcher = Callable[[Any], None]


class RunnerObserver(ABC):
    """Watches some types of inputs and effects without changing them."""

    @abstractmethod
    def input_watchers(self) -> Mapping[type, Watcher]:
        """Return the functions to call with each input, by input type."""

    @abstractmethod
    def effect_watchers(self) -> Mapping[type, Watcher]:
        """Return the functions to call with each effect, by effect type."""


def join_watchers(
    mappings: Iterable[Mapping[type, Watcher]],
) -> dict[type, tuple[Watcher, ...]]:
    """Merge the watchers of several observers by type.

    The watchers of one type keep the order of their observers.
    """
    joined: dict[type, list[Watcher]] = defaultdict(list)
    for mapping in mappings:
        for kind, watcher in mapping.items():
            joined[kind].append(watcher)
    return {kind: tuple(watchers) for kind, watchers in joined.items()}
