"""Reusable HTTP connections to the store."""

import asyncio
from collections.abc import Callable

import h11

from papayapost.errors import StoreUnavailable
from papayapost.ids import Address
from papayapost_node.http import ClientConnection, Headers, HttpAnswer, HttpRequest

__all__ = ["StoreConnections"]

_MAX_IDLE_CONNECTIONS = 4

_MAX_ANSWER_TIMEOUTS = 10
"""Longest time for an answer whose bytes keep arriving, in multiples of the
time-out. On a link of 3.5 Mbit/s, 3 MB take that long with 700 ms."""

_MAX_BODY_BYTES = 16 << 20
"""Largest answer that is read; a page of a list of the store is about 1 MB."""


class StoreConnections:
    """Sends requests to the store, each with a time-out.

    Parameters
    ----------
    address
        Address of the store.
    timeout_s
        Time within which the store must begin to answer a request, and
        longest time without further bytes of its answer. A watch adds the
        time for which it asks the store to hold the answer.
    """

    def __init__(self, address: Address, timeout_s: float):
        self._address = address
        self._timeout_s = timeout_s
        self._idle: list[ClientConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        wait_s: float = 0,
        on_bytes: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        """Send a request and return the answer, whatever its status.

        Parameters
        ----------
        wait_s
            Time for which the request allows the store to hold its answer;
            the time-out grows by it.
        on_bytes
            Called for each part of the answer that arrives.

        Raises
        ------
        StoreUnavailable
            If no complete answer arrives in time. An update may have taken
            effect.
        """
        base = [
            (b"host", self._address.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        request = HttpRequest(method, target, base + headers, body)
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + wait_s + self._timeout_s * _MAX_ANSWER_TIMEOUTS
        try:
            async with asyncio.timeout(self._timeout_s + wait_s) as limit:

                def on_read() -> None:
                    limit.reschedule(min(latest_s, loop.time() + self._timeout_s))
                    if on_bytes is not None:
                        on_bytes()

                answer = await self._exchange(request, on_read)
        except (OSError, h11.RemoteProtocolError) as error:
            reason = str(error) or "the request timed out"
            raise StoreUnavailable(
                f"no answer from the store at {self._address}: {reason}; check that "
                "it runs and is reachable"
            ) from error
        if not answer.is_whole:
            raise self.unusable_answer_error(answer)
        return answer

    def unusable_answer_error(self, answer: HttpAnswer) -> StoreUnavailable:
        """Return the error for an incomplete answer or unexpected status."""
        suffix = "" if answer.is_whole else " and broke off"
        return StoreUnavailable(
            f"the store at {self._address} answered {answer.status}{suffix}; try later"
        )

    def close(self) -> None:
        """Close the idle connections to the store."""
        while self._idle:
            self._idle.pop().close()

    async def _exchange(
        self, request: HttpRequest, on_read: Callable[[], None]
    ) -> HttpAnswer:
        """Send the request on an idle connection, or on a new one.

        The store may have closed an idle connection in the meantime. A read
        is then repeated on a new connection. An update is not repeated,
        because it may have taken effect.
        """
        idle = self._pop_idle()
        if idle is not None:
            try:
                return await self._send_on(idle, request, on_read)
            except (ConnectionError, h11.RemoteProtocolError):
                if request.method != "GET":
                    raise
        opened = await ClientConnection.open(self._address)
        return await self._send_on(opened, request, on_read)

    async def _send_on(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        on_read: Callable[[], None],
    ) -> HttpAnswer:
        try:
            answer = await connection.call(request, _MAX_BODY_BYTES, on_read)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable and len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _pop_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None
