"""A connection to one peer: a ZeroMQ DEALER socket with its monitor."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from enum import Enum

import zmq
from zmq.utils.monitor import parse_monitor_message

from papayapost.ids import Address
from papayapost_node.frames import MAX_FRAME_BYTES
from papayapost_node.security.keys import KeyPair, PublicKey
from papayapost_node.transport.base import DroppedCallback

__all__ = ["Dealer", "DealerListener", "DealerState", "open_socket"]

_SOCKET_QUEUE_FRAMES = 1_000
_MAX_UNSENT_FRAMES = 256
_CONNECT_TIMEOUT_MS = 2_000
_NO_RECONNECT = -1
_HEARTBEAT_MS = 5_000
_HEARTBEAT_TIMEOUT_MS = 10_000

_ESTABLISHED_EVENTS = zmq.EVENT_HANDSHAKE_SUCCEEDED
_ENDED_EVENTS = (
    zmq.EVENT_CLOSED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class DealerState(Enum):
    """States of a connection."""

    CONNECTING = "connecting"
    READY = "ready"
    ENDED = "ended"


class DealerListener(ABC):
    """Receives the state changes of connections."""

    @abstractmethod
    def dealer_ready(self, dealer: "Dealer") -> None:
        """Handle a connection that the peer has accepted."""

    @abstractmethod
    def dealer_ended(self, dealer: "Dealer", was_ready: bool) -> None:
        """Handle a connection that could not be established or was lost.

        Parameters
        ----------
        was_ready
            Whether the peer had accepted the connection.
        """


class Dealer:
    """A connection to a peer that is established at most once.

    Frames are queued until the peer has accepted the connection. A failed or
    lost connection is not established again; the listener may create another
    `Dealer`.

    Parameters
    ----------
    listener
        Receives the state changes of the connection.
    own_keys, peer_key
        Key pair of this node and public key of the peer for CURVE; both None
        for a connection without encryption and authentication.
    max_frame_bytes
        Size limit of a received frame.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: Address,
        listener: DealerListener,
        own_keys: KeyPair | None,
        peer_key: PublicKey | None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ):
        self.address = address
        self.peer_key = peer_key
        self.state = DealerState.CONNECTING
        self.unsent_frames: deque[tuple[bytes, DroppedCallback | None]] = deque()
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._socket = open_socket(context, zmq.DEALER, max_frame_bytes)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _NO_RECONNECT)
        self._socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.HANDSHAKE_IVL, _CONNECT_TIMEOUT_MS)
        # Heartbeats detect a peer whose VM has failed; TCP alone would take
        # much longer to report the lost connection.
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        if own_keys is not None and peer_key is not None:
            self._socket.curve_secretkey = own_keys.secret_key.encode()
            self._socket.curve_publickey = own_keys.public_key.encode()
            self._socket.curve_serverkey = peer_key.encode()
        try:
            self._monitor = self._socket.get_monitor_socket(
                _ESTABLISHED_EVENTS | _ENDED_EVENTS
            )
        except zmq.ZMQError:
            self._socket.close(0)
            raise
        self._loop.add_reader(self._monitor.fileno(), self._receive_events)
        try:
            self._socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            self.close()
            raise
        self._loop.call_soon(self._receive_events)

    def send(self, frame: bytes, on_dropped: DroppedCallback | None) -> bool:
        """Send a frame, or queue it until the connection is established.

        Returns
        -------
        bool
            False if the frame is dropped because a queue is full.
        """
        if self.state is DealerState.READY:
            return self._send_now(frame)
        if len(self.unsent_frames) >= _MAX_UNSENT_FRAMES:
            return False
        self.unsent_frames.append((frame, on_dropped))
        return True

    def close(self, linger_ms: int = 0) -> None:
        """Close the connection and drop the frames that were not sent.

        Parameters
        ----------
        linger_ms
            Time in ms for which ZeroMQ still sends the frames that it holds.
        """
        if self.state is DealerState.ENDED:
            return
        self.state = DealerState.ENDED
        self._loop.remove_reader(self._monitor.fileno())
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(linger_ms)

    def _send_now(self, frame: bytes) -> bool:
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _receive_events(self) -> None:
        # The file descriptor is edge-triggered: it signals only a change, so
        # each call must read all available events.
        while self.state is not DealerState.ENDED:
            try:
                parts = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_event(parse_monitor_message(parts)["event"])

    def _handle_event(self, event: int) -> None:
        if event & _ESTABLISHED_EVENTS:
            self.state = DealerState.READY
            while self.unsent_frames:
                frame, on_dropped = self.unsent_frames.popleft()
                if not self._send_now(frame) and on_dropped is not None:
                    on_dropped()
            self._listener.dealer_ready(self)
        elif event & _ENDED_EVENTS:
            was_ready = self.state is DealerState.READY
            self.close()
            self._listener.dealer_ended(self, was_ready)


def open_socket(context: zmq.Context, kind: int, max_frame_bytes: int) -> zmq.Socket:
    """Return a socket with bounded queues that drops its frames on close."""
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _SOCKET_QUEUE_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _SOCKET_QUEUE_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, max_frame_bytes)
    return socket
