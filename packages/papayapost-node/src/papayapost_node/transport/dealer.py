"""One connection to a peer, by a DEALER socket and its monitor."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from enum import Enum

import zmq
from zmq.utils.monitor import parse_monitor_message

from papayapost.ids import Address
from papayapost_node.security.keys import KeyPair, PublicKey
from papayapost_node.transport.base import Dropped

__all__ = ["Dealer", "DealerOwner", "DealerState", "open_socket"]

_MAX_QUEUED_FRAMES = 1_000
_MAX_FRAME_BYTES = 4 << 20
_MAX_WAITING_FRAMES = 256
_CONNECT_TIMEOUT_MS = 2_000
_NO_RECONNECT = -1
_HEARTBEAT_MS = 5_000
_HEARTBEAT_TIMEOUT_MS = 10_000

_READY_EVENTS = zmq.EVENT_HANDSHAKE_SUCCEEDED
_END_EVENTS = (
    zmq.EVENT_CLOSED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class DealerState(Enum):
    """Life of one connection."""

    CONNECTING = "connecting"
    READY = "ready"
    ENDED = "ended"


class DealerOwner(ABC):
    """Told what becomes of a connection."""

    @abstractmethod
    def dealer_ready(self, dealer: "Dealer") -> None:
        """Note that the peer took the connection."""

    @abstractmethod
    def dealer_ended(self, dealer: "Dealer", was_ready: bool) -> None:
        """Note that the connection failed or broke."""


class Dealer:
    """Connects once; frames wait until the peer has taken the connection.

    Parameters
    ----------
    own_keys, peer_key
        Set both for CURVE, or neither.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: Address,
        owner: DealerOwner,
        own_keys: KeyPair | None,
        peer_key: PublicKey | None,
    ):
        self.address = address
        self.peer_key = peer_key
        self.state = DealerState.CONNECTING
        self.waiting: deque[tuple[bytes, Dropped | None]] = deque()
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._socket = open_socket(context, zmq.DEALER)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _NO_RECONNECT)
        self._socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.HANDSHAKE_IVL, _CONNECT_TIMEOUT_MS)
        # Without them a peer whose VM vanished looks alive until TCP gives up.
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        if own_keys is not None and peer_key is not None:
            self._socket.curve_secretkey = own_keys.secret_key.encode()
            self._socket.curve_publickey = own_keys.public_key.encode()
            self._socket.curve_serverkey = peer_key.encode()
        self._monitor = self._socket.get_monitor_socket(_READY_EVENTS | _END_EVENTS)
        self._loop.add_reader(self._monitor.fileno(), self._read_events)
        self._socket.connect(f"tcp://{address}")
        self._loop.call_soon(self._read_events)

    def send(self, frame: bytes, on_dropped: Dropped | None) -> bool:
        """Hand a frame over, or keep it until the peer is there."""
        if self.state is DealerState.READY:
            return self._hand_over(frame)
        if len(self.waiting) >= _MAX_WAITING_FRAMES:
            return False
        self.waiting.append((frame, on_dropped))
        return True

    def close(self) -> None:
        """Close, dropping what is queued."""
        if self.state is DealerState.ENDED:
            return
        self.state = DealerState.ENDED
        self._loop.remove_reader(self._monitor.fileno())
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)

    def _hand_over(self, frame: bytes) -> bool:
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _read_events(self) -> None:
        # The descriptor reports a change once only: read all there is.
        while self.state is not DealerState.ENDED:
            try:
                parts = self._monitor.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take_event(parse_monitor_message(parts)["event"])

    def _take_event(self, event: int) -> None:
        if event & _READY_EVENTS:
            self.state = DealerState.READY
            while self.waiting:
                frame, on_dropped = self.waiting.popleft()
                if not self._hand_over(frame) and on_dropped is not None:
                    on_dropped()
            self._owner.dealer_ready(self)
        elif event & _END_EVENTS:
            was_ready = self.state is DealerState.READY
            self.close()
            self._owner.dealer_ended(self, was_ready)


def open_socket(context: zmq.Context, kind: int) -> zmq.Socket:
    """Return a socket with bounded queues that never lingers."""
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
    return socket
