"""Transport over ZeroMQ: a ROUTER socket receives, DEALER sockets send."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress

import zmq

from papayapost.errors import AddressUnavailable
from papayapost.ids import Address
from papayapost_node.batch import InputBatching
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.frames import MAX_FRAME_BYTES
from papayapost_node.security.key_ring import KeyRing
from papayapost_node.security.keys import PublicKey
from papayapost_node.security.zap_handler import ZapHandler
from papayapost_node.transport.admission import PeerAdmission, PeerLimits
from papayapost_node.transport.base import DroppedCallback, FrameListener, PeerTransport
from papayapost_node.transport.dealer import Dealer, DealerListener, open_socket
from papayapost_node.transport.peers import PeerRow, PeerTable

__all__ = ["MAX_DEALERS", "ZmqTransport"]

MAX_DEALERS = 256
# Each connection needs three sockets: the DEALER and both ends of its monitor.
# ZeroMQ frees closed sockets in another thread, after new ones were opened.
_MAX_SOCKETS = 16 * MAX_DEALERS
_IDLE_TIMEOUT_S = 60.0
_RECEIVE_QUEUE_FRAMES = 16
"""Frames of one connection that ZeroMQ reads ahead. Twenty peers that sent
frames of 262 KB filled 349 MB with 1,000 of them; bursts of 50 small frames
take as long as with 1,000."""

_MAX_FRAMES_PER_READ = 256
_MAX_BYTES_PER_READ = 16 << 20
"""Bytes of frames after which other connections have their turn."""
_LAST_CONNECTIONS_WAIT_S = 0.5
_REBIND_DELAY_S = 0.02
_REBIND_ATTEMPTS = 100


class ZmqTransport(PeerTransport, DealerListener):
    """Sends frames over TCP, with CURVE if there is a key ring.

    Parameters
    ----------
    address
        Address on which the node accepts connections of other nodes.
    peers
        Counters of the sent and received frames.
    key_ring
        Keys of this node and of its peers; None disables encryption and
        authentication.
    max_frame_bytes
        Size limit of a received frame.
    limits
        Limits on the connections of peers.
    on_refused
        Called for each connection that was closed because of them.
    """

    def __init__(
        self,
        address: Address,
        peers: PeerTable,
        key_ring: KeyRing | None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        limits: PeerLimits | None = None,
        on_refused: Callable[[], None] = lambda: None,
    ):
        self._limits = limits or PeerLimits()
        self._on_refused = on_refused
        self._admission: PeerAdmission | None = None
        self._address = address
        self._max_frame_bytes = max_frame_bytes
        self._peers = peers
        self._key_ring = key_ring
        self._context = zmq.Context(io_threads=1)
        self._context.max_sockets = _MAX_SOCKETS
        self._dealers: OrderedDict[Address, Dealer] = OrderedDict()
        self._rows: dict[Address, PeerRow] = {}
        self._last_used_s: dict[Address, float] = {}
        self._router: zmq.Socket | None = None
        self._zap_handler: ZapHandler | None = None
        self._dealer_changed = asyncio.Event()
        self._is_closed = False
        self._is_terminating = False

    @property
    def connection_count(self) -> int:
        """Number of connections that this node has opened to its peers."""
        return len(self._dealers)

    def start(self, listener: FrameListener, batch: InputBatching) -> None:
        """Start to accept connections of peers."""
        self._listener = listener
        self._batch = batch
        self._loop = asyncio.get_running_loop()
        self._idle_check = DeadlineTimer(self._loop, self._close_idle_dealers)
        if self._key_ring is not None:
            self._zap_handler = ZapHandler(
                self._context, self._key_ring, listener.unknown_key_refused
            )
            self._zap_handler.start()
        self._router = open_socket(self._context, zmq.ROUTER, self._max_frame_bytes)
        self._router.setsockopt(zmq.RCVHWM, _RECEIVE_QUEUE_FRAMES)
        self._set_server_keys()
        self._admission = PeerAdmission(
            self._router, self._address, self._limits, self._on_refused
        )
        try:
            self._router.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            self.close()
            raise AddressUnavailable("peer_address", self._address, error) from error
        self._loop.add_reader(self._router.fileno(), self._receive)
        self._loop.call_soon(self._receive)

    def send(
        self, address: Address, frame: bytes, on_dropped: DroppedCallback | None = None
    ) -> bool:
        """Send a frame to a peer; it is delivered at most once."""
        dealer = self._dealers.get(address)
        if self._is_closed:
            # The context would wait for the end of a new connection.
            self._peers.row_for_connection(address).dropped_frames += 1
            return False
        if dealer is None:
            try:
                dealer = self._connect(address)
            except zmq.ZMQError:
                # No socket or descriptor is left; the frame is not sent.
                self._peers.row_for_connection(address).dropped_frames += 1
                return False
        else:
            self._dealers.move_to_end(address)
        self._last_used_s[address] = self._loop.time()
        row = self._rows[address]
        if not dealer.send(frame, on_dropped):
            row.dropped_frames += 1
            return False
        self._peers.count_sent(row, len(frame))
        return True

    def apply_own_keys(self) -> None:
        """Accept connections with the key pair that the key ring now holds.

        Peers lose their connections to this node and open new ones. The
        connections that this node has opened to its peers stay open.
        """
        if self._router is not None and self._key_ring is not None:
            self._router.unbind(f"tcp://{self._address}")
            self._set_server_keys()
            self._rebind(_REBIND_ATTEMPTS)

    async def finish_sending(self, timeout_s: float) -> None:
        """Send all queued frames, for a limited time, and close."""
        due_s = self._loop.time() + timeout_s
        with suppress(TimeoutError):
            # A frame that waits for a connection is most likely for a peer
            # that is down, which must not delay the exit for long.
            async with asyncio.timeout(min(timeout_s, _LAST_CONNECTIONS_WAIT_S)):
                while any(dealer.unsent_frames for dealer in self._dealers.values()):
                    self._dealer_changed.clear()
                    await self._dealer_changed.wait()
        self._close_sockets(round(max(0.0, due_s - self._loop.time()) * 1000))
        # Waits until ZeroMQ has written the frames, in a thread of its own.
        self._is_terminating = True
        await self._loop.run_in_executor(None, self._context.term)

    def close(self) -> None:
        """Drop all queued frames and close all connections."""
        self._close_sockets(linger_ms=0)
        # ZeroMQ aborts the process if two threads end the same context.
        if not self._is_terminating:
            self._context.destroy(0)

    def dealer_ready(self, dealer: Dealer) -> None:
        """Record that the peer has proved that it holds the expected key."""
        self._dealer_changed.set()
        if self._key_ring is not None and dealer.peer_key is not None:
            self._key_ring.record_verified_key(dealer.address, dealer.peer_key)

    def dealer_ended(self, dealer: Dealer, was_ready: bool) -> None:
        """Report a lost connection, or retry a failed one with another key.

        If no other key of the peer is left to try, the queued frames are
        dropped.
        """
        self._dealer_changed.set()
        address = dealer.address
        if self._dealers.get(address) is dealer:
            self._remove_dealer(address)
        if was_ready:
            self._listener.peer_lost(address)
            return
        retry = self._retry_with_other_key(dealer)
        if retry is None:
            for _, on_dropped in dealer.unsent_frames:
                if on_dropped is not None:
                    on_dropped()

    def _close_sockets(self, linger_ms: int) -> None:
        self._is_closed = True
        for dealer in self._dealers.values():
            dealer.close(linger_ms)
        self._dealers.clear()
        if self._router is not None:
            self._loop.remove_reader(self._router.fileno())
            if self._admission is not None:
                self._admission.close()
            self._router.close(0)
            self._router = None
            self._idle_check.close()
        if self._zap_handler is not None:
            self._zap_handler.close()
            self._zap_handler = None

    def _connect(self, address: Address) -> Dealer:
        if len(self._dealers) >= MAX_DEALERS:
            # The first entry of the dict is the least recently used one.
            self._close_dealer(next(iter(self._dealers)))
        key = self._key_ring.first_key_of(address) if self._key_ring else None
        return self._open(address, key)

    def _open(self, address: Address, key: PublicKey | None) -> Dealer:
        own_keys = self._key_ring.own if self._key_ring else None
        dealer = Dealer(
            self._context, address, self, own_keys, key, self._max_frame_bytes
        )
        self._dealers[address] = dealer
        self._rows[address] = self._peers.row_for_connection(address)
        self._idle_check.set_in(_IDLE_TIMEOUT_S)
        return dealer

    def _retry_with_other_key(self, dealer: Dealer) -> Dealer | None:
        if self._key_ring is None or dealer.peer_key is None or self._router is None:
            return None
        key = self._key_ring.next_key(dealer.address, dealer.peer_key)
        if key is None or dealer.address in self._dealers:
            return None
        retry = self._open(dealer.address, key)
        self._last_used_s[dealer.address] = self._loop.time()
        retry.unsent_frames = dealer.unsent_frames
        return retry

    def _close_idle_dealers(self) -> None:
        now_s = self._loop.time()
        while self._dealers:
            address = next(iter(self._dealers))
            idle_s = now_s - self._last_used_s[address]
            if idle_s < _IDLE_TIMEOUT_S:
                self._idle_check.set_in(_IDLE_TIMEOUT_S - idle_s)
                return
            self._close_dealer(address)

    def _close_dealer(self, address: Address) -> None:
        dealer = self._dealers[address]
        self._remove_dealer(address)
        dealer.close()
        for _, on_dropped in dealer.unsent_frames:
            if on_dropped is not None:
                on_dropped()

    def _remove_dealer(self, address: Address) -> None:
        del self._dealers[address]
        del self._rows[address]
        del self._last_used_s[address]

    def _set_server_keys(self) -> None:
        if self._key_ring is not None and self._router is not None:
            self._router.curve_server = True
            self._router.curve_secretkey = self._key_ring.own.secret_key.encode()
            self._router.curve_publickey = self._key_ring.own.public_key.encode()

    def _rebind(self, attempts: int) -> None:
        # ZeroMQ closes the old listening socket in another thread, so the
        # address may still be in use for a short time.
        if self._router is None:
            return
        try:
            self._router.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            if not attempts:
                raise AddressUnavailable(
                    "peer_address", self._address, error
                ) from error
            self._loop.call_later(_REBIND_DELAY_S, self._rebind, attempts - 1)

    def _receive(self) -> None:
        # The file descriptor is edge-triggered: it signals only a change. All
        # available frames must therefore be read, either now or in the next
        # iteration of the event loop.
        router = self._router
        if router is None:
            return
        self._batch.begin()
        try:
            if self._receive_available(router):
                self._loop.call_soon(self._receive)
        finally:
            self._batch.end()

    def _receive_available(self, router: zmq.Socket) -> bool:
        """Handle the available frames; return whether there may be more."""
        end_bytes = self._peers.received_bytes + _MAX_BYTES_PER_READ
        for _ in range(_MAX_FRAMES_PER_READ):
            if self._peers.received_bytes >= end_bytes:
                break
            try:
                parts = router.recv_multipart(zmq.NOBLOCK, copy=self._key_ring is None)
            except zmq.Again:
                return False
            self._handle_parts(parts)
        return True

    def _handle_parts(self, parts: list) -> None:
        last = parts[-1]
        if self._key_ring is None:
            frame, key = last, None
        else:
            frame, key = last.bytes, PublicKey(last.get("User-Id"))
        self._peers.count_received(len(frame))
        self._listener.frame_arrived(frame, key)
