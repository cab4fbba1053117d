"""Tests health checks and calls to the store whose answer has no end."""

import asyncio

import pytest

from papayapost.errors import StoreUnavailable
from papayapost.states import BackendServerState
from papayapost_node.http import HealthPoller
from papayapost_node.store import StoreConnections
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer

HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE = b'"' + b"x" * 65_534 + b'"'


def run_poll(answer: bytes, repeated: bytes) -> tuple[list, int]:
    """Poll a backend server once.

    Returns
    -------
    tuple
        What the poller posted, and the number of bytes that it let the
        backend server send.
    """
    sent_bytes = 0
    posted: list = []

    async def script(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        while repeated:
            writer.write(repeated)
            await writer.drain()
            sent_bytes += len(repeated)

    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        await server.start()
        poller = HealthPoller(address, "/healthz", 600_000, posted.append)
        poller.start()
        try:
            async with asyncio.timeout(5):
                await server.ended.wait()
                while not repeated and not posted:
                    await asyncio.sleep(0)
        finally:
            poller.close()
            await server.close()

    asyncio.run(main())
    return posted, sent_bytes


@pytest.mark.parametrize(
    ("answer", "repeated"),
    [
        (HEAD + b"\r\n", PIECE),
        (HEAD + b"content-length: 99999999999\r\n\r\n", PIECE),
        (HEAD + b"transfer-encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000),
        (b"", PIECE),
    ],
)
def test_a_health_answer_without_end_is_not_read_for_the_whole_timeout(
    answer, repeated
):
    posted, sent_bytes = run_poll(answer, repeated)
    assert posted == []
    # The kernel buffers of a connection hold less than 16 MiB.
    assert sent_bytes < 16 << 20


def test_a_health_answer_that_ends_with_its_connection_is_used():
    posted, _ = run_poll(HEAD + b"\r\n" + b'{"state": "draining"}', b"")
    assert [polled.state for polled in posted] == [BackendServerState.DRAINING]


def test_an_answer_of_the_store_without_end_is_not_read_for_the_whole_timeout():
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n")
        while True:
            writer.write(PIECE)
            await writer.drain()

    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        await server.start()
        connections = StoreConnections(address, timeout_s=20)
        try:
            async with asyncio.timeout(5):
                with pytest.raises(StoreUnavailable, match="broke off"):
                    await connections.call("GET", "/", [])
        finally:
            connections.close()
            await server.close()

    asyncio.run(main())
