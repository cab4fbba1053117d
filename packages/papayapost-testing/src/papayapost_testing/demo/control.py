"""Talks to the stand-ins' own paths."""

from typing import TypeVar

import msgspec

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_testing.store import AccountRow, FaultsRow

__all__ = ["read_account", "read_json", "set_faults"]

T = TypeVar("T")


async def read_json(address: Address, target: str, kind: type[T]) -> T:
    """Return what a stand-in tells at a path."""
    body = await _call(address, "GET", target, b"")
    return msgspec.json.decode(body, type=kind)


async def read_account(address: Address) -> AccountRow:
    """Return the calls that the object store has answered."""
    return await read_json(address, "/account", AccountRow)


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
