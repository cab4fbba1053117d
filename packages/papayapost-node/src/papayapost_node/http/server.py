"""HTTP server that streams requests and limits its connections."""

import asyncio

from papayapost.errors import AddressUnavailable
from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.batch import InputBatching, NoBatching
from papayapost_node.http.exchange import RequestHandler
from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.server_connection import ServerConnection

__all__ = ["StreamingServer"]

_BACKLOG = 1_024
_READ_BUFFER_BYTES = 64 << 10


class StreamingServer:
    """Accepts connections and passes requests to a handler piece by piece.

    Parameters
    ----------
    batch
        Collects the messages that result from one read, so that one tick
        handles them.
    setting
        Name of the setting that holds the address, for error messages.

    Attributes
    ----------
    is_draining
        Whether the server is draining: each connection is closed after its
        current answer.
    read_buffer
        Buffer that the event loop reads into, shared by all connections.
    refused_connections
        Number of connections that were closed at once because of the limit.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        limits: HttpLimits | None = None,
        batch: InputBatching | None = None,
        setting: str = "address",
    ):
        self._address = address
        self._setting = setting
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.batch = batch or NoBatching()
        # One buffer is enough for all connections: the event loop reads them
        # one after the other, and each copies the data before the next read.
        self.read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self.is_draining = False
        self.refused_connections = 0
        self._connections: set[ServerConnection] = set()
        self._all_closed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the address.

        Raises
        ------
        AddressUnavailable
            If the address is in use or not an address of this machine.
        """
        ip, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: ServerConnection(self), ip, port, backlog=_BACKLOG
            )
        except OSError as error:
            reason = error.strerror or error
            raise AddressUnavailable(self._setting, self._address, reason) from error

    def admit(self, connection: ServerConnection) -> bool:
        """Add a new connection; return False if the limit is reached."""
        if len(self._connections) >= self.limits.connections:
            self.refused_connections += 1
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()

    async def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no connection is open; return False on a timeout."""
        self._all_closed.clear()
        if not self._connections:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._all_closed.wait()
        except TimeoutError:
            return False
        return True

    def stop_accepting(self) -> None:
        """Stop accepting new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def drain(self) -> None:
        """Close each connection after its answer, and idle ones after 2 s."""
        self.is_draining = True
        for connection in list(self._connections):
            connection.drain()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
