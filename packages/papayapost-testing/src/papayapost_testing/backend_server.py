"""A stand-in of a backend server."""

import asyncio

from papayapost.ids import Address
from papayapost_node.http import HttpAnswer, HttpServer, ServerCall

__all__ = ["BackendServerStandIn"]


class BackendServerStandIn:
    """Answers each request with its method and target.

    Parameters
    ----------
    slots
        Calls that run at once; more are shed with 503.
    service_time_ms
        Time that a call holds its slot.
    """

    def __init__(self, address: Address, slots: int, service_time_ms: float = 0):
        self._server = HttpServer(address, self._on_request)
        self._slots = slots
        self._service_time_ms = service_time_ms
        self.running = 0
        self.served = 0

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def _on_request(self, call: ServerCall) -> None:
        if self.running >= self._slots:
            call.answer(HttpAnswer(503))
            return
        self.running += 1
        if self._service_time_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(self._service_time_ms / 1000, self._finish, call)
        else:
            self._finish(call)

    def _finish(self, call: ServerCall) -> None:
        self.running -= 1
        self.served += 1
        request = call.request
        body = f"{request.method} {request.target}".encode()
        call.answer(HttpAnswer(200, [(b"content-type", b"text/plain")], body))
