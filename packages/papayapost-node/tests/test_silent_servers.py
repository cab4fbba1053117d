"""Tests of calls to servers that never answer what they cannot queue.

Such a server runs as many requests as it has slots. It drops one more without
an answer, and answers nothing more on that connection. The tests guard against
requests beyond the slots, against the use of a connection with an outstanding
answer, and against slots that do not come back.
"""

import asyncio

import pytest

from papayapost.ids import Address, AttemptId, Micros, NodeId
from papayapost.traffic import BackendCallEnded
from papayapost_node.batch import NoBatching
from papayapost_node.exchange import CarrierDelivery, WindowBudget
from papayapost_node.exchange.backend_call import BackendCall
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.http import BackendPool, HttpRequest
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer

ENTRY = Address("127.0.0.1:1")
SLOTS = 2
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class SilentServer:
    """Answers /answer, hangs on /hang, and drops what exceeds its slots."""

    def __init__(self):
        self.in_flight = 0
        self.max_in_flight = 0
        self.heads = 0

    async def script(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads += 1
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            try:
                if self.in_flight > SLOTS or b"/hang" in head:
                    while await reader.read(1_000):
                        pass
                    return
            finally:
                self.in_flight -= 1
            writer.write(ANSWER)


class DroppingDelivery(CarrierDelivery):
    def deliver(self, address, carrier):
        return True


class Owner:
    """Starts a call whenever one of the slots is free."""

    def __init__(self, address: Address):
        self.pool = BackendPool(address, 8, NoBatching())
        self.ended: list[BackendCallEnded] = []
        self.waiting: list[tuple[str, int]] = []
        self.calls: dict[AttemptId, BackendCall] = {}
        self.sequence = 0
        self.running = 0
        self.changed = asyncio.Event()
        self.services = OwnerServices(
            NodeId("n1"),
            DroppingDelivery(),
            self.post,
            lambda: 1,
            WindowBudget(1 << 20),
            lambda attempt_id: None,
        )

    def post(self, message) -> None:
        if isinstance(message, BackendCallEnded):
            self.ended.append(message)
            self.running -= 1
            self.fill_slots()
            self.changed.set()

    def offer(self, path: str, budget_ms: int = 5_000) -> None:
        self.waiting.append((path, budget_ms))
        self.fill_slots()

    def fill_slots(self) -> None:
        while self.waiting and self.running < SLOTS:
            path, budget_ms = self.waiting.pop(0)
            self.running += 1
            self.sequence += 1
            attempt_id = AttemptId(f"n1/{self.sequence}")
            request = HttpRequest("POST", path, [(b"host", b"a")])
            owned = OwnedRequest(attempt_id, ENTRY, request, True, 65_536)
            call = BackendCall(owned, Micros(budget_ms * 1_000), self.services)
            self.calls[attempt_id] = call
            self.pool.acquire(call.connection_ready)

    async def wait_for_ends(self, count: int) -> None:
        while len(self.ended) < count:
            self.changed.clear()
            await self.changed.wait()


def run_scenario(scenario) -> SilentServer:
    silent = SilentServer()

    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, silent.script)
        await server.start()
        owner = Owner(address)
        try:
            async with asyncio.timeout(5):
                await scenario(owner, silent, server)
        finally:
            owner.pool.close()
            await server.close()

    asyncio.run(main())
    return silent


async def warm_up(owner: Owner) -> None:
    """Leave as many idle connections as there are slots."""
    for _ in range(SLOTS):
        owner.offer("/answer")
    await owner.wait_for_ends(SLOTS)


@pytest.mark.parametrize("reason", ["caller left", "deadline"])
def test_a_silent_request_frees_its_slot_and_never_exceeds_the_slots(reason):
    async def scenario(owner, silent, server):
        await warm_up(owner)
        budget_ms = 100 if reason == "deadline" else 5_000
        owner.offer("/answer")
        owner.offer("/hang", budget_ms)
        await owner.wait_for_ends(3)
        # An idle connection is left, on which the next request is sent.
        owner.offer("/hang", budget_ms)
        for _ in range(3):
            owner.offer("/answer")
        while silent.heads < 5:
            await asyncio.sleep(0.005)
        if reason == "caller left":
            for call in list(owner.calls.values()):
                call.cancel()
        await owner.wait_for_ends(8)
        assert [ended.is_whole for ended in owner.ended[-3:]] == [True] * 3
        assert server.connections <= 2 * SLOTS

    assert run_scenario(scenario).max_in_flight == SLOTS


def test_a_silent_request_ends_as_sent():
    # It may have run, so that it must never be reported as not run.
    async def scenario(owner, silent, server):
        owner.offer("/hang", 100)
        owner.offer("/hang", 5_000)
        while silent.heads < 2:
            await asyncio.sleep(0.005)
        second = owner.calls[AttemptId("n1/2")]
        second.cancel()
        second.cancel()
        await owner.wait_for_ends(2)
        assert all(ended.is_sent for ended in owner.ended)
        assert not any(ended.is_refused or ended.is_whole for ended in owner.ended)
        await asyncio.sleep(0.05)
        assert len(owner.ended) == 2

    run_scenario(scenario)


def test_a_late_answer_to_a_cancelled_request_is_not_taken_for_the_next():
    async def scenario(owner, silent, server):
        await warm_up(owner)
        owner.offer("/hang")
        while silent.heads < SLOTS + 1:
            await asyncio.sleep(0.005)
        connections = server.connections
        owner.calls[AttemptId(f"n1/{SLOTS + 1}")].cancel()
        await owner.wait_for_ends(SLOTS + 1)
        while owner.pool.open_connections > SLOTS - 1:
            await asyncio.sleep(0.005)
        for _ in range(SLOTS):
            owner.offer("/answer")
        await owner.wait_for_ends(2 * SLOTS + 1)
        assert server.connections == connections + 1

    run_scenario(scenario)
