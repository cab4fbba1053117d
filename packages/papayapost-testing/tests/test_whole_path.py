import asyncio
from dataclasses import dataclass

import msgspec

from papayapost.ids import Address, NodeId
from papayapost.observe import Event
from papayapost.timeline import merge_rows, select_call
from papayapost_node.admin import TimelineReport
from papayapost_node.composition import build_node
from papayapost_node.http import HttpAnswer
from papayapost_node.store import HttpStoreClient
from papayapost_testing import BackendServerStandIn, ObjectStoreStandIn
from papayapost_testing.ports import free_addresses
from papayapost_testing.two_nodes import get, node_settings

RULES = "route GET /gusts/* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"


async def get_until_ok(address: Address, target: str) -> HttpAnswer:
    async with asyncio.timeout(10):
        while (answer := await get(address, target)).status != 200:
            pass
        return answer


@dataclass(slots=True)
class ServedRule:
    answer: HttpAnswer
    unknown: HttpAnswer
    metrics: str
    timelines: list[TimelineReport]
    version: int


async def serve_one_rule() -> ServedRule:
    addresses = free_addresses(9)
    store = ObjectStoreStandIn(addresses[0])
    await store.start()
    settings = [
        node_settings(addresses, number, seeds=[addresses[2]]) for number in (0, 1)
    ]
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
    client = HttpStoreClient(addresses[0])
    version = await client.update("config", "rules", RULES.encode(), 0)
    client.close()
    entry = Address(settings[0].caller_address)
    answer = await get_until_ok(entry, "/gusts/wanli?now")
    unknown = await get(entry, "/bookings")
    admins = [Address(item.admin_address or "") for item in settings]
    metrics = await get(admins[0], "/metrics")
    pages = [await get(admin, "/timeline") for admin in admins]
    for item in (*nodes, *backends, store):
        await item.close()
    reports = [msgspec.json.decode(page.body, type=TimelineReport) for page in pages]
    return ServedRule(answer, unknown, metrics.body.decode(), reports, version)


def test_a_new_rule_routes_calls_over_two_nodes():
    result = asyncio.run(serve_one_rule())
    assert result.answer.body == b"GET /gusts/wanli?now"
    assert result.unknown.status == 404
    assert result.unknown.header(b"papayapost-outcome") == b"refused-not-run"


def test_the_nodes_tell_a_call_from_its_arrival_to_its_answer():
    result = asyncio.run(serve_one_rule())
    rows = merge_rows(report.rows for report in result.timelines)
    forwarded = next(row for row in rows if row.event is Event.ANSWER_FORWARDED)
    call = select_call(rows, NodeId("n0"), forwarded.call_id)
    events = [(row.event, row.stamp.node_id) for row in call]
    for step in (
        (Event.CALL_ARRIVED, "n0"),
        (Event.ATTEMPT_OFFERED, "n0"),
        (Event.ATTEMPT_TAKEN, "n1"),
        (Event.BACKEND_CALL_STARTED, "n1"),
        (Event.ANSWER_BEGUN, "n0"),
    ):
        assert step in events
        events = events[events.index(step) + 1 :]
    assert f"papayapost_rules_version {float(result.version)}" in result.metrics
    assert 'papayapost_calls_by_service_count{service="gusts"} 1.0' in result.metrics
