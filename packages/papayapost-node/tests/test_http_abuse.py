"""Tests an HTTP server with malformed, slow, idle and pipelining callers."""

import asyncio

import pytest

from papayapost_node.addresses import split_address
from papayapost_node.batch import InputBatching
from papayapost_node.http import (
    HttpAnswer,
    HttpLimits,
    ServerCall,
    StreamingServer,
    WholeRequestServer,
)
from papayapost_testing.ports import free_addresses

LIMITS = HttpLimits(
    connections=3,
    head_bytes=2_000,
    head_timeout_ms=150,
    idle_timeout_ms=150,
    pace_timeout_ms=150,
    pace_bytes=1_000,
)
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nhost: a\r\n"


class Server:
    """Answers each request with its method, body length and one header.

    If `is_answering` is False, it only records the requests.
    """

    def __init__(self):
        (self.address,) = free_addresses(1)
        self.http = WholeRequestServer(self.address, self.take, self.gone, LIMITS)
        self.received: list[ServerCall] = []
        self.lost = asyncio.Event()
        self.is_answering = True

    def take(self, call: ServerCall) -> None:
        self.received.append(call)
        if self.is_answering:
            self.answer(call)

    def answer(self, call: ServerCall) -> None:
        request = call.request
        folded = dict(request.headers).get(b"x-folded", b"")
        body = b"%s %d %s" % (request.method.encode(), len(request.body), folded)
        call.answer(HttpAnswer(200, [], body))

    def gone(self, call: ServerCall) -> None:
        self.lost.set()


def run_scenario(scenario) -> None:
    async def main():
        server = Server()
        await server.http.start()
        try:
            async with asyncio.timeout(5):
                await scenario(server)
        finally:
            await server.http.close()

    asyncio.run(main())


async def connect(server: Server):
    return await asyncio.open_connection(*split_address(server.address))


