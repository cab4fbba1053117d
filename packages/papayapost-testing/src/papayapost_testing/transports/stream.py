"""A transport of length-prefixed frames over TCP connections of asyncio.

It neither encrypts nor authenticates. The transport benchmark uses it as a
baseline for the cost of the node's own transport.
"""

import asyncio
import struct

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.batch import InputBatching
from papayapost_node.transport import DroppedCallback, FrameListener, PeerTransport

__all__ = ["StreamTransport"]

_LENGTH = struct.Struct(">I")
_READ_BYTES = 64 << 10


class _Receiver(asyncio.BufferedProtocol):
    def __init__(
        self, listener: FrameListener, batch: InputBatching, buffer: memoryview
    ):
        self._listener = listener
        self._batch = batch
        self._buffer = buffer
        self._received = bytearray()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        received = self._received
        received += self._buffer[:nbytes]
        start = 0
        self._batch.begin()
        while len(received) >= start + _LENGTH.size:
            (length,) = _LENGTH.unpack_from(received, start)
            end = start + _LENGTH.size + length
            if len(received) < end:
                break
            frame = bytes(received[start + _LENGTH.size : end])
            self._listener.frame_arrived(frame, None)
            start = end
        del received[:start]
        self._batch.end()


class _Sender(asyncio.Protocol):
    def __init__(self, address: Address, listener: FrameListener):
        self._address = address
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._frames: list[bytes] = []
        self._is_flush_due = False

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._flush()

    def connection_lost(self, error) -> None:
        if self._transport is not None:
            self._transport = None
            self._listener.peer_lost(self._address)

    def send(self, frame: bytes) -> None:
        # Frames that are sent in one iteration of the event loop share one
        # write to the socket.
        self._frames += (_LENGTH.pack(len(frame)), frame)
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self._transport is not None and self._frames:
            frames, self._frames = self._frames, []
            self._transport.write(b"".join(frames))

    def close(self) -> None:
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()


class StreamTransport(PeerTransport):
    """A transport that opens one connection to each peer for sending.

    Frames from a peer arrive on the connection that the peer has opened.

    Parameters
    ----------
    address
        Own address, on which the transport listens.
    """

    def __init__(self, address: Address):
        self._address = address
        self._senders: dict[Address, _Sender] = {}
        self._tasks: set[asyncio.Task] = set()
        self._buffer = memoryview(bytearray(_READ_BYTES))
        self._server: asyncio.Server | None = None

    def start(self, listener: FrameListener, batch: InputBatching) -> None:
        """Begin to listen for peers at the event loop's next iteration."""
        self._listener = listener
        self._batch = batch
        self._start_task(self._listen())

    def send(
        self, address: Address, frame: bytes, on_dropped: DroppedCallback | None = None
    ) -> bool:
        """Queue a frame for delivery; return True always."""
        sender = self._senders.get(address)
        if sender is None:
            sender = self._senders[address] = _Sender(address, self._listener)
            self._start_task(self._connect(address, sender))
        sender.send(frame)
        return True

    def close(self) -> None:
        """Close the server and all connections; queued frames are dropped."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for sender in self._senders.values():
            sender.close()

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _listen(self) -> None:
        ip, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Receiver(self._listener, self._batch, self._buffer), ip, port
        )

    async def _connect(self, address: Address, sender: _Sender) -> None:
        ip, port = split_address(address)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: sender, ip, port)
