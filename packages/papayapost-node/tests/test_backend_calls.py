"""Tests backend calls over the pooled connections to a backend server."""

import asyncio

from papayapost.ids import Address, AttemptId, Micros, NodeId
from papayapost.traffic import (
    AnswerBlocked,
    AnswerUnblocked,
    BackendCallBegun,
    BackendCallEnded,
)
from papayapost_node.batch import NoBatching
from papayapost_node.exchange import CarrierDelivery, WindowBudget
from papayapost_node.exchange.backend_call import BackendCall
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.http import BackendPool, HttpRequest
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer

ENTRY = Address("127.0.0.1:1")
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RecordingDelivery(CarrierDelivery):
    def __init__(self):
        self.carriers: list = []

    def deliver(self, address, carrier):
        self.carriers.append(carrier)
        return True


class Owner:
    """Runs backend calls and records what they post and deliver."""

    def __init__(self, address: Address, connections: int = 2):
        self.pool = BackendPool(address, connections, NoBatching())
        self.carrier_delivery = RecordingDelivery()
        self.posted: list = []
        self.finished: asyncio.Queue[AttemptId] = asyncio.Queue()
        self.services = OwnerServices(
            NodeId("n1"),
            self.carrier_delivery,
            self.posted.append,
            lambda: 1,
            WindowBudget(1 << 20),
            self.finished.put_nowait,
        )

    def start(self, budget_ms: int = 5_000) -> BackendCall:
        request = HttpRequest("POST", "/charge", [(b"host", b"a")])
        owned = OwnedRequest(AttemptId("n1/1"), ENTRY, request, True, 65_536)
        call = BackendCall(owned, Micros(budget_ms * 1_000), self.services)
        self.pool.acquire(call.connection_ready)
        return call

    async def run(self, budget_ms: int = 5_000) -> BackendCallEnded:
        self.start(budget_ms)
        await self.finished.get()
        return self.posted[-1]


def run_scenario(scenario, script, connections: int = 2) -> None:
    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        owner = Owner(address, connections)
        try:
            async with asyncio.timeout(5):
                await scenario(owner, server)
        finally:
            owner.pool.close()
            await server.close()

    asyncio.run(main())


async def answer_every_request(reader, writer):
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(ANSWER)


def test_calls_reuse_a_connection_and_send_the_remaining_time_budget():
    heads = []

    async def script(reader, writer):
        while True:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(ANSWER)

    async def scenario(owner, server):
        await server.start()
        for _ in range(3):
            assert await owner.run() == BackendCallEnded(
                AttemptId("n1/1"), True, True, answer_bytes=2
            )
        assert server.connections == 1
        for head in heads:
            remaining_ms = int(head.partition(b"papayapost-timeout-ms: ")[2].split()[0])
            assert 4_000 < remaining_ms <= 5_000

    run_scenario(scenario, script)


def test_a_call_ends_as_not_sent_if_no_connection_can_be_opened():
    async def scenario(owner, server):
        assert await owner.run() == BackendCallEnded(AttemptId("n1/1"), False, False)

    run_scenario(scenario, answer_every_request)


def test_a_call_ends_as_not_sent_if_all_connections_are_in_use():
    async def script(reader, writer):
        await reader.read()

    async def scenario(owner, server):
        await server.start()
        owner.start()
        assert await owner.run() == BackendCallEnded(AttemptId("n1/1"), False, False)

    run_scenario(scenario, script, connections=1)


def test_a_request_is_not_repeated_if_its_connection_closes_without_an_answer():
    heads = []

    async def script(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(ANSWER)
        heads.append(await reader.readuntil(b"\r\n\r\n"))

    async def scenario(owner, server):
        await server.start()
        assert (await owner.run()).is_whole
        assert await owner.run() == BackendCallEnded(AttemptId("n1/1"), True, False)
        assert len(heads) == 2
        assert server.connections == 1

    run_scenario(scenario, script)


def test_a_connection_that_was_closed_while_idle_is_not_reused():
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)

    async def scenario(owner, server):
        await server.start()
        assert (await owner.run()).is_whole
        while owner.pool.open_connections:
            await asyncio.sleep(0)
        assert (await owner.run()).is_whole
        assert server.connections == 2

    run_scenario(scenario, script)


def test_an_unrequested_answer_is_not_taken_for_the_next_answer():
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await writer.drain()
        writer.write(ANSWER.replace(b"ok", b"no"))
        await reader.read()

    async def scenario(owner, server):
        await server.start()
        for _ in range(2):
            await owner.run()
            while owner.pool.open_connections:
                await asyncio.sleep(0)
        assert [item.body for item in owner.carrier_delivery.carriers] == [b"ok", b"ok"]

    run_scenario(scenario, script)


def test_a_call_whose_answer_misses_the_deadline_ends_as_sent():
    async def script(reader, writer):
        await reader.read()

    async def scenario(owner, server):
        await server.start()
        ended = await owner.run(budget_ms=100)
        assert ended == BackendCallEnded(AttemptId("n1/1"), True, False)
        assert not any(isinstance(item, BackendCallBegun) for item in owner.posted)
        await server.ended.wait()

    run_scenario(scenario, script)


def test_an_answer_that_waits_for_credit_is_posted_as_blocked_until_it_is_sent():
    body = bytes(90_000)

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        writer.write(head + body)

    async def scenario(owner, server):
        await server.start()
        owner.services.hold_bytes = 1 << 20
        call = owner.start()
        attempt_id = AttemptId("n1/1")
        while AnswerBlocked(attempt_id) not in owner.posted:
            await asyncio.sleep(0.01)
        assert owner.posted[-2:] == [
            BackendCallEnded(attempt_id, True, True, answer_bytes=90_000),
            AnswerBlocked(attempt_id),
        ]
        call.grant(10_000)
        assert owner.posted[-1] == AnswerBlocked(attempt_id)
        call.grant(len(body))
        assert owner.posted[-1] == AnswerUnblocked(attempt_id)
        assert await owner.finished.get() == attempt_id

    run_scenario(scenario, script)


def test_a_call_that_waits_for_a_connection_is_ended_as_not_sent():
    """Guards against requests that arrive long after the server's drain."""

    async def scenario(owner, server):
        call = owner.start()
        # The connection is being opened; nothing has been sent on it.
        call.end_unsent()
        assert owner.posted == [BackendCallEnded(AttemptId("n1/1"), False, False)]
        await server.start()
        await asyncio.sleep(0.1)
        assert heads == []
        assert len(owner.posted) == 1

    heads = []

    async def script(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))

    run_scenario(scenario, script)


def test_a_call_that_was_sent_is_not_ended_as_not_sent():
    async def scenario(owner, server):
        await server.start()
        call = owner.start()
        await arrived.wait()
        call.end_unsent()
        assert owner.posted == []
        answer.set()
        await owner.finished.get()
        ended = BackendCallEnded(AttemptId("n1/1"), True, True, answer_bytes=2)
        assert owner.posted[-1] == ended
        call.end_unsent()
        assert owner.posted[-1] == ended

    arrived, answer = asyncio.Event(), asyncio.Event()

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        arrived.set()
        await answer.wait()
        writer.write(ANSWER)

    run_scenario(scenario, script)
