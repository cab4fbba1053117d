"""A loopback proxy that disturbs the connections through it."""

import asyncio
import socket
import struct
from contextlib import suppress

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_testing.soak.rows import LinkMode

__all__ = ["Proxy"]

_READ_BYTES = 65_536
_HELD_REQUESTS = frozenset([LinkMode.HOLD_REQUESTS, LinkMode.SILENT])
_HELD_ANSWERS = frozenset([LinkMode.HOLD_ANSWERS, LinkMode.SILENT])


class Proxy:
    """Passes connections on to an address, as its mode says.

    Bytes that a mode holds back are passed on when it ends, as after a
    partition, and a reset breaks the connections off on both sides.

    Parameters
    ----------
    address, target
        Address on which it listens and to which it connects.

    Attributes
    ----------
    reached
        Addresses of the clients whose connections the target has taken.
    """

    def __init__(self, address: Address, target: Address):
        self._address = address
        self._target = target
        self._mode = LinkMode.PASS
        self._delay_s = 0.0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.reached: set[tuple[str, int]] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._connect, *split_address(self._address)
        )

    async def close(self) -> None:
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def set_mode(self, mode: LinkMode, delay_ms: int = 0) -> None:
        """Treat all connections in this way from now on."""
        self._mode, self._delay_s = mode, delay_ms / 1000
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is LinkMode.RESET:
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _connect(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        target_writer = None
        try:
            if self._mode is LinkMode.RESET:
                raise ConnectionResetError
            target = split_address(self._target)
            target_reader, target_writer = await asyncio.open_connection(*target)
            self._writers.add(target_writer)
            self.reached.add(writer.get_extra_info("peername"))
            await asyncio.gather(
                self._pass_on(reader, target_writer, _HELD_REQUESTS),
                self._pass_on(target_reader, writer, _HELD_ANSWERS),
            )
        except (OSError, asyncio.CancelledError):
            for item in (writer, target_writer):
                if item is not None:
                    _reset(item)
        finally:
            for item in (writer, target_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.close()
            self._tasks.discard(task)

    async def _pass_on(self, reader, writer, held: frozenset[LinkMode]) -> None:
        while data := await reader.read(_READ_BYTES):
            await self._hold(held)
            writer.write(data)
            await writer.drain()
        await self._hold(held)
        with suppress(OSError):
            writer.write_eof()

    async def _hold(self, held: frozenset[LinkMode]) -> None:
        if self._mode is LinkMode.DELAY:
            await asyncio.sleep(self._delay_s)
        while self._mode in held:
            await self._changed.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer sees a reset and not an end."""
    own_socket = writer.get_extra_info("socket")
    with suppress(OSError):
        own_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
