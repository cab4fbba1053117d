"""Short seeded runs of the soak, and tests of its plans and links."""

import asyncio
from pathlib import Path
from random import Random

import pytest

from papayapost_node.addresses import split_address
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer
from papayapost_testing.soak import Soak, SoakSize
from papayapost_testing.soak.plans import Profile, draw_plan, draw_profile
from papayapost_testing.soak.proxy import Proxy
from papayapost_testing.soak.rows import LinkMode
from papayapost_testing.soak.rules import BASE_PREFIXES, first_version, next_version
from papayapost_testing.soak.wire import load_wire

SURROUNDINGS = Path(__file__).parents[3] / "platform" / "tests"
SIZE = SoakSize(nodes=4, seconds=6)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_short_run_keeps_the_promises(tmp_path, seed):
    async def main():
        return await Soak(seed, SIZE, tmp_path, load_wire(SURROUNDINGS)).run()

    report = asyncio.run(main())
    print(report.line())
    assert report.finding_lines() == []
    assert any(call.is_served for call in report.tables.calls)


def test_a_seed_gives_the_same_plan_again():
    def facts_of(seed):
        return [
            (type(row.fault), row.due_us, row.random.random())
            for row in draw_plan(seed, 20)
        ]

    assert facts_of(7) == facts_of(7)
    assert facts_of(7) != facts_of(8)
    assert {draw_profile(seed) for seed in range(3)} == set(Profile)


def test_each_version_moves_a_route_and_adds_one():
    random, version = Random(5), first_version()
    for _ in range(9):
        newer = next_version(version, random)
        assert newer.version > version.version
        assert newer.service_of("/move/x") != version.service_of("/move/x")
        assert version.service_of(f"/added-{newer.version}/x") is None
        assert set(newer.routes) >= BASE_PREFIXES
        version = newer
    assert len(version.routes) == len(BASE_PREFIXES) + 4


def run_through_proxy(scenario) -> None:
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    async def main():
        address, target = free_addresses(2)
        server, proxy = ScriptedServer(target, echo), Proxy(address, target)
        await server.start()
        await proxy.start()
        try:
            async with asyncio.timeout(5):
                await scenario(proxy, split_address(address))
        finally:
            await proxy.close()
            await server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "mode", [LinkMode.HOLD_REQUESTS, LinkMode.HOLD_ANSWERS, LinkMode.SILENT]
)
def test_a_proxy_holds_bytes_back_and_passes_them_on_later(mode):
    async def scenario(proxy, address):
        reader, writer = await asyncio.open_connection(*address)
        proxy.set_mode(mode)
        writer.write(b"ping")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readexactly(4)
        proxy.set_mode(LinkMode.PASS)
        assert await reader.readexactly(4) == b"ping"
        writer.close()

    run_through_proxy(scenario)


def test_a_proxy_resets_connections():
    async def scenario(proxy, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"ping")
        assert await reader.readexactly(4) == b"ping"
        assert writer.get_extra_info("sockname") in proxy.reached
        proxy.set_mode(LinkMode.RESET)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        writer.close()
        reader, writer = await asyncio.open_connection(*address)
        assert writer.get_extra_info("sockname") not in proxy.reached
        writer.close()

    run_through_proxy(scenario)
