"""The base class of all systems."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from papayapost.kernel.world import Tick

__all__ = ["System"]


class System(ABC):
    """One decision over the tables it was constructed with.

    A system runs in a tick that holds a message of a type it consumes. It
    reads no clock, socket or random source but those that the tick offers.

    Attributes
    ----------
    consumes
        Types of the messages that make the system run.
    """

    consumes: ClassVar[tuple[type, ...]] = ()

    @abstractmethod
    def run(self, tick: Tick) -> None:
        """Take this tick's messages and update the tables."""
