"""HTTP server that reads whole requests before they are handled."""

from collections.abc import Callable
from dataclasses import replace

from papayapost.define import define
from papayapost.ids import Address
from papayapost_node.http.connection_host import SharedLimits
from papayapost_node.http.exchange import (
    AnswerChannel,
    RequestHandler,
    ServerExchange,
)
from papayapost_node.http.headers import forwardable
from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.messages import Headers, HttpAnswer, HttpRequest
from papayapost_node.http.server import StreamingServer

__all__ = ["ServerCall", "WholeRequestServer"]

_MAX_BODY_BYTES = 2 << 20
"""Largest body of a request; a larger one is answered with status 413."""


@define(eq=False)
class ServerCall:
    """A whole request, which its handler answers once."""

    request: HttpRequest
    exchange: ServerExchange

    @property
    def connection(self) -> AnswerChannel:
        """The connection on which the request arrived."""
        return self.exchange.connection

    def answer(self, answer: HttpAnswer) -> None:
        """Send the answer, unless the caller has closed the connection.

        An answer whose `is_whole` is False is sent with a Content-Length one
        byte too large and then ended, so that the caller sees it as
        incomplete.
        """
        headers = [h for h in forwardable(answer.headers) if h[0] != b"content-length"]
        length = len(answer.body) if answer.is_whole else len(answer.body) + 1
        headers.append((b"content-length", b"%d" % length))
        self.exchange.begin(answer.status, headers, answer.body, answer.is_whole)
        if not answer.is_whole:
            self.exchange.cut_short()


class WholeRequestServer(RequestHandler):
    """Accepts connections and passes whole requests to a function.

    Parameters
    ----------
    on_request
        Called with each whole request; it may answer at once or later.
    on_gone
        Called when a caller closes the connection before it has the answer.
    limits
        Limits of the connections; bodies above 2 MB are refused anyhow.
    setting
        Name of the setting that holds the address, for error messages.
    shared
        Bounds that all servers of the process share.
    request_units
        Processor time of a request's handling, in the units of `Turns`.
    """

    def __init__(
        self,
        address: Address,
        on_request: Callable[[ServerCall], None],
        on_gone: Callable[[ServerCall], None] | None = None,
        limits: HttpLimits | None = None,
        setting: str = "address",
        shared: SharedLimits | None = None,
        request_units: int = RequestHandler.request_units,
    ):
        self._on_request = on_request
        self._on_gone = on_gone
        limits = limits or HttpLimits()
        self.held_body_bytes = min(limits.body_bytes, _MAX_BODY_BYTES)
        self.request_units = request_units
        self._server = StreamingServer(
            address,
            self,
            replace(limits, body_bytes=self.held_body_bytes),
            setting=setting,
            shared=shared,
        )

    async def start(self) -> None:
        """Listen at the address.

        Raises
        ------
        AddressUnavailable
            If the address is in use or not an address of this machine.
        """
        await self._server.start()

    def drain(self) -> None:
        """Accept no more connections, and close each one after its answer."""
        self._server.stop_accepting()
        self._server.drain()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    def request_begun(self, exchange: ServerExchange) -> None:
        """Prepare to collect a request's body."""
        exchange.context = bytearray()
        if exchange.waits_for_continue:
            exchange.resume_body()

    def body_received(self, exchange: ServerExchange, data: bytes) -> None:
        """Append a piece of the request's body."""
        exchange.context += data

    def body_ended(self, exchange: ServerExchange, trailers: Headers) -> None:
        """Pass the whole request to `on_request`."""
        body = exchange.context
        request = HttpRequest(
            exchange.method, exchange.target, exchange.headers, bytes(body)
        )
        call = exchange.context = ServerCall(request, exchange)
        self._on_request(call)

    def answer_writable(self, exchange: ServerExchange) -> None:
        """Do nothing, as a whole answer is in the write buffer already."""

    def caller_gone(self, exchange: ServerExchange) -> None:
        """Report a caller that closed the connection before its answer."""
        if self._on_gone is not None and isinstance(exchange.context, ServerCall):
            self._on_gone(exchange.context)
