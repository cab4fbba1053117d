"""Tests streamed bodies between a caller, two nodes and a backend server."""

import asyncio
import hashlib
import tracemalloc
from contextlib import AsyncExitStack

import pytest

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_testing.node_pair import NodePair, node_pair

PIECE = bytes(range(256)) * 256
GET = b"GET /scan HTTP/1.1\r\nhost: scans.example\r\n\r\n"


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def answer_probe(head: bytes, writer: asyncio.StreamWriter) -> bool:
    if b"/probe" not in head:
        return False
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
    return True


def scripted(handle_request):
    async def script(reader, writer):
        while True:
            head = await read_head(reader)
            if not await answer_probe(head, writer):
                await handle_request(head, reader, writer)

    return script


async def open_caller(address: Address):
    ip, port = split_address(address)
    return await asyncio.open_connection(ip, port)


@pytest.fixture(scope="module")
def run():
    """Run scenarios on one pair of nodes, each with its own backend script."""

    behaviour = None

    async def run_behaviour(head, reader, writer):
        await behaviour(head, reader, writer)

    with asyncio.Runner() as runner:
        stack = AsyncExitStack()
        pair = runner.run(stack.enter_async_context(node_pair(scripted(run_behaviour))))

        async def with_timeout(scenario):
            async with asyncio.timeout(15):
                await scenario(pair)

        def run_scenario(scenario, handle_request):
            nonlocal behaviour
            behaviour = handle_request
            pair.backend.ended.clear()
            runner.run(with_timeout(scenario))

        yield run_scenario
        runner.run(stack.aclose())


def addresses_of(pair: NodePair) -> list[Address]:
    return [pair.entry_address, pair.owner_address]


def test_a_large_answer_arrives_whole_through_one_node_and_through_two(run):
    pieces = 300

    async def backend(head, reader, writer):
        length = pieces * len(PIECE)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
        for _ in range(pieces):
            writer.write(PIECE)
            await writer.drain()

    async def scenario(pair):
        expected = hashlib.sha256(PIECE * pieces).digest()
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            writer.write(GET)
            assert b"content-length: 19660800" in await read_head(reader)
            body = await reader.readexactly(pieces * len(PIECE))
            assert hashlib.sha256(body).digest() == expected
            writer.close()

    run(scenario, backend)


