"""The base class of all systems."""

from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost.kernel.tick import Tick

__all__ = ["System"]


class System(ABC):
    """Decision logic that reads and updates the tables passed to it.

    A system runs in a tick if a message of a type that it consumes is
    queued. It does no I/O, and takes the time and random numbers only from
    the tick.

    Attributes
    ----------
    consumes
        Message types that cause the system to run.
    """

    consumes: ClassVar[tuple[type, ...]] = ()

    @abstractmethod
    def run(self, tick: Tick) -> None:
        """Process the messages of this pass and update the tables."""
