"""Interfaces of a transport that sends frames between nodes."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from papayapost.ids import Address
from papayapost_node.batch import InputBatching
from papayapost_node.security.keys import PublicKey

__all__ = ["DroppedCallback", "FrameListener", "PeerTransport"]

DroppedCallback = Callable[[], None]
"""Callback for a queued frame that is dropped before it was sent."""


class FrameListener(ABC):
    """Receives the frames and connection events of a transport."""

    @abstractmethod
    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        """Handle a frame that a peer sent.

        Parameters
        ----------
        key
            Authenticated public key of the sender; None if the transport runs
            without authentication.
        """

    @abstractmethod
    def peer_lost(self, address: Address) -> None:
        """Handle the loss of an established connection to a peer.

        Frames that the connection still held are lost.
        """

    @abstractmethod
    def unknown_key_refused(self, key: PublicKey) -> None:
        """Handle a refused connection from a host with an unknown key."""


class PeerTransport(ABC):
    """Sends frames to peers and passes received frames to a listener.

    The transport opens a connection to a peer for the first frame and closes
    it when it has been idle for a time. A lost connection is not reopened for
    the frames that it held: these frames are lost, so that no frame arrives
    after `FrameListener.peer_lost` was called for its connection.
    """

    @abstractmethod
    def start(self, listener: FrameListener, batch: InputBatching) -> None:
        """Start to accept connections of peers.

        Raises
        ------
        AddressUnavailable
            If the address is in use or does not belong to this machine.
        """

    @abstractmethod
    def send(
        self, address: Address, frame: bytes, on_dropped: DroppedCallback | None = None
    ) -> bool:
        """Send a frame to a peer; it is delivered at most once.

        Parameters
        ----------
        on_dropped
            Called later if the frame was queued for a connection that could
            not be established. The frame then certainly was not sent.

        Returns
        -------
        bool
            False if the frame was dropped at once and certainly is not sent.
            True does not mean that the peer receives the frame.
        """

    async def finish_sending(self, timeout_s: float) -> None:
        """Send all queued frames, for a limited time, and close.

        Returns as soon as all frames were handed to the operating system. No
        frame can be sent or received afterwards. A transport that has no
        queue of its own only closes.
        """
        self.close()

    @abstractmethod
    def close(self) -> None:
        """Drop all queued frames and close all connections."""
