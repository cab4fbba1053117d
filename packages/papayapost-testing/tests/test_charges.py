import asyncio

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpAnswer, HttpRequest
from papayapost_testing.node_pair import node_pair

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"


async def send_charge(address: Address, key: bytes) -> HttpAnswer:
    connection = await ClientConnection.open(address)
    headers = [
        (b"host", b"scans.example"),
        (b"idempotency-key", key),
        (b"content-length", b"0"),
    ]
    try:
        return await connection.call(HttpRequest("POST", "/deposit", headers))
    finally:
        connection.close()


async def send_charge_twice() -> tuple[HttpAnswer, HttpAnswer, int]:
    runs = 0

    async def backend(reader, writer):
        nonlocal runs
        while head := await reader.readuntil(b"\r\n\r\n"):
            runs += head.startswith(b"POST")
            writer.write(ANSWER)

    async with node_pair(backend) as pair:
        first = await send_charge(pair.entry_address, b"deposit-7")
        second = await send_charge(pair.owner_address, b"deposit-7")
        return first, second, runs


def test_a_repeated_key_is_refused_as_not_run_by_another_entry_node():
    first, second, runs = asyncio.run(send_charge_twice())
    assert (first.status, first.body) == (200, b"done")
    assert second.status == 409
    assert second.header(b"papayapost-outcome") == b"refused-not-run"
    assert second.header(b"papayapost-code") == b"duplicate"
    assert runs == 1