async def send_and_read_all(server: Server, data: bytes) -> bytes:
    """Send bytes and return all data until the server closes."""
    reader, writer = await connect(server)
    writer.write(data)
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: " + b"x" * 3_000, b"431"),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: " + b"x" * 3_000 + b"\r\n\r\n", b"431"),
        (b"GET /" + b"a" * 3_000 + b" HTTP/1.1\r\nhost: a\r\n\r\n", b"431"),
        (POST + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", b"400"),
        (POST + b"content-length: 3, 4\r\n\r\nabc", b"400"),
        (POST + b"content-length: -3\r\n\r\nabc", b"400"),
        (
            POST + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (POST + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", b"501"),
        (POST + b"transfer-encoding: chunked\r\n\r\nxyz\r\n", b"400"),
        (POST + b"content-length: 999999999\r\n\r\n", b"413"),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\n folded: first\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /a HTTP/2.0\r\nhost: a\r\n\r\n", b"505"),
        (b"CONNECT a:443 HTTP/1.1\r\nhost: a\r\n\r\n", b"501"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", b"400"),
    ],
)
def test_a_malformed_request_is_refused_and_its_connection_closed(
    request_bytes, status
):
    async def scenario(server):
        answered = await send_and_read_all(server, request_bytes)
        assert answered.startswith(b"HTTP/1.1 " + status)
        assert answered.count(b"HTTP/1.1") == 1
        assert not server.received

    run_scenario(scenario)


def test_equal_content_lengths_are_merged_and_folded_lines_are_joined():
    async def scenario(server):
        data = POST + b"content-length: 3\r\ncontent-length: 3\r\n"
        data += b"x-folded: one\r\n two\r\nconnection: close\r\n\r\nabc"
        answered = await send_and_read_all(server, data)
        assert answered.endswith(b"POST 3 one two")
        assert [key for key, _ in server.received[0].request.headers].count(
            b"content-length"
        ) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("start", "repeated_bytes", "expected"),
    [
        (b"GET /a HT", b"", b"HTTP/1.1 408"),
        (b"GET /a HTTP/1.1\r\nx: ", b"y", b"HTTP/1.1 408"),
        (POST + b"content-length: 9000\r\n\r\n", b"z", b"HTTP/1.1 408"),
        (b"", b"", b""),
        (GET, b"", b"HTTP/1.1 200"),
    ],
)
def test_the_connection_of_a_slow_or_idle_caller_is_closed(
    start, repeated_bytes, expected
):
    async def scenario(server):
        reader, writer = await connect(server)
        writer.write(start)

        async def send_slowly():
            while repeated_bytes:
                writer.write(repeated_bytes)
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(send_slowly())
        answered = await reader.read()
        sending.cancel()
        assert answered.startswith(expected)

    run_scenario(scenario)


def test_pipelined_requests_are_served_one_after_the_other():
    async def scenario(server):
        server.is_answering = False
        reader, writer = await connect(server)
        writer.write(GET + POST + b"content-length: 2\r\n\r\nab" + GET)
        while len(server.received) < 1:
            await asyncio.sleep(0)
        assert len(server.received) == 1
        for number in range(3):
            server.answer(server.received[number])
            await reader.readuntil(b"\r\n\r\n")
        assert [call.request.method for call in server.received] == [
            "GET",
            "POST",
            "GET",
        ]
        writer.close()

    run_scenario(scenario)


def test_the_server_stops_reading_while_pipelined_requests_wait():
    async def scenario(server):
        server.is_answering = False
        _, writer = await connect(server)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(GET * 500_000)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(writer.drain(), 0.1)
        assert len(server.received) == 1
        assert writer.transport.get_write_buffer_size() > 1 << 20
        writer.transport.abort()

    run_scenario(scenario)


def test_a_half_closed_connection_is_handled_as_closed_by_the_caller():
    async def scenario(server):
        server.is_answering = False
        reader, writer = await connect(server)
        writer.write(GET)
        writer.write_eof()
        await server.lost.wait()
        assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


def test_connections_beyond_the_limit_are_closed_and_others_still_served():
    async def scenario(server):
        connections = [await connect(server) for _ in range(3)]
        for reader, writer in connections:
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
        reader, writer = await connect(server)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        connections[0][1].write(GET)
        assert await connections[0][0].readuntil(b"\r\n\r\n")
        for _, writer in connections:
            writer.close()

    run_scenario(scenario)


def test_the_connection_of_a_caller_that_stops_reading_is_closed():
    async def scenario(server):
        server.is_answering = False
        _, writer = await connect(server)
        writer.write(GET)
        while not server.received:
            await asyncio.sleep(0)
        exchange = server.received[0].exchange
        exchange.begin(200, [(b"content-length", b"1000000000")])
        while exchange.is_writable:
            exchange.send(bytes(1 << 20))
        await server.lost.wait()
        writer.close()

    run_scenario(scenario)


def test_a_request_behind_an_answer_that_is_not_read_does_not_begin():
    async def scenario(server):
        server.is_answering = False
        reader, writer = await connect(server)
        writer.write(GET + GET)
        while not server.received:
            await asyncio.sleep(0)
        body = bytes(16 << 20)
        server.received[0].answer(HttpAnswer(200, [], body))
        for _ in range(100):
            await asyncio.sleep(0)
        assert len(server.received) == 1
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(body))
        while len(server.received) < 2:
            await asyncio.sleep(0)
        writer.close()

    run_scenario(scenario)


def test_a_draining_server_still_answers_a_request_on_an_idle_connection():
    async def scenario(server):
        reader, writer = await connect(server)
        writer.write(GET)
        await reader.readuntil(b"GET 0 ")
        server.http.drain()
        writer.write(GET)
        answered = await reader.read()
        assert b"connection: close" in answered.lower()
        with pytest.raises(OSError):
            await connect(server)
        writer.close()

    run_scenario(scenario)


def test_the_batch_is_ended_if_the_handler_raises():
    counts = {"begun": 0, "ended": 0}

    class CountingBatch(InputBatching):
        def begin(self):
            counts["begun"] += 1

        def end(self):
            counts["ended"] += 1

    class RaisingHandler(WholeRequestServer):
        def request_begun(self, exchange):
            raise ValueError("the handler failed")

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        (address,) = free_addresses(1)
        server = StreamingServer(
            address, RaisingHandler(address, lambda call: None), LIMITS, CountingBatch()
        )
        await server.start()
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(GET)
        assert await reader.read() == b""
        writer.close()
        await server.close()

    asyncio.run(main())
    assert counts == {"begun": 1, "ended": 1}
