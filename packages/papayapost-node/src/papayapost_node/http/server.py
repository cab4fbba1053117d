"""An HTTP server by h11 that hands over whole requests."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.http.connection import HttpAnswer, HttpRequest

__all__ = ["HttpServer", "ServerCall"]

_MAX_BODY_BYTES = 1 << 20
_MAX_HEAD_BYTES = 16 << 10


@dataclass(slots=True)
class ServerCall:
    """One request on its connection, answered once."""

    request: HttpRequest
    connection: "_ServerConnection"

    def answer(self, answer: HttpAnswer) -> None:
        """Send the answer, or nothing if the caller has gone."""
        self.connection.answer(answer)


RequestHandler = Callable[[ServerCall], None]
GoneHandler = Callable[[ServerCall], None]


class HttpServer:
    """Accepts connections at an address.

    Parameters
    ----------
    on_request
        Called with each whole request; it answers now or later.
    on_gone
        Called when a caller closes before its answer.
    """

    def __init__(
        self,
        address: Address,
        on_request: RequestHandler,
        on_gone: GoneHandler | None = None,
    ):
        self._address = address
        self.on_request = on_request
        self.on_gone = on_gone
        self.connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address is in use or not this machine's.
        """
        ip, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), ip, port
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: HttpServer):
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._current: ServerCall | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, error) -> None:
        self._transport = None
        self._server.connections.discard(self)
        if self._current is not None and self._server.on_gone is not None:
            self._server.on_gone(self._current)

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        self._read_events()

    def answer(self, answer: HttpAnswer) -> None:
        self._current = None
        if self._transport is None:
            return
        headers = [h for h in answer.headers if h[0] not in _FRAMING]
        headers.append((b"content-length", b"%d" % len(answer.body)))
        head = h11.Response(status_code=answer.status, headers=headers)
        parts = [self._http.send(head)]
        if answer.body:
            parts.append(self._http.send(h11.Data(data=answer.body)))
        if not answer.is_whole:
            self._transport.write(b"".join(p for p in parts if p))
            self.close()
            return
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(p for p in parts if p))
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
            self._read_events()
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _read_events(self) -> None:
        try:
            while self._current is None and self._handle(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _handle(self, event) -> bool:
        if isinstance(event, h11.Request):
            self._head = event
            self._body.clear()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > _MAX_BODY_BYTES:
                self._refuse(413)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        else:
            return False
        return True

    def _dispatch(self) -> None:
        head = self._head
        if head is None:
            return
        request = HttpRequest(
            head.method.decode(),
            head.target.decode(),
            list(head.headers),
            bytes(self._body),
        )
        self._current = ServerCall(request, self)
        self._server.on_request(self._current)

    def _refuse(self, status: int) -> None:
        if self._transport is None:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(
                status_code=status,
                headers=[(b"content-length", b"0"), (b"connection", b"close")],
            )
            self._transport.write(self._http.send(head) or b"")
        self.close()


_FRAMING = frozenset([b"content-length", b"transfer-encoding", b"connection"])
