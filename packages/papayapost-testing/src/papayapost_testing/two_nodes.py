"""Settings of two real nodes on loopback addresses, and requests to them."""

from collections.abc import Sequence

import msgspec

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpAnswer, HttpRequest
from papayapost_node.settings import Settings

__all__ = ["get", "node_settings"]


def node_settings(addresses: list[Address], number: int, **fields: object) -> Settings:
    """Return the settings of a node.

    Parameters
    ----------
    addresses
        That of the store, then four for each node.
    number
        0 for the node beside ``archive``, 1 for the one beside ``gusts``.
    **fields
        Settings in addition to these.
    """
    store, *rest = addresses
    caller, peer, backend, admin = rest[number * 4 : number * 4 + 4]
    return msgspec.convert(
        {
            "node_id": f"n{number}",
            "data_centre": "north-1",
            "region": "north",
            "caller_address": caller,
            "peer_address": peer,
            "store_address": store,
            "admin_address": admin,
            "security": {"mode": "none"},
            "backend_server": {
                "service": "gusts" if number else "archive",
                "address": backend,
                "slots": 8,
                "connections": 100,
            },
            **fields,
        },
        Settings,
    )


async def get(
    address: Address, target: str, headers: Sequence[tuple[bytes, bytes]] = ()
) -> HttpAnswer:
    """Return the answer to a request on a connection of its own."""
    connection = await ClientConnection.open(address)
    try:
        sent = [(b"host", b"wind.example"), *headers]
        return await connection.call(HttpRequest("GET", target, sent))
    finally:
        connection.close()
