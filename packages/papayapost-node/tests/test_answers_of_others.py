"""Answers that are not, or not wholly, what a request asked for."""

import asyncio

from papayapost.ids import Address, AttemptId, InstanceId, Micros, NodeId
from papayapost.traffic import BackendCallBegun, BackendCallEnded
from papayapost_node.batch import NoBatch
from papayapost_node.exchange import (
    AnswerVerdict,
    Courier,
    NativeDialect,
    WindowBudget,
)
from papayapost_node.exchange.backend_call import BackendCall
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.http import BackendPool, HttpRequest
from papayapost_node.wire import AnswerCarrier
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer

ENTRY = Address("127.0.0.1:1")
ENDED = AttemptId("n1/1")
BUDGET_MS = 200


class NamedAnswers(NativeDialect):
    """Answers name their request, or say that it did not run."""

    def judge(self, request, status, answer):
        found = dict(answer)
        if found.get(b"x-name") != dict(request)[b"x-name"]:
            return AnswerVerdict.FOREIGN
        if status == 503:
            return AnswerVerdict.NOT_RUN
        return AnswerVerdict.BROKEN if status == 299 else AnswerVerdict.ANSWER


class KeptCarriers(Courier):
    def __init__(self):
        self.carriers: list = []

    def deliver(self, address, carrier, on_dropped=None):
        self.carriers.append(carrier)
        return True


class Owner:
    def __init__(self, address: Address):
        self.pool = BackendPool(address, 2, NoBatch())
        self.courier = KeptCarriers()
        self.posted: list = []
        self.over: asyncio.Queue[AttemptId] = asyncio.Queue()
        self.services = OwnerServices(
            NodeId("n1"),
            self.courier,
            self.posted.append,
            lambda: 1,
            WindowBudget(1 << 20),
            self.over.put_nowait,
            NamedAnswers(),
            lambda: InstanceId("i-1"),
            1 << 20,
        )

    async def run(self, name: str, budget_ms: int = 3_000) -> BackendCallEnded:
        headers = [(b"host", b"a"), (b"x-name", name.encode())]
        request = HttpRequest("GET", "/", headers)
        owned = OwnedRequest(ENDED, ENTRY, request, True, 1 << 20)
        call = BackendCall(owned, Micros(budget_ms * 1_000), self.services)
        self.pool.acquire(call.connection_ready)
        await self.over.get()
        return next(m for m in self.posted if isinstance(m, BackendCallEnded))

    def bodies(self) -> list[bytes]:
        heads = [c for c in self.courier.carriers if isinstance(c, AnswerCarrier)]
        return [head.body for head in heads]


def answer(name: str, body: str, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nx-name: {name}\r\ncontent-length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


def run(scenario, *answers: bytes) -> None:
    async def script(reader, writer):
        left = list(answers)
        while left:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(left.pop(0))
        if not answers[-1].endswith(b"cut"):
            await reader.read()

    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        owner = Owner(address)
        await server.start()
        try:
            async with asyncio.timeout(5):
                await scenario(owner, server)
        finally:
            owner.pool.close()
            await server.close()

    asyncio.run(main())


def test_an_answer_to_another_request_is_passed_by():
    async def scenario(owner, server):
        assert await owner.run("b") == BackendCallEnded(ENDED, True, True)
        assert owner.bodies() == [b"mine"]

    run(scenario, answer("a", "late") + answer("b", "mine"))


def test_an_extra_answer_never_becomes_the_next_requests():
    async def scenario(owner, server):
        await owner.run("a")
        owner.posted.clear()
        await owner.run("b")
        assert owner.bodies() == [b"one", b"two"]

    run(scenario, answer("a", "one"), answer("a", "extra") + answer("b", "two"))


def test_only_an_answer_to_another_request_leaves_the_outcome_unknown():
    async def scenario(owner, server):
        ended = await owner.run("b", budget_ms=100)
        assert ended == BackendCallEnded(ENDED, True, False)
        assert owner.bodies() == []

    run(scenario, answer("a", "late"))


def test_an_answer_that_says_not_run_refuses_the_attempt():
    async def scenario(owner, server):
        ended = await owner.run("a")
        assert ended == BackendCallEnded(ENDED, True, False, is_refused=True)
        assert owner.bodies() == []

    run(scenario, answer("a", "", 503))


def test_an_answer_of_no_use_leaves_the_outcome_unknown():
    async def scenario(owner, server):
        assert await owner.run("a") == BackendCallEnded(ENDED, True, False)
        assert owner.bodies() == []

    run(scenario, answer("a", "forged", 299))


def test_a_held_answer_that_breaks_off_is_not_begun():
    async def scenario(owner, server):
        assert await owner.run("a") == BackendCallEnded(ENDED, True, False)
        assert owner.bodies() == []
        assert not [m for m in owner.posted if isinstance(m, BackendCallBegun)]

    run(scenario, answer("a", "x" * 90)[:-50] + b"cut")


def test_a_large_held_answer_arrives_whole_and_in_order():
    body = "".join(chr(97 + number % 26) * 1_000 for number in range(300))

    async def scenario(owner, server):
        assert (await owner.run("a")).is_whole
        carriers = owner.courier.carriers
        sent = carriers[0].body + b"".join(part.data for part in carriers[1:])
        assert sent == body.encode()

    run(scenario, answer("a", body))


def test_an_answer_given_at_the_end_of_its_time_is_passed_on():
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(BUDGET_MS / 1000)
        writer.write(answer("a", "too late", 504))
        await reader.read()

    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        owner = Owner(address)
        await server.start()
        try:
            assert (await owner.run("a", BUDGET_MS)).is_whole
            assert owner.bodies() == [b"too late"]
        finally:
            owner.pool.close()
            await server.close()

    asyncio.run(main())
