"""Tests how a draining node closes the connections of its callers."""

import asyncio

import pytest

from papayapost.traffic import DrainComplete, DrainRequested
from papayapost_node.addresses import split_address
from papayapost_node.drain import Drain
from papayapost_node.http import HttpLimits, StreamingServer
from papayapost_node.http.exchange import RequestHandler
from papayapost_testing.ports import free_addresses

GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


class StoringHandler(RequestHandler):
    """Stores each exchange, which the test answers later."""

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


class Server(StreamingServer):
    """Sets `admitted` when it has accepted a connection."""

    def __init__(self, address, handler):
        super().__init__(address, handler, HttpLimits())
        self.admitted = asyncio.Event()

    def admit(self, connection):
        self.admitted.set()
        return super().admit(connection)


def run_scenario(scenario) -> None:
    async def main():
        (address,) = free_addresses(1)
        handler = StoringHandler()
        server = Server(address, handler)
        posted: list[object] = []
        drain = Drain(server, posted.append)
        await server.start()
        try:
            async with asyncio.timeout(5):
                await scenario(split_address(address), server, drain, posted)
        finally:
            await server.close()

    asyncio.run(main())


def complete_drain(drain: Drain) -> None:
    drain.handlers()[DrainComplete](DrainComplete(is_clean=True))


def test_an_idle_connection_does_not_delay_the_end_of_a_drain():
    async def scenario(address, server, drain, posted):
        draining = asyncio.create_task(drain.run(limit_ms=60_000, accept_ms=60_000))
        # The caller connects while the node still accepts connections, and
        # sends no request.
        reader, writer = await asyncio.open_connection(*address)
        await server.admitted.wait()
        assert posted == [DrainRequested(60_000)]
        complete_drain(drain)
        assert await reader.read() == b""
        writer.close()
        await draining

    run_scenario(scenario)


def test_a_request_that_has_started_is_answered_before_the_drain_ends():
    async def scenario(address, server, drain, posted):
        draining = asyncio.create_task(drain.run(limit_ms=60_000, accept_ms=60_000))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await server.handler.begun.wait()
        complete_drain(drain)
        await asyncio.sleep(0)
        assert not draining.done()
        headers = [(b"content-length", b"2")]
        server.handler.exchanges[0].begin(200, headers, b"ok", is_ended=True)
        assert (await reader.read()).endswith(b"ok")
        writer.close()
        await draining

    run_scenario(scenario)


def test_an_answer_that_its_caller_still_reads_at_the_limit_is_sent_whole():
    async def scenario(address, server, drain, posted):
        body = bytes(8 << 20)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await server.handler.begun.wait()
        headers = [(b"content-length", b"%d" % len(body))]
        server.handler.exchanges[0].begin(200, headers, body, is_ended=True)
        draining = asyncio.create_task(drain.run(limit_ms=200, flush_ms=3_000))
        await asyncio.sleep(0.2)
        complete_drain(drain)
        # The caller reads on after more time than a drain once gave it.
        await asyncio.sleep(0.5)
        assert not draining.done()
        assert (await reader.read()).endswith(body)
        writer.close()
        await draining

    run_scenario(scenario)


@pytest.mark.parametrize("is_draining", [True, False])
def test_a_buffered_answer_outlasts_the_time_limit_of_an_idle_connection(is_draining):
    async def scenario(address, server, drain, posted):
        server.limits = HttpLimits(idle_timeout_ms=60_000 if is_draining else 500)
        body = bytes(8 << 20)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await server.handler.begun.wait()
        headers = [(b"content-length", b"%d" % len(body))]
        server.handler.exchanges[0].begin(200, headers, body, is_ended=True)
        if is_draining:
            server.drain()
        # The caller pauses for longer than an idle connection may last.
        await asyncio.sleep(2.2 if is_draining else 0.7)
        assert (await reader.read()).endswith(body)
        writer.close()

    run_scenario(scenario)


def test_a_caller_that_stops_reading_a_buffered_answer_is_disconnected():
    async def scenario(address, server, drain, posted):
        server.limits = HttpLimits(idle_timeout_ms=100, pace_timeout_ms=200)
        body = bytes(8 << 20)
        _, writer = await asyncio.open_connection(*address)
        writer.write(GET)
        await server.handler.begun.wait()
        headers = [(b"content-length", b"%d" % len(body))]
        server.handler.exchanges[0].begin(200, headers, body, is_ended=True)
        assert await server.wait_until_empty(2.0)
        writer.close()

    run_scenario(scenario)
