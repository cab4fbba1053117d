"""Groups what arrives together, so that one tick takes all of it."""

from abc import ABC, abstractmethod

__all__ = ["Batch", "NoBatch"]


class Batch(ABC):
    """Told by whatever reads from a socket before and after it does so.

    Between the two calls messages are only gathered; at the end they are
    decided on at once, without another round of the event loop.
    """

    @abstractmethod
    def begin(self) -> None:
        """Gather from now on; never nested."""

    @abstractmethod
    def end(self) -> None:
        """Decide on what was gathered."""


class NoBatch(Batch):
    """For servers and clients that no world stands behind."""

    def begin(self) -> None:
        """Do nothing."""

    def end(self) -> None:
        """Do nothing."""
