"""Tests pipelined requests that are served concurrently on one connection."""

import asyncio

import pytest

from papayapost_node.addresses import split_address
from papayapost_node.http import HttpAnswer, HttpLimits, ServerCall, WholeRequestServer
from papayapost_testing.ports import free_addresses

GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"


class Server:
    """Records requests; the test answers each with its target."""

    def __init__(self):
        (address,) = free_addresses(1)
        self.address = address
        limits = HttpLimits(pipelined=4)
        self.http = WholeRequestServer(address, self.take, self.gone, limits)
        self.received: list[ServerCall] = []
        self.lost: list[ServerCall] = []
        self.changed = asyncio.Event()

    def take(self, call: ServerCall) -> None:
        self.received.append(call)
        self.changed.set()

    def gone(self, call: ServerCall) -> None:
        self.lost.append(call)
        self.changed.set()

    async def until(self, rows: list, count: int) -> None:
        while len(rows) < count:
            self.changed.clear()
            await self.changed.wait()

    def answer(self, number: int) -> None:
        call = self.received[number]
        call.answer(HttpAnswer(200, [], call.request.target.encode()))


def run_scenario(scenario) -> None:
    async def main():
        server = Server()
        await server.http.start()
        reader, writer = await asyncio.open_connection(*split_address(server.address))
        try:
            async with asyncio.timeout(5):
                await scenario(server, reader, writer)
        finally:
            writer.close()
            await server.http.close()

    asyncio.run(main())


async def read_body(reader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    size = next(
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    return await reader.readexactly(size)


def test_safe_requests_are_served_concurrently_and_answered_in_order():
    async def scenario(server, reader, writer):
        writer.write(b"".join(GET % number for number in range(3)))
        await server.until(server.received, 3)
        for number in (2, 1, 0):
            server.answer(number)
        assert [await read_body(reader) for _ in range(3)] == [b"/0", b"/1", b"/2"]

    run_scenario(scenario)


def test_a_request_that_is_not_safe_waits_for_the_earlier_answers():
    async def scenario(server, reader, writer):
        writer.write(GET % 0 + POST % 1 + GET % 2)
        await server.until(server.received, 1)
        server.answer(0)
        assert await read_body(reader) == b"/0"
        await server.until(server.received, 2)
        assert [call.request.method for call in server.received] == ["GET", "POST"]
        server.answer(1)
        await server.until(server.received, 3)
        server.answer(2)
        assert [await read_body(reader) for _ in range(2)] == [b"/1", b"/2"]

    run_scenario(scenario)


def test_the_number_of_concurrent_requests_is_limited():
    async def scenario(server, reader, writer):
        writer.write(b"".join(GET % number for number in range(9)))
        await server.until(server.received, 4)
        for number in range(9):
            assert len(server.received) <= number + 4
            await server.until(server.received, number + 1)
            server.answer(number)
            assert await read_body(reader) == b"/%d" % number

    run_scenario(scenario)


def test_a_pipelined_head_that_arrives_in_pieces_is_served():
    async def scenario(server, reader, writer):
        writer.write(GET % 0 + (GET % 1)[:9])
        await server.until(server.received, 1)
        writer.write((GET % 1)[9:])
        await server.until(server.received, 2)
        server.answer(1)
        server.answer(0)
        assert [await read_body(reader) for _ in range(2)] == [b"/0", b"/1"]
        writer.write(GET % 2)
        await server.until(server.received, 3)
        server.answer(2)
        assert await read_body(reader) == b"/2"

    run_scenario(scenario)


def test_all_requests_of_a_closed_connection_are_reported_as_lost():
    async def scenario(server, reader, writer):
        writer.write(GET % 0 + GET % 1)
        await server.until(server.received, 2)
        writer.close()
        await server.until(server.lost, 2)

    run_scenario(scenario)


def test_the_connection_closes_after_a_pipelined_answer_that_is_cut_short():
    async def scenario(server, reader, writer):
        writer.write(GET % 0 + GET % 1 + GET % 2)
        await server.until(server.received, 3)
        server.received[1].answer(HttpAnswer(200, [], b"part", is_whole=False))
        server.answer(2)
        server.answer(0)
        assert await read_body(reader) == b"/0"
        with pytest.raises(asyncio.IncompleteReadError):
            await read_body(reader)

    run_scenario(scenario)
