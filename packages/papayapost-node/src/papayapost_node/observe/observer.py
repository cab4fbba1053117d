"""What looks on at the messages and effects of a world."""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

__all__ = ["RunnerObserver", "Watcher", "join_watchers"]

Watcher = Callable[[Any], None]


class RunnerObserver(ABC):
    """Looks on at some types of messages and effects, changing nothing."""

    @abstractmethod
    def input_watchers(self) -> Mapping[type, Watcher]:
        """Return what is called with each input of a type."""

    @abstractmethod
    def effect_watchers(self) -> Mapping[type, Watcher]:
        """Return what is called with each effect of a type."""


def join_watchers(
    mappings: Iterable[Mapping[type, Watcher]],
) -> dict[type, tuple[Watcher, ...]]:
    """Return all watchers of each type, in the order of the observers."""
    joined: dict[type, list[Watcher]] = defaultdict(list)
    for mapping in mappings:
        for kind, watcher in mapping.items():
            joined[kind].append(watcher)
    return {kind: tuple(watchers) for kind, watchers in joined.items()}
