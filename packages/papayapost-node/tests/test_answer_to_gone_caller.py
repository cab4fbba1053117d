"""Tests an answer to a caller whose connection has just been closed."""

import asyncio
import socket

from papayapost_node.addresses import split_address
from papayapost_node.http import HttpLimits, StreamingServer
from papayapost_node.http.exchange import RequestHandler
from papayapost_testing.ports import free_addresses

REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class AnsweringHandler(RequestHandler):
    """Answers a request once its caller has closed the connection.

    The server has not read the close yet.
    """

    def __init__(self):
        self.close_caller = None
        self.errors = []
        self.answered = asyncio.Event()

    def request_begun(self, exchange):
        pass

    def body_received(self, exchange, data):
        pass

    def body_ended(self, exchange, trailers):
        self.close_caller()
        try:
            exchange.begin(200, [(b"content-length", b"2")], b"ok", is_ended=True)
        except OSError as error:
            self.errors.append(error)
        self.answered.set()

    def answer_writable(self, exchange):
        pass

    def caller_gone(self, exchange):
        pass


def test_an_answer_to_a_caller_that_has_closed_raises_no_error():
    async def main():
        (address,) = free_addresses(1)
        handler = AnsweringHandler()
        server = StreamingServer(address, handler, HttpLimits())
        await server.start()
        try:
            async with asyncio.timeout(5):
                with socket.create_connection(split_address(address)) as caller:
                    handler.close_caller = caller.close
                    caller.sendall(REQUEST)
                    await handler.answered.wait()
        finally:
            await server.close()
        assert handler.errors == []

    asyncio.run(main())
