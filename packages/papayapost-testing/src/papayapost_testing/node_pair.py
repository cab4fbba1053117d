"""Runs an entry node and an owner node in one process, for tests."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, closing
from dataclasses import dataclass

import msgspec

from papayapost.ids import Address
from papayapost_node.composition import Node, build_node
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_node.settings import Settings
from papayapost_node.store import HttpStoreClient
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import Script, ScriptedServer
from papayapost_testing.store import ObjectStoreStandIn

__all__ = ["NodePair", "node_pair"]

_RULES = (
    "route GET /* -> scans rank=normal idempotent=yes timeout_ms=30000 # Ana: scans\n"
    "route POST /* -> scans rank=normal idempotent=no timeout_ms=30000 # Ana: scans\n"
    "route HEAD /* -> scans rank=normal idempotent=yes timeout_ms=30000 # Ana: scans\n"
)
_READY_TIMEOUT_S = 10


@dataclass(slots=True)
class NodePair:
    """An entry node without a backend server, and an owner node.

    Attributes
    ----------
    entry_address, owner_address
        Caller address of each node. A call that enters at the owner node
        runs there, without an offer to a peer.
    backend
        Scripted backend server of the owner node.
    """

    entry: Node
    owner: Node
    entry_address: Address
    owner_address: Address
    backend: ScriptedServer


@asynccontextmanager
async def node_pair(
    script: Script,
    slots: int = 4,
    surroundings: str | None = None,
    changes: Mapping[str, object] | None = None,
) -> AsyncIterator[NodePair]:
    """Run two nodes, an object store stand-in and a scripted backend server.

    The pair is ready to serve calls once the context is entered.

    Parameters
    ----------
    script
        Script that the backend server runs on each connection.
    slots
        Number of slots of the backend server.
    surroundings
        Module with the platform adapters of the nodes; None for the native
        ones.
    changes
        Further settings of both nodes.
    """
    store_address, backend_address, *addresses = free_addresses(6)
    store = ObjectStoreStandIn(store_address)
    await store.start()
    with closing(HttpStoreClient(store_address)) as client:
        await client.update("config", "rules", _RULES.encode(), 0)
    backend = ScriptedServer(backend_address, script)
    await backend.start()
    caller_addresses, peer_addresses = addresses[:2], addresses[2:]
    nodes = []
    for number in range(2):
        backend_settings = {
            "service": "scans",
            "address": backend_address,
            "slots": slots,
            "connections": 2 * slots,
        }
        settings = {
            "node_id": f"n{number}",
            "data_centre": "south-1",
            "region": "south",
            "caller_address": caller_addresses[number],
            "peer_address": peer_addresses[number],
            "store_address": store_address,
            "security": {"mode": "none"},
            "seeds": [peer_addresses[0]],
            "surroundings": surroundings,
            "backend_server": backend_settings if number else None,
            **(changes or {}),
        }
        nodes.append(await build_node(msgspec.convert(settings, Settings)))
    for node in nodes:
        await node.start()
    try:
        for address in caller_addresses:
            await _wait_until_routed(address)
        backend.connections = 0
        backend.ended.clear()
        yield NodePair(
            nodes[0], nodes[1], caller_addresses[0], caller_addresses[1], backend
        )
    finally:
        for node in nodes:
            await node.close()
        await backend.close()
        await store.close()


async def _wait_until_routed(address: Address) -> None:
    """Wait until the node routes a call to a backend server."""
    request = HttpRequest("GET", "/probe", [(b"host", b"scans.example")])
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while True:
            connection = await ClientConnection.open(address)
            answer = await connection.call(request)
            connection.close()
            if answer.header(b"papayapost-outcome") is None:
                return
