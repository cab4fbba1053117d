"""What carries frames between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from papayapost.ids import Address
from papayapost_node.batch import Batch
from papayapost_node.security.keys import PublicKey

__all__ = ["Dropped", "FrameListener", "PeerTransport"]

Dropped = Callable[[], None]


class FrameListener(ABC):
    """Takes what a transport brings."""

    @abstractmethod
    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        """Take a frame.

        Parameters
        ----------
        key
            The sender's authenticated key; None without authentication.
        """

    @abstractmethod
    def peer_lost(self, address: Address) -> None:
        """Note that the connection to a peer ended, with what was on it."""

    @abstractmethod
    def stranger_refused(self, key: PublicKey) -> None:
        """Note that somebody with an unknown key was turned away."""


class PeerTransport(ABC):
    """Sends frames to peers and hands over those that come in.

    A connection to a peer lives from the first frame until it is idle or
    broken. It is never reopened under frames that it holds: what was handed
    to a connection that broke is lost, and nothing arrives late.
    """

    @abstractmethod
    def start(self, listener: FrameListener, batch: Batch) -> None:
        """Listen for peers.

        Raises
        ------
        AddressUnavailable
            If the address is in use or not this machine's.
        """

    @abstractmethod
    def send(
        self, address: Address, frame: bytes, on_dropped: Dropped | None = None
    ) -> bool:
        """Hand a frame over for delivery, at most once.

        Parameters
        ----------
        on_dropped
            Called later if the frame waited for a connection that did not
            come about: it certainly did not leave this process.

        Returns
        -------
        bool
            False if the frame certainly does not leave this process.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop what is queued and close."""
