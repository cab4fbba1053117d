"""HTTP server that streams requests and limits its connections."""

import asyncio
import socket

from papayapost.errors import AddressUnavailable
from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.batch import InputBatching, NoBatching
from papayapost_node.http.connection_host import (
    ConnectionHost,
    HostedConnection,
    SharedLimits,
)
from papayapost_node.http.exchange import RequestHandler
from papayapost_node.http.limit_counts import HttpLimit
from papayapost_node.http.limits import FixedLimits, HttpLimits, LimitsSource
from papayapost_node.http.server_connection import ServerConnection

__all__ = ["StreamingServer"]

_BACKLOG = 1_024
_MAX_ACCEPTS = 64
"""Largest number of connections accepted before others are read."""

_ACCEPT_RETRY_S = 1.0
"""Pause after a failed accept, which most likely lacked a descriptor."""

_READ_BUFFER_BYTES = 64 << 10


class StreamingServer(ConnectionHost):
    """Accepts connections and passes requests to a handler piece by piece.

    Parameters
    ----------
    batch
        Collects the messages that result from one read, so that one tick
        handles them.
    setting
        Name of the setting that holds the address, for error messages.
    shared
        Bounds that all servers of the process share.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        limits: HttpLimits | LimitsSource | None = None,
        batch: InputBatching | None = None,
        setting: str = "address",
        shared: SharedLimits | None = None,
    ):
        self._address = address
        self._setting = setting
        self.handler = handler
        self._limits_source: LimitsSource = (
            limits
            if isinstance(limits, LimitsSource)
            else FixedLimits(limits or HttpLimits())
        )
        self.batch = batch or NoBatching()
        self.shared = shared or SharedLimits()
        # One buffer is enough for all connections: the event loop reads them
        # one after the other, and each copies the data before the next read.
        self.read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self.is_draining = False
        self._connections: dict[HostedConnection, None] = {}
        self._all_closed = asyncio.Event()
        self._listening: socket.socket | None = None
        self._accepting: set[asyncio.Task] = set()
        self._is_closing_idle = False

    @property
    def limits(self) -> HttpLimits:
        """Limits of the connections that are opened now."""
        return self._limits_source.current()

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits_source = FixedLimits(limits)

    async def start(self) -> None:
        """Listen at the address.

        Raises
        ------
        AddressUnavailable
            If the address is in use or not an address of this machine.
        """
        ip, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        try:
            listening = socket.create_server(
                (ip, port), family=family, backlog=_BACKLOG
            )
        except OSError as error:
            reason = error.strerror or error
            raise AddressUnavailable(self._setting, self._address, reason) from error
        listening.setblocking(False)
        self._listening = listening
        self._watch_listening()

    def admit(self, connection: HostedConnection) -> bool:
        """Add a new connection; return False if idle ones are closed."""
        if self._is_closing_idle:
            return False
        self._connections[connection] = None
        return True

    def limit_met(self, limit: HttpLimit) -> None:
        """Record that a caller met a limit."""
        self.shared.counts.note(self._setting.removesuffix("_address"), limit)

    def remove(self, connection: HostedConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)
        if not (self._connections or self._accepting):
            self._all_closed.set()

    async def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait until no connection is open; return False on a timeout."""
        self._all_closed.clear()
        if not (self._connections or self._accepting):
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._all_closed.wait()
        except TimeoutError:
            return False
        return True

    def stop_accepting(self) -> None:
        """Stop accepting new connections; open ones stay.

        The connections that callers have opened until now are accepted first.
        """
        for _ in range(_BACKLOG // _MAX_ACCEPTS + 1):
            if not self._accept_waiting():
                break
        self._stop_listening()

    def drain(self) -> None:
        """Close each connection after its answer, and idle ones after 2 s."""
        self.is_draining = True
        for connection in list(self._connections):
            connection.drain()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun.

        Those that are still being accepted are closed as soon as they are.
        """
        self._is_closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections at once."""
        self._stop_listening()
        for task in self._accepting:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def _watch_listening(self) -> None:
        if self._listening is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listening.fileno(), self._accept_waiting)

    def _stop_listening(self) -> None:
        listening, self._listening = self._listening, None
        if listening is not None:
            asyncio.get_running_loop().remove_reader(listening.fileno())
            listening.close()

    def _accept_waiting(self) -> bool:
        """Accept connections; return whether there may be more of them."""
        loop, listening = asyncio.get_running_loop(), self._listening
        if listening is None:
            return False
        for _ in range(_MAX_ACCEPTS):
            try:
                accepted, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError:
                loop.remove_reader(listening.fileno())
                loop.call_later(_ACCEPT_RETRY_S, self._watch_listening)
                return False
            if self._is_full() and not self._make_room():
                accepted.close()
                continue
            accepted.setblocking(False)
            task = loop.create_task(self._open(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._end_accepting)
        return True

    def _is_full(self) -> bool:
        open_connections = len(self._connections) + len(self._accepting)
        return open_connections >= self.limits.connections

    def _make_room(self) -> bool:
        """Close an idle connection above the limit, if that is allowed."""
        self.limit_met(HttpLimit.CONNECTIONS)
        if not self.limits.evicts_idle:
            return False
        for connection in self._connections:
            if connection.evict():
                del self._connections[connection]
                return True
        return False

    async def _open(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ServerConnection(self), accepted)
        except OSError:
            # The caller has closed the connection already.
            accepted.close()

    def _end_accepting(self, task: asyncio.Task) -> None:
        self._accepting.discard(task)
        if not (self._connections or self._accepting):
            self._all_closed.set()
