"""The transport by pyzmq."""

import asyncio

import zmq

from papayapost.ids import Address
from papayapost_node.batch import Batch
from papayapost_node.transport.base import FrameHandler, PeerTransport

__all__ = ["ZmqTransport"]

_MAX_QUEUED_FRAMES = 1_000
_MAX_FRAME_BYTES = 4 << 20


class ZmqTransport(PeerTransport):
    """A ROUTER for what comes in and a DEALER for each peer.

    Parameters
    ----------
    address
        Where other nodes reach this one.
    """

    def __init__(self, address: Address):
        self._address = address
        self._context = zmq.Context(io_threads=1)
        self._dealers: dict[Address, zmq.Socket] = {}
        self._router: zmq.Socket | None = None

    def start(self, on_frame: FrameHandler, batch: Batch) -> None:
        """Listen for peers."""
        self._on_frame = on_frame
        self._batch = batch
        self._loop = asyncio.get_running_loop()
        self._router = self._open(zmq.ROUTER)
        self._router.bind(f"tcp://{self._address}")
        self._loop.add_reader(self._router.fileno(), self._receive)
        self._loop.call_soon(self._receive)

    def send(self, address: Address, frame: bytes) -> bool:
        """Hand a frame over for delivery, at most once."""
        dealer = self._dealers.get(address)
        if dealer is None:
            dealer = self._dealers[address] = self._open(zmq.DEALER)
            dealer.connect(f"tcp://{address}")
        try:
            dealer.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Drop what is queued and close."""
        if self._router is not None:
            self._loop.remove_reader(self._router.fileno())
            self._router.close(0)
        for dealer in self._dealers.values():
            dealer.close(0)
        self._context.term()

    def _open(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _MAX_QUEUED_FRAMES)
        socket.setsockopt(zmq.RCVHWM, _MAX_QUEUED_FRAMES)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
        return socket

    def _receive(self) -> None:
        # The descriptor is edge-triggered: it reports only a change, so all
        # that waits must be read before the loop sleeps again.
        router = self._router
        if router is None or router.closed:
            return
        self._batch.begin()
        try:
            while True:
                parts = router.recv_multipart(zmq.NOBLOCK)
                self._on_frame(parts[-1])
        except zmq.Again:
            self._batch.end()
