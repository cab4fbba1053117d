"""Status lines of backend servers in trouble, seen by callers.

On other systems, a caller got an answer whose status was 000. Only a final
status of HTTP/1.x may reach a caller: 200 to 599, with any reason or none. For
anything else this node answers 502 itself, which promises nothing, because the
request may have run.
"""

import asyncio

import h11
import pytest

from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_testing.node_pair import node_pair

from .test_faulty_answers import SURROUNDINGS, FaultyServer, is_refused

# The status that the caller gets for each status line, and why.
STATUS_LINES = {
    "HTTP/1.1 200 OK": 200,
    "HTTP/1.1 200": 200,  # The reason is optional.
    "HTTP/1.1 200 ": 200,
    "HTTP/1.0 200 OK": 200,  # An older minor version of the same protocol.
    "HTTP/1.1 599 X": 599,  # The last server error.
    "HTTP/1.1 000 X": 502,  # Below 100: no status at all.
    "HTTP/1.1 001 X": 502,
    "HTTP/1.1 099 X": 502,
    "HTTP/1.1 100 X": 502,  # An interim answer without a final one.
    "HTTP/1.1 101 X": 502,  # An upgrade that nobody asked for.
    "HTTP/1.1 199 X": 502,
    "HTTP/1.1 600 X": 502,  # Above the last class of statuses.
    "HTTP/1.1 999 X": 502,
    "HTTP/1.1 20 X": 502,  # Other than three digits.
    "HTTP/1.1 2 X": 502,
    "HTTP/1.1 2000 X": 502,
    "HTTP/1.1 2x0 X": 502,
    "HTTP/1.1 -20 X": 502,
    "HTTP/1.1  200 X": 502,
    "HTTP/1.1": 502,
    "HTTP/0.9 200 OK": 502,  # Another protocol: its framing is not known.
    "HTTP/2.0 200 OK": 502,
    "HTTP/9.9 200 OK": 502,
    "200 OK": 502,
    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK": 200,  # Interim, then final.
    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X": 502,
}
RETRIES = 9


def answer_of(status_line, name):
    head = f"{status_line}\r\nx-request-id: {name}\r\ncontent-length: 5"
    return f"{head}\r\n\r\ndone!".encode()


async def call(address, method, name):
    headers = [(b"host", b"scans.example"), (b"x-request-id", name.encode())]
    if method == "POST":
        headers.append((b"content-length", b"0"))
    connection = await ClientConnection.open(address)
    try:
        return await connection.call(HttpRequest(method, "/a", headers))
    finally:
        connection.close()


async def statuses_through(method, is_through_both):
    """Return the status for each line, each followed by a good request."""
    names = {f"r{number}": line for number, line in enumerate(STATUS_LINES)}
    answers = {name: [answer_of(line, name)] * RETRIES for name, line in names.items()}
    server = FaultyServer(answers)
    statuses = {}
    async with node_pair(server.run, surroundings=SURROUNDINGS) as pair:
        address = pair.entry_address if is_through_both else pair.owner_address
        for name, line in names.items():
            async with asyncio.timeout(20):
                answer = await call(address, method, name)
                after = await call(address, method, f"after-{name}")
            assert after.status == 200 and after.body == b"done!", line
            assert not is_refused(answer) and answer.is_whole
            if answer.status != 502:
                assert answer.body == b"done!"
            statuses[line] = answer.status
    return statuses


@pytest.mark.parametrize("is_through_both", [False, True])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_caller_gets_a_status_of_http_whatever_a_server_answers(
    method, is_through_both
):
    """Guards against a status 000, or any other that is none, at a caller."""
    assert asyncio.run(statuses_through(method, is_through_both)) == STATUS_LINES


@pytest.mark.parametrize("line", [x for x, s in STATUS_LINES.items() if s == 502])
def test_an_answer_without_a_status_of_http_is_no_answer_of_a_store(line):
    """Guards against a store whose broken answers count as values."""

    async def scenario():
        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer_of(line, "store"))
            writer.close()

        server = await asyncio.start_server(script, "127.0.0.1")
        ip, port = server.sockets[0].getsockname()
        async with server:
            with pytest.raises((OSError, h11.RemoteProtocolError)):
                await call(f"{ip}:{port}", "GET", "store")

    asyncio.run(scenario())
