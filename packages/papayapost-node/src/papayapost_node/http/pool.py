"""A bounded pool of connections to the backend server."""

import asyncio
from collections.abc import Callable

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.batch import InputBatching
from papayapost_node.http.backend import BackendConnection

__all__ = ["BackendPool"]

_IDLE_TIMEOUT_S = 4.0
_READ_BUFFER_BYTES = 64 << 10

ConnectionReady = Callable[[BackendConnection | None], None]
IsSuitable = Callable[[BackendConnection], bool]


class BackendPool:
    """Opens connections to the backend server and reuses idle ones.

    Parameters
    ----------
    address
        Address of the backend server, or None on a VM without one.
    max_connections
        Largest number of connections that are open or being opened.
    batch
        Collects the messages that result from one read, so that one tick
        handles them.

    Attributes
    ----------
    opened
        Number of connections opened so far.
    """

    def __init__(
        self, address: Address | None, max_connections: int, batch: InputBatching
    ):
        self._address = address
        self._max_connections = max_connections
        self._batch = batch
        self._read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._opening: set[asyncio.Task] = set()
        self.opened = 0

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._open)

    def acquire(
        self, on_ready: ConnectionReady, is_suitable: IsSuitable = lambda idle: True
    ) -> None:
        """Pass a connection to `on_ready`: an idle one at once, or a new one.

        Parameters
        ----------
        on_ready
            Called with the connection. Called with None if the pool is full
            or the backend server cannot be reached.
        is_suitable
            Whether an idle connection may be used.
        """
        for connection in reversed(self._idle):
            if connection.is_open and is_suitable(connection):
                self._idle.remove(connection)
                on_ready(connection)
                return
        if self._address is None or self._connection_count() >= self._max_connections:
            on_ready(None)
            return
        task = asyncio.get_running_loop().create_task(self._connect(on_ready))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def close(self) -> None:
        """Close every connection at once."""
        for task in self._opening:
            task.cancel()
        for connection in list(self._open):
            connection.cancel()

    def _connection_count(self) -> int:
        return len(self._open) + len(self._opening)

    async def _connect(self, on_ready: ConnectionReady) -> None:
        assert self._address is not None
        ip, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: BackendConnection(
                    self._on_free, self._batch, self._read_buffer
                ),
                ip,
                port,
            )
        except OSError:
            on_ready(None)
            return
        self.opened += 1
        self._open.add(connection)
        on_ready(connection)

    def _on_free(self, connection: BackendConnection) -> None:
        if connection.is_open:
            # The pool closes idle connections after a short time. If the
            # backend server's own idle timeout is longer, it does not close
            # a connection at the moment when a request is sent on it.
            connection.close_after(_IDLE_TIMEOUT_S)
            self._idle.append(connection)
            return
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
