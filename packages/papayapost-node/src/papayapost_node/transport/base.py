"""What carries frames between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from papayapost.ids import Address
from papayapost_node.batch import Batch

__all__ = ["FrameHandler", "PeerTransport"]

FrameHandler = Callable[[bytes], None]


class PeerTransport(ABC):
    """Sends frames to peers and hands over those that come in."""

    @abstractmethod
    def start(self, on_frame: FrameHandler, batch: Batch) -> None:
        """Listen for peers."""

    @abstractmethod
    def send(self, address: Address, frame: bytes) -> bool:
        """Hand a frame over for delivery, at most once.

        Returns
        -------
        bool
            False if the frame certainly does not leave this process.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop what is queued and close."""
