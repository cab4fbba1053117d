"""Two real nodes serve client accounts, and no key of an account shows.

Guards against keys in what backend servers, operators or logs get, and against
an account that a caller names itself.
"""

import asyncio
from dataclasses import dataclass, field

import pytest

from papayapost.ids import Address
from papayapost_node.composition import build_node
from papayapost_node.exchange import digest_of_key
from papayapost_node.http import Headers, HttpAnswer, ServerCall, WholeRequestServer
from papayapost_node.store import HttpStoreClient
from papayapost_testing import ObjectStoreStandIn
from papayapost_testing.ports import free_addresses
from papayapost_testing.two_nodes import get, node_settings

SECRET = "s3cret-of-the-shapers"
WRONG = "an0ther-s3cret"
RULES = f"""route GET /gusts/* -> gusts idempotent=yes # Mei: wind desk
route GET /open/* -> gusts idempotent=yes anonymous=yes # Mei: wind desk
account shapers rank=high # Rosa: boards
key {digest_of_key(SECRET.encode())} -> shapers # Rosa: boards
"""


@dataclass
class Observed:
    """What callers, the backend server and operators got."""

    statuses: list[int] = field(default_factory=list)
    received: list[Headers] = field(default_factory=list)
    pages: bytes = b""
    stored: bytes = b""


async def observe() -> Observed:
    observed = Observed()
    addresses = free_addresses(9)
    settings = [
        node_settings(addresses, number, seeds=[addresses[2]]) for number in (0, 1)
    ]

    def answer(call: ServerCall) -> None:
        observed.received.append(call.request.headers)
        call.answer(HttpAnswer(200, [], b"whole"))

    store = ObjectStoreStandIn(addresses[0])
    server = WholeRequestServer(
        Address(settings[1].backend_server.address), answer, lambda: None
    )
    await store.start()
    await server.start()
    nodes = [await build_node(item) for item in settings]
    for node in nodes:
        await node.start()
    client = HttpStoreClient(addresses[0])
    await client.update("config", "rules", RULES.encode(), 0)
    entry = Address(settings[0].caller_address)
    key = (b"authorization", f"Bearer {SECRET}".encode())
    wrong = (b"authorization", f"Bearer {WRONG}".encode())
    forged = (b"papayapost-account", b"mine")
    async with asyncio.timeout(10):
        while (await get(entry, "/gusts/0", [key])).status != 200:
            await asyncio.sleep(0.02)
    observed.received.clear()
    for target, headers in [
        ("/gusts/1", [key, forged]),
        ("/gusts/2", [wrong]),
        ("/gusts/3", [forged]),
        ("/open/4", [wrong, forged]),
        ("/open/5", [key]),
        ("/open/6", []),
    ]:
        observed.statuses.append((await get(entry, target, headers)).status)
    for item in settings:
        for page in ("/metrics", "/timeline", "/status"):
            admin = Address(item.admin_address or "")
            observed.pages += (await get(admin, page)).body
    for kind in ("status", "record", "record-detail", "directory", "accepted"):
        for stored in (await client.list_kind(kind, False)).values():
            observed.stored += stored.value
    client.close()
    for item in (*nodes, server, store):
        await item.close()
    return observed


@pytest.fixture(scope="module")
def observed():
    return asyncio.run(observe())


def test_only_known_keys_and_anonymous_routes_are_served(observed):
    assert observed.statuses == [200, 401, 401, 200, 200, 200]


def test_the_backend_server_gets_the_account_of_the_key_alone(observed):
    accounts = [
        [value for name, value in headers if name == b"papayapost-account"]
        for headers in observed.received
    ]
    assert accounts == [[b"shapers"], [], [b"shapers"], []]


def test_no_key_reaches_backend_servers_operators_or_the_store(observed):
    received = b"".join(value for headers in observed.received for _, value in headers)
    assert observed.pages
    for secret in (SECRET.encode(), WRONG.encode()):
        assert secret not in received + observed.pages + observed.stored


def test_no_key_reaches_the_log(capfd):
    asyncio.run(observe())
    written = "".join(capfd.readouterr())
    assert "call_refused" in written
    assert SECRET not in written
    assert WRONG not in written
