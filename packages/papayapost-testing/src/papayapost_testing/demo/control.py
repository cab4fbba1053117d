"""Requests to the control paths of stand-ins and to the pages of nodes."""

from typing import TypeVar

import msgspec

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_testing.store import FaultsRow, StoreCountsRow

__all__ = [
    "read_json",
    "read_store_counts",
    "read_text",
    "send_traced_call",
    "set_faults",
]

T = TypeVar("T")


async def send_traced_call(address: Address, method: str, host: str, path: str) -> str:
    """Send a call to a node and return the id of the call.

    The id selects the call in ``papaya timeline``.
    """
    connection = await ClientConnection.open(address)
    try:
        answer = await connection.call(
            HttpRequest(method, path, [(b"host", host.encode())])
        )
    finally:
        connection.close()
    return (answer.header(b"papayapost-call") or b"").decode()


async def read_json(address: Address, target: str, kind: type[T]) -> T:
    """Return the JSON answer of a stand-in or node, decoded as `kind`."""
    body = await _call(address, "GET", target, b"")
    return msgspec.json.decode(body, type=kind)


async def read_text(address: Address, target: str) -> str:
    """Return a page of a node as text."""
    return (await _call(address, "GET", target, b"")).decode()


async def read_store_counts(address: Address) -> StoreCountsRow:
    """Return the counts of the calls that the object store answered."""
    return await read_json(address, "/account", StoreCountsRow)


async def set_faults(address: Address, faults: FaultsRow) -> None:
    """Set the faults of the object store stand-in."""
    await _call(address, "PUT", "/faults", msgspec.json.encode(faults))


async def _call(address: Address, method: str, target: str, body: bytes) -> bytes:
    connection = await ClientConnection.open(address)
    headers = [(b"host", b"stand-in"), (b"content-length", b"%d" % len(body))]
    try:
        answer = await connection.call(HttpRequest(method, target, headers, body))
    finally:
        connection.close()
    return answer.body