def test_a_chunked_upload_arrives_whole_with_its_trailers(run):
    pieces = 40
    uploads = []

    async def backend(head, reader, writer):
        digest, size = hashlib.sha256(), 0
        while length := int(await reader.readline(), 16):
            data = await reader.readexactly(length)
            size += length
            digest.update(data)
            await reader.readline()
        trailers = await reader.readuntil(b"\r\n")
        await reader.readuntil(b"\r\n")
        uploads.append((size, digest.digest(), trailers))
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def scenario(pair):
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            writer.write(
                b"POST /scan HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            for _ in range(pieces):
                writer.write(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\nx-sum: 7\r\n\r\n")
            assert (await read_head(reader)).startswith(b"HTTP/1.1 204")
            writer.close()

    run(scenario, backend)
    digest = hashlib.sha256(PIECE * pieces).digest()
    assert uploads == [(pieces * len(PIECE), digest, b"x-sum: 7\r\n")] * 2


@pytest.mark.parametrize(
    "framing", [b"content-length: 100000", b"transfer-encoding: chunked"]
)
def test_an_answer_that_the_backend_server_cuts_short_is_cut_short_for_the_caller(
    run, framing
):
    async def backend(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
        is_chunked = b"chunked" in framing
        writer.write(b"3e8\r\n" * is_chunked + PIECE[:1000] + b"\r\n" * is_chunked)
        await writer.drain()
        raise ConnectionResetError

    async def scenario(pair):
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            writer.write(GET)
            head = await read_head(reader)
            body = await reader.read()
            assert b"200" in head
            assert PIECE[:1000] in body
            assert not body.endswith(b"0\r\n\r\n")
            assert len(body) < 100_000
            writer.close()

    run(scenario, backend)


def test_a_slow_caller_pauses_the_backend_server_and_frees_it_by_closing(run):
    sent = []

    async def backend(head, reader, writer):
        sent.append(0)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10000000000\r\n\r\n")
        while True:
            writer.write(PIECE)
            await writer.drain()
            sent[-1] += len(PIECE)

    async def scenario(pair):
        for address in addresses_of(pair):
            pair.backend.ended.clear()
            reader, writer = await open_caller(address)
            writer.write(GET)
            await read_head(reader)
            before = -1
            while sent[-1] != before:
                before = sent[-1]
                await asyncio.sleep(0.2)
            # The kernel buffers of three connections hold less than 32 MiB.
            assert before < 32 << 20
            writer.transport.abort()
            await pair.backend.ended.wait()

    run(scenario, backend)


def test_a_caller_that_closes_cancels_its_call_at_the_backend_server(run):
    begun = asyncio.Event()

    async def backend(head, reader, writer):
        begun.set()
        assert await reader.read() == b""
        raise ConnectionResetError

    async def scenario(pair):
        for address in addresses_of(pair):
            begun.clear()
            pair.backend.ended.clear()
            _, writer = await open_caller(address)
            writer.write(GET)
            await begun.wait()
            writer.close()
            await pair.backend.ended.wait()
        assert pair.owner.world.traffic.owner.running == 0

    run(scenario, backend)


def test_100_continue_is_sent_only_to_a_request_that_has_a_slot(run):
    async def backend(head, reader, writer):
        assert b"expect" not in head.lower()
        assert await reader.readexactly(5) == b"12345"
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def scenario(pair):
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            head = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
            writer.write(head % b"scan" + b"expect: 100-continue\r\n\r\n")
            assert await read_head(reader) == b"HTTP/1.1 100 \r\n\r\n"
            writer.write(b"12345")
            assert b"200" in await read_head(reader)
            unrouted = head.replace(b"POST", b"PATCH") % b"scan"
            writer.write(unrouted + b"expect: 100-continue\r\n\r\n")
            assert b"404" in await read_head(reader)
            writer.close()

    run(scenario, backend)


def test_answers_without_a_body_leave_the_connection_reusable(run):
    async def backend(head, reader, writer):
        if head.startswith(b"HEAD"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n")
        elif b"/unchanged" in head:
            writer.write(b"HTTP/1.1 304 Not Modified\r\netag: 1\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\n")
            writer.write(b"content-length: 4\r\n\r\nlast")

    async def scenario(pair):
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            writer.write(GET.replace(b"GET", b"HEAD"))
            assert b"content-length: 77" in await read_head(reader)
            writer.write(GET.replace(b"/scan", b"/unchanged"))
            assert b"304" in await read_head(reader)
            writer.write(GET)
            assert b"103" in await read_head(reader)
            assert b"x-hop" not in await read_head(reader)
            assert await reader.readexactly(4) == b"last"
            writer.close()

    run(scenario, backend)


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"no answer", b""),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 100),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"1;" + b"e" * 1_000 + b"\r\nx\r\n",
        ),
    ],
)
def test_bytes_without_end_free_their_slots_for_other_calls(run, start, repeated):
    async def backend(head, reader, writer):
        if b"/good" in head:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood")
            return
        writer.write(start)
        while repeated:
            writer.write(repeated)
            await writer.drain()
        await reader.read()

    async def call(address, request):
        reader, writer = await open_caller(address)
        writer.write(request)
        head = await read_head(reader)
        while head.startswith(b"HTTP/1.1 102"):
            head = await read_head(reader)
        if b"/scan" in request and b"200" in head:
            assert not (await reader.read()).endswith(b"0\r\n\r\n")
        writer.close()
        return head

    async def scenario(pair):
        for address in addresses_of(pair):
            bad = await asyncio.gather(*(call(address, GET) for _ in range(8)))
            assert not any(b" 503 " in head.splitlines()[0] for head in bad)
            good = await call(address, GET.replace(b"/scan", b"/good"))
            assert good.startswith(b"HTTP/1.1 200")
        assert pair.owner.world.traffic.owner.running == 0

    run(scenario, backend)


# A machine that kept all bytes of a faulty upstream ran out of memory.
def test_endless_answers_to_callers_that_do_not_read_take_bounded_memory(run):
    async def backend(head, reader, writer):
        if b"/good" in head:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood")
            return
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n")
        while True:
            writer.write(PIECE)
            await writer.drain()

    async def scenario(pair):
        callers = []
        tracemalloc.start()
        try:
            for address in addresses_of(pair) * 4:
                reader, writer = await open_caller(address)
                writer.transport.pause_reading()
                writer.write(GET)
                callers.append(writer)
            await asyncio.sleep(1)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak_bytes < 64 << 20
        for writer in callers:
            writer.transport.abort()
        while pair.owner.world.traffic.owner.running:
            await asyncio.sleep(0.01)
        for address in addresses_of(pair):
            reader, writer = await open_caller(address)
            writer.write(GET.replace(b"/scan", b"/good"))
            assert (await read_head(reader)).startswith(b"HTTP/1.1 200")
            writer.close()

    run(scenario, backend)
