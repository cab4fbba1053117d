"""Talks to the stand-ins' own paths."""

from typing import TypeVar

import msgspec

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_testing.store import FaultsRow, StoreCountsRow

__all__ = ["name_of_call", "read_account", "read_json", "read_text", "set_faults"]

T = TypeVar("T")


async def name_of_call(address: Address, method: str, host: str, path: str) -> str:
    """Send a call to a node and return its name on the time line."""
    connection = await ClientConnection.open(address)
    try:
        answer = await connection.call(
            HttpRequest(method, path, [(b"host", host.encode())])
        )
    finally:
        connection.close()
    return (answer.header(b"papayapost-call") or b"").decode()


async def read_json(address: Address, target: str, kind: type[T]) -> T:
    """Return what a stand-in tells at a path."""
    body = await _call(address, "GET", target, b"")
    return msgspec.json.decode(body, type=kind)


async def read_text(address: Address, target: str) -> str:
    """Return a page of a node as text."""
    return (await _call(address, "GET", target, b"")).decode()


async def read_account(address: Address) -> StoreCountsRow:
    """Return the calls that the object store has answered."""
    return await read_json(address, "/account", StoreCountsRow)


async def set_faults(address: Address, faults: FaultsRow) -> None:
    """Switch the object store's faults."""
    await _call(address, "PUT", "/faults", msgspec.json.encode(faults))


async def _call(address: Address, method: str, target: str, body: bytes) -> bytes:
    connection = await ClientConnection.open(address)
    headers = [(b"host", b"stand-in"), (b"content-length", b"%d" % len(body))]
    try:
        answer = await connection.call(HttpRequest(method, target, headers, body))
    finally:
        connection.close()
    return answer.body
