"""Tests what one connection, and all together, may make a server hold and do.

The connections have transports in memory, so that no result depends on the
buffers of the system or on the speed of the machine.
"""

import asyncio
import time

import pytest

from papayapost_node.addresses import split_address
from papayapost_node.http import (
    HeldBytes,
    HttpAnswer,
    HttpLimit,
    HttpLimits,
    LimitCounts,
    SharedLimits,
    StreamingServer,
    Turns,
    WholeRequestServer,
)
from papayapost_node.http.exchange import RequestHandler
from papayapost_node.http.held_bytes import Holder
from papayapost_node.http.server_connection import ServerConnection
from papayapost_testing.ports import free_addresses

ADDRESS = "127.0.0.1:1"
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
READ_BYTES = 64 << 10


class MemoryTransport(asyncio.Transport):
    """Keeps written bytes, as if the caller read nothing until `read_all`."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.unsent = bytearray()
        self.high = 0
        self.is_reading = True
        self.is_ended = False

    def set_write_buffer_limits(self, high=None, low=None):
        self.high = high

    def get_write_buffer_size(self):
        return len(self.unsent)

    def write(self, data):
        was_full = len(self.unsent) > self.high
        self.unsent += data
        if len(self.unsent) > self.high and not was_full:
            self.protocol.pause_writing()

    def read_all(self) -> bytes:
        data = bytes(self.unsent)
        self.unsent.clear()
        if len(data) > self.high:
            self.protocol.resume_writing()
        return data

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.is_ended = True

    def is_closing(self):
        return self.is_ended

    def abort(self):
        if not self.is_ended or self.protocol is not None:
            self.is_ended = True
            protocol, self.protocol = self.protocol, None
            if protocol is not None:
                protocol.connection_lost(None)

    close = abort


class CountingHandler(RequestHandler):
    """Counts what it gets and answers nothing."""

    def __init__(self, passes_on: bool = False):
        self.begun: list = []
        self.pieces: list[bytes] = []
        self.ended: list = []
        self.passes_on = passes_on

    def request_begun(self, exchange):
        exchange.may_have_run = self.passes_on
        self.begun.append(exchange)

    def body_received(self, exchange, data):
        self.pieces.append(data)

    def body_ended(self, exchange, trailers):
        self.ended.append(exchange)

    def answer_writable(self, exchange):
        pass

    def caller_gone(self, exchange):
        assert exchange in self.begun


def connect(server):
    connection = ServerConnection(server)
    transport = MemoryTransport(connection)
    connection.connection_made(transport)
    return connection, transport


def send(connection, transport, data: bytes) -> int:
    """Pass on data as reads would; return how much was read."""
    sent = 0
    while sent < len(data) and transport.is_reading and not transport.is_ended:
        connection.data_received(data[sent : sent + READ_BYTES])
        sent = min(len(data), sent + READ_BYTES)
    return sent


def server_of(handler, counts=None, held=None, **limits):
    shared = SharedLimits(held, Turns(), counts)
    return StreamingServer(ADDRESS, handler, HttpLimits(**limits), shared=shared)


def run(scenario) -> None:
    async def main():
        async with asyncio.timeout(10):
            await scenario()

    asyncio.run(main())


def test_requests_behind_unread_answers_neither_begin_nor_are_read():
    # Each of them would add its answer to the write buffer.
    async def scenario():
        answered = []

        def answer(call):
            answered.append(call)
            call.answer(HttpAnswer(200, [], bytes(1_000)))

        handler = WholeRequestServer(ADDRESS, answer)
        connection, transport = connect(server_of(handler, pipelined=8))
        read = send(connection, transport, GET * 100_000)
        for _ in range(1_000):
            await asyncio.sleep(0)
        assert read <= 2 * READ_BYTES
        assert not transport.is_reading
        count = len(answered)
        assert count < 40
        assert len(transport.unsent) < 64 << 10
        transport.read_all()
        for _ in range(1_000):
            await asyncio.sleep(0)
        assert count < len(answered) < 2 * count + 2

    run(scenario)


def test_a_connection_with_much_to_parse_lets_others_take_their_turns():
    async def scenario():
        handler = CountingHandler()
        server = server_of(handler)
        for _ in range(20):
            connection, transport = connect(server)
            send(connection, transport, CHUNKED + ONE_BYTE_CHUNK * 10_000)
        other, transport = connect(server)
        send(other, transport, GET)
        while not any(item.method == "GET" for item in handler.begun):
            await asyncio.sleep(0)
        # Each of the 20 connections had at most a few turns of 64 chunks.
        assert sum(map(len, handler.pieces)) < 20 * 64 * 4

    run(scenario)


def test_connections_that_close_before_their_turn_take_none():
    async def scenario():
        handler = CountingHandler()
        server = server_of(handler)
        for _ in range(20):
            connection, transport = connect(server)
            send(connection, transport, CHUNKED + ONE_BYTE_CHUNK * 10_000)
            transport.abort()
        pieces = len(handler.pieces)
        for _ in range(10):
            await asyncio.sleep(0)
        assert len(handler.pieces) == pieces

    run(scenario)


def test_a_handler_that_fails_in_a_later_turn_does_not_stop_the_other_turns():
    class FailingHandler(CountingHandler):
        def body_received(self, exchange, data):
            raise ValueError("the handler failed")

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        handler = CountingHandler()
        server = server_of(handler)
        for _ in range(20):
            connection, transport = connect(server)
            send(connection, transport, CHUNKED + ONE_BYTE_CHUNK * 10_000)
        server.handler = FailingHandler()
        failing = connect(server)
        send(*failing, CHUNKED + ONE_BYTE_CHUNK * 1_000)
        server.handler = handler
        other, transport = connect(server)
        send(other, transport, GET)
        while not any(item.method == "GET" for item in handler.begun):
            await asyncio.sleep(0)
        assert failing[1].is_ended

    run(scenario)


def test_chunks_of_one_byte_are_passed_on_together():
    # A message to another node for each of them would cost 100 times as much.
    async def scenario():
        handler = CountingHandler()
        connection, transport = connect(server_of(handler))
        send(connection, transport, CHUNKED + ONE_BYTE_CHUNK * 5_000 + b"0\r\n\r\n")
        while not handler.ended:
            await asyncio.sleep(0)
        assert b"".join(handler.pieces) == b"x" * 5_000
        assert len(handler.pieces) < 5_000 / 32

    run(scenario)


def test_a_head_with_very_many_short_fields_is_served():
    async def scenario():
        handler = CountingHandler()
        connection, transport = connect(server_of(handler))
        fields = b"".join(b"%x:\r\n" % number for number in range(2_000))
        send(connection, transport, GET[:-2] + fields + b"\r\n")
        while not handler.ended:
            await asyncio.sleep(0)

    run(scenario)


def test_a_body_of_the_largest_size_is_received_whole():
    async def scenario():
        handler = CountingHandler()
        connection, transport = connect(server_of(handler))
        size = HttpLimits().body_bytes
        head = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
        send(connection, transport, head)
        data = bytes(READ_BYTES)
        for _ in range(size // READ_BYTES):
            assert send(connection, transport, data) == READ_BYTES
            while not transport.is_reading:
                await asyncio.sleep(0)
        while not handler.ended:
            await asyncio.sleep(0)
        assert sum(map(len, handler.pieces)) == size

    run(scenario)


@pytest.mark.parametrize("is_used_before", [False, True])
def test_a_connection_idle_for_longer_than_a_head_may_take_is_still_used(
    is_used_before,
):
    # Callers open connections ahead of their requests, and keep them.
    async def scenario():
        handler = WholeRequestServer(ADDRESS, lambda call: call.answer(HttpAnswer(200)))
        server = server_of(handler, head_timeout_ms=20, idle_timeout_ms=60_000)
        connection, transport = connect(server)
        if is_used_before:
            send(connection, transport, GET)
            assert transport.read_all().startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.1)
        send(connection, transport, GET)
        assert transport.read_all().startswith(b"HTTP/1.1 200")

    run(scenario)


@pytest.mark.parametrize(
    ("request_bytes", "status", "limit"),
    [
        (GET[:-2] + b"content-length: 1\r\n\r\n", b"413", HttpLimit.BODY),
        (CHUNKED, b"413", HttpLimit.BODY),
        (GET[:-2] + b"a: " + b"x" * 20_000, b"431", HttpLimit.HEAD),
    ],
)
def test_what_an_address_does_not_need_is_refused_without_reading_it(
    request_bytes, status, limit
):
    async def scenario():
        handler, counts = CountingHandler(), LimitCounts()
        server = server_of(handler, counts, body_bytes=0)
        connection, transport = connect(server)
        send(connection, transport, request_bytes)
        assert transport.unsent.startswith(b"HTTP/1.1 " + status)
        assert transport.is_ended
        assert not handler.pieces
        assert counts.counts["address", limit] == 1

    run(scenario)


def test_a_chunked_body_above_the_limit_is_refused():
    async def scenario():
        handler = CountingHandler()
        connection, transport = connect(server_of(handler, body_bytes=100_000))
        send(connection, transport, CHUNKED + b"ffff\r\n" + bytes(65_535) + b"\r\n")
        assert not transport.unsent
        send(connection, transport, b"ffff\r\n" + bytes(65_535) + b"\r\n")
        assert transport.unsent.startswith(b"HTTP/1.1 413")

    run(scenario)


def test_a_closing_connection_reads_a_bounded_number_of_bytes():
    async def scenario():
        connection, transport = connect(server_of(CountingHandler(), body_bytes=0))
        send(connection, transport, CHUNKED)
        assert transport.is_ended
        for _ in range(20):
            connection.data_received(bytes(READ_BYTES))
        assert not transport.is_reading

    run(scenario)


@pytest.mark.parametrize("passes_on", [False, True])
def test_a_slow_body_gets_408_only_if_its_request_was_not_passed_on(passes_on):
    # The status promises that the request did not and will not run.
    async def scenario():
        handler = CountingHandler(passes_on)
        server = server_of(handler, pace_timeout_ms=20)
        connection, transport = connect(server)
        send(connection, transport, CHUNKED + ONE_BYTE_CHUNK)
        while not transport.is_ended:
            await asyncio.sleep(0.005)
        assert transport.unsent.startswith(b"HTTP/1.1 408") is not passes_on

    run(scenario)


@pytest.mark.parametrize("chunks", [600, 5_000])
def test_a_body_that_waits_for_its_turn_is_not_too_slow(chunks):
    # The smaller one waits in the parser, the other one also before it.
    async def scenario():
        handler = CountingHandler()
        turns = Turns(units_per_pass=1)
        shared = SharedLimits(None, turns)
        limits = HttpLimits(pace_timeout_ms=10)
        server = StreamingServer(ADDRESS, handler, limits, shared=shared)
        connection, transport = connect(server)
        send(connection, transport, CHUNKED + ONE_BYTE_CHUNK * chunks + b"0\r\n\r\n")
        # The time limit has passed before the next turn.
        time.sleep(0.02)
        while not handler.ended:
            assert not transport.is_ended
            await asyncio.sleep(0)

    run(scenario)


class RecordingHolder(Holder):
    def __init__(self, name, shed):
        self.name = name
        self.list = shed

    def shed(self):
        self.list.append(self.name)


def test_the_largest_holders_are_shed_above_the_limit():
    async def scenario():
        held, shed = HeldBytes(1_000), []
        rows = [held.add(RecordingHolder(name, shed)) for name in range(5)]
        for size, row in zip((100, 300, 200, 350, 40), rows, strict=True):
            held.update(row, size)
        assert not shed
        held.update(rows[4], 60)
        await asyncio.sleep(0)
        assert shed == [3]
        assert held.total_bytes == 660
        for row in rows:
            held.remove(row)
        assert held.total_bytes == 0

    run(scenario)


def test_connections_that_hold_most_are_closed_when_the_process_holds_too_much():
    async def scenario():
        handler, counts, held = CountingHandler(), LimitCounts(), HeldBytes(1 << 20)
        server = server_of(handler, counts, held, body_bytes=1 << 20)
        body = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\n"
        small = connect(server)
        send(*small, GET)
        large = [connect(server) for _ in range(200)]
        for connection, transport in large:
            send(connection, transport, body + bytes(19_999))
            await asyncio.sleep(0)
            assert held.total_bytes < 1 << 20
        refused = [transport for _, transport in large if transport.is_ended]
        assert 100 < len(refused) < 200
        assert all(item.unsent.startswith(b"HTTP/1.1 503") for item in refused)
        assert not small[1].is_ended
        assert counts.counts["address", HttpLimit.HELD] == len(refused)

    run(scenario)


@pytest.mark.parametrize("evicts_idle", [False, True])
def test_an_address_of_the_node_itself_cannot_be_occupied(evicts_idle):
    # Readiness checks must be answered while others hold connections open.
    async def scenario():
        (address,) = free_addresses(1)
        limits = HttpLimits(connections=3, evicts_idle=evicts_idle)
        server = WholeRequestServer(
            address, lambda call: call.answer(HttpAnswer(200)), limits=limits
        )
        await server.start()
        held = []
        for _ in range(5):
            held.append(await asyncio.open_connection(*split_address(address)))
            held[-1][1].write(GET[:9])
            await asyncio.sleep(0.02)
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(GET)
        try:
            answered = await reader.readexactly(12)
        except (asyncio.IncompleteReadError, ConnectionResetError):
            answered = b""
        assert (answered == b"HTTP/1.1 200") is evicts_idle
        for _, other in [*held, (reader, writer)]:
            other.close()
        await server.close()

    run(scenario)
