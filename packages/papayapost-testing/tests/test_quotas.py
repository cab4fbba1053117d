"""Two real nodes lend each other the tokens of accounts with a quota.

Guards against messages that do not pass between nodes, leases that do not fit
the store, and refusals that callers cannot make use of.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import pytest

from papayapost.ids import AccountName, Address
from papayapost.quota.tables import partition_of_account
from papayapost_node.composition import build_node
from papayapost_node.exchange import digest_of_key
from papayapost_node.http import Headers, HttpAnswer, ServerCall, WholeRequestServer
from papayapost_node.store import HttpStoreClient
from papayapost_testing import ObjectStoreStandIn
from papayapost_testing.ports import free_addresses
from papayapost_testing.two_nodes import get, node_settings

ACCOUNTS = ("shapers", "waxers")
RATE_PER_S, BURST = 40, 20
CALLS = 60
KEY_LINES = "".join(
    f"key {digest_of_key(name.encode())} -> {name} # Rosa: boards\n"
    for name in ACCOUNTS
)
RULES = f"""route GET /gusts/* -> gusts idempotent=yes # Mei: wind desk
account shapers rate_per_s={RATE_PER_S} burst={BURST} # Rosa: boards
account waxers rate_per_s={RATE_PER_S} burst={BURST} # Rosa: boards
{KEY_LINES}"""


@dataclass
class Observed:
    """What callers got, by account, and the metrics of both nodes."""

    answers: dict[str, list[HttpAnswer]] = field(default_factory=dict)
    metrics: list[bytes] = field(default_factory=list)
    span_s: dict[str, float] = field(default_factory=dict)


def key_of(name: str) -> Headers:
    return [(b"authorization", f"Bearer {name}".encode())]


async def observe() -> Observed:
    observed = Observed()
    addresses = free_addresses(9)
    data_centres = {"north-1": "north", "south-1": "south"}
    settings = [
        node_settings(addresses, number, data_centres=data_centres, discovery="roster")
        for number in (0, 1)
    ]

    def answer(call: ServerCall) -> None:
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
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        for name in ACCOUNTS:
            while (await get(entry, "/gusts/0", key_of(name))).status != 200:
                await asyncio.sleep(0.05)
    for name in ACCOUNTS:
        started_s = loop.time()
        observed.answers[name] = await asyncio.gather(
            *(get(entry, f"/gusts/{number}", key_of(name)) for number in range(CALLS))
        )
        observed.span_s[name] = loop.time() - started_s
    for item in settings:
        page = await get(Address(item.admin_address or ""), "/metrics")
        observed.metrics.append(page.body)
    client.close()
    for item in (*nodes, server, store):
        await item.close()
    return observed


@pytest.fixture(scope="module")
def observed():
    return asyncio.run(observe())


def metric(page: bytes, name: str) -> float:
    lines = [line.split() for line in page.decode().split("\n")]
    return next(float(line[1]) for line in lines if line[:1] == [name])


def test_the_accounts_are_in_different_partitions():
    assert len({partition_of_account(AccountName(name)) for name in ACCOUNTS}) == 2


@pytest.mark.parametrize("name", ACCOUNTS)
def test_calls_run_up_to_the_quota_and_the_others_get_429(observed, name):
    statuses = Counter(answer.status for answer in observed.answers[name])
    assert set(statuses) == {200, 429}
    # The other region has no node, so that its half is not lent.
    most = BURST / 2 + RATE_PER_S / 2 * (observed.span_s[name] + 0.2)
    assert 1 <= statuses[200] <= most


@pytest.mark.parametrize("name", ACCOUNTS)
def test_a_refusal_says_when_to_come_back(observed, name):
    refused = [item for item in observed.answers[name] if item.status == 429]
    after_ms = [int(dict(item.headers)[b"retry-after-ms"]) for item in refused]
    assert all(50 <= item <= 6_000 for item in after_ms)
    assert len(set(after_ms)) > 1


def test_each_node_lends_under_one_lease(observed):
    leases = [metric(page, "papayapost_quota_leases") for page in observed.metrics]
    lent = [metric(page, "papayapost_quota_lent_total") for page in observed.metrics]
    assert leases == [1, 1]
    assert all(count >= 1 for count in lent)
