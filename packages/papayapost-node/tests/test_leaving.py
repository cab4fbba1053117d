"""How a node that was told to stop takes leave of its callers."""

import asyncio

from papayapost.traffic import DrainComplete, DrainRequested
from papayapost_node.addresses import split_address
from papayapost_node.drain import Drain
from papayapost_node.http import HttpLimits, StreamingServer
from papayapost_node.http.exchange import RequestHandler
from papayapost_testing.ports import free_addresses

GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


class Callers(RequestHandler):
    """Keeps each exchange until the test answers it."""

    def __init__(self):
        self.exchanges = []
        self.begun = asyncio.Event()

    def request_begun(self, exchange):
        self.exchanges.append(exchange)
        self.begun.set()

    def body_received(self, exchange, data):
        pass

    def body_ended(self, exchange, trailers):
        pass

    def answer_writable(self, exchange):
        pass

    def caller_gone(self, exchange):
        pass


def run(scenario) -> None:
    async def main():
        (address,) = free_addresses(1)
        callers = Callers()
        server = StreamingServer(address, callers, HttpLimits())
        posted: list[object] = []
        drain = Drain(server, posted.append)
        await server.start()
        try:
            async with asyncio.timeout(5):
                await scenario(split_address(address), callers, drain, posted)
        finally:
            await server.close()

    asyncio.run(main())


def complete(drain: Drain) -> None:
    drain.handlers()[DrainComplete](DrainComplete(is_clean=True))


def test_an_idle_connection_does_not_keep_a_node_that_has_finished():
    async def scenario(address, callers, drain, posted):
        leaving = asyncio.create_task(drain.run(limit_ms=60_000, accept_ms=60_000))
        await asyncio.sleep(0)
        assert posted == [DrainRequested(60_000)]
        # It came while the node still took connections, and sends nothing.
        reader, writer = await asyncio.open_connection(*address)
        complete(drain)
        began_s = asyncio.get_running_loop().time()
        await leaving
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s < 0.5
        assert await reader.read() == b""
        writer.close()

    run(scenario)


def test_a_request_that_has_begun_is_answered_before_the_node_is_gone():
    async def scenario(address, callers, drain, posted):
        leaving = asyncio.create_task(drain.run(limit_ms=60_000, accept_ms=60_000))
        await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await callers.begun.wait()
        complete(drain)
        await asyncio.sleep(0)
        assert not leaving.done()
        headers = [(b"content-length", b"2")]
        callers.exchanges[0].begin(200, headers, b"ok", is_ended=True)
        assert (await reader.read()).endswith(b"ok")
        writer.close()
        await leaving

    run(scenario)
