"""Batches the messages of one socket read, so that one tick handles them."""

from abc import ABC, abstractmethod

__all__ = ["InputBatching", "NoBatching"]


class InputBatching(ABC):
    """Collects the messages that result from one read of a socket.

    The code that reads from the socket calls `begin` before it handles the
    received data and `end` after that. Messages posted between the two calls
    are only collected. `end` handles all of them at once, without another pass
    of the event loop.
    """

    @abstractmethod
    def begin(self) -> None:
        """Start to collect messages; calls must not be nested."""

    @abstractmethod
    def end(self) -> None:
        """Handle all messages collected since `begin`."""


class NoBatching(InputBatching):
    """Does nothing; for servers and clients that have no world."""

    def begin(self) -> None:
        """Do nothing."""

    def end(self) -> None:
        """Do nothing."""
