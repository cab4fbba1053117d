"""Listens for callers and bounds their connections."""

import asyncio

from papayapost.errors import AddressUnavailable
from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.batch import Batch, NoBatch
from papayapost_node.http.exchange import RequestHandler
from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.server_connection import ServerConnection

__all__ = ["StreamingServer"]

_BACKLOG = 1_024
_READ_BUFFER_BYTES = 64 << 10


class StreamingServer:
    """Accepts connections at an address and hands over requests in pieces.

    Parameters
    ----------
    batch
        Told around all that a connection reads at once.
    setting
        Key of the settings that the address comes from.

    Attributes
    ----------
    is_draining
        Whether each connection is closed after its current answer.
    read_buffer
        Shared by the connections, for the time of one read.
    refused_connections
        Connections closed on arrival because there were too many.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        limits: HttpLimits | None = None,
        batch: Batch | None = None,
        setting: str = "address",
    ):
        self._address = address
        self._setting = setting
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.batch = batch or NoBatch()
        # The loop reads one connection after the other, and each copies what
        # it keeps.
        self.read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self.is_draining = False
        self.refused_connections = 0
        self._connections: set[ServerConnection] = set()
        self._empty = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        AddressUnavailable
            If the address is in use or not this machine's.
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
        """Count a new connection, or say that there are too many."""
        if len(self._connections) >= self.limits.connections:
            self.refused_connections += 1
            return False
        self._connections.add(connection)
        return True

    def forget(self, connection: ServerConnection) -> None:
        """Note that a connection is over."""
        self._connections.discard(connection)
        if not self._connections:
            self._empty.set()

    async def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no connection is open; False if time is over first."""
        self._empty.clear()
        if not self._connections:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._empty.wait()
        except TimeoutError:
            return False
        return True

    def stop_accepting(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def drain(self) -> None:
        """Close each connection after its answer, and idle ones soon."""
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
