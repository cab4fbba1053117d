import asyncio

from papayapost.ids import Address
from papayapost_node import Settings, build_node
from papayapost_node.http import ClientConnection, HttpAnswer, HttpRequest
from papayapost_node.store import HttpStoreClient
from papayapost_testing import BackendServerStandIn, ObjectStoreStandIn
from papayapost_testing.ports import free_addresses

RULES = "route GET /gusts/* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"


async def get(address: Address, target: str) -> HttpAnswer:
    connection = await ClientConnection.open(address)
    try:
        return await connection.call(
            HttpRequest("GET", target, [(b"host", b"wind.example")])
        )
    finally:
        connection.close()


async def until_answered(address: Address, target: str) -> HttpAnswer:
    async with asyncio.timeout(10):
        while (answer := await get(address, target)).status != 200:
            pass
        return answer


def node_settings(addresses: list[Address], store: Address, number: int) -> Settings:
    caller, peer, backend = addresses[number * 3 : number * 3 + 3]
    return Settings.model_validate(
        {
            "node_id": f"n{number}",
            "data_centre": "north-1",
            "region": "north",
            "caller_address": caller,
            "peer_address": peer,
            "store_address": store,
            "seeds": [addresses[1]],
            "backend_server": {
                "service": "gusts" if number else "archive",
                "address": backend,
                "slots": 8,
                "connections": 100,
            },
        }
    )


async def serve_one_rule() -> tuple[HttpAnswer, HttpAnswer]:
    store_address, *addresses = free_addresses(7)
    store = ObjectStoreStandIn(store_address)
    await store.start()
    settings = [node_settings(addresses, store_address, number) for number in (0, 1)]
    backends = [
        BackendServerStandIn(Address(item.backend_server.address))
        for item in settings
        if item.backend_server
    ]
    for backend in backends:
        await backend.start()
    nodes = [await build_node(item) for item in settings]
    for node in nodes:
        await node.start()
    client = HttpStoreClient(store_address)
    await client.update("config", "rules", RULES.encode(), 0)
    entry = Address(settings[0].caller_address)
    answer = await until_answered(entry, "/gusts/wanli?now")
    unknown = await get(entry, "/bookings")
    for item in (*nodes, *backends, store):
        await item.close()
    return answer, unknown


def test_an_edited_rule_is_served_through_another_node():
    answer, unknown = asyncio.run(serve_one_rule())
    assert answer.body == b"GET /gusts/wanli?now"
    assert unknown.status == 404
    assert unknown.header(b"papayapost-outcome") == b"refused-not-run"
