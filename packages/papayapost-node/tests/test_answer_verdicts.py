"""Tests backend calls with answers that are late, extra, broken or refused."""

import asyncio

from papayapost.ids import Address, AttemptId, InstanceId, Micros, NodeId
from papayapost.traffic import BackendCallBegun, BackendCallEnded
from papayapost_node.batch import NoBatching
from papayapost_node.exchange import (
    AnswerVerdict,
    CarrierDelivery,
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
ATTEMPT_ID = AttemptId("n1/1")
BUDGET_MS = 200


class NameCheckingDialect(NativeDialect):
    """Judges answers by the `x-name` header and the status.

    An answer belongs to the request with the same `x-name`. Status 503 says
    that the request did not run, and 299 that the answer is unusable.
    """

    def judge_answer(self, request, status, answer):
        answer_headers = dict(answer)
        if answer_headers.get(b"x-name") != dict(request)[b"x-name"]:
            return AnswerVerdict.FOREIGN
        if status == 503:
            return AnswerVerdict.NOT_RUN
        return AnswerVerdict.BROKEN if status == 299 else AnswerVerdict.ANSWER


class RecordingDelivery(CarrierDelivery):
    def __init__(self):
        self.carriers: list = []

    def deliver(self, address, carrier, on_dropped=None):
        self.carriers.append(carrier)
        return True


class Owner:
    """Runs backend calls and records what they post and deliver."""

    def __init__(self, address: Address):
        self.pool = BackendPool(address, 2, NoBatching())
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
            NameCheckingDialect(),
            lambda: InstanceId("i-1"),
            1 << 20,
        )

    async def run(self, name: str, budget_ms: int = 3_000) -> BackendCallEnded:
        headers = [(b"host", b"a"), (b"x-name", name.encode())]
        request = HttpRequest("GET", "/", headers)
        owned = OwnedRequest(ATTEMPT_ID, ENTRY, request, True, 1 << 20)
        call = BackendCall(owned, Micros(budget_ms * 1_000), self.services)
        self.pool.acquire(call.connection_ready)
        await self.finished.get()
        return next(m for m in self.posted if isinstance(m, BackendCallEnded))

    def bodies(self) -> list[bytes]:
        heads = [
            c for c in self.carrier_delivery.carriers if isinstance(c, AnswerCarrier)
        ]
        return [head.body for head in heads]


def answer_bytes(name: str, body: str, status: int = 200) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nx-name: {name}\r\ncontent-length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


def run_scenario(scenario, *answers: bytes) -> None:
    async def script(reader, writer):
        remaining_answers = list(answers)
        while remaining_answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining_answers.pop(0))
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


def test_an_answer_to_another_request_is_skipped():
    async def scenario(owner, server):
        assert await owner.run("b") == BackendCallEnded(
            ATTEMPT_ID, True, True, answer_bytes=4
        )
        assert owner.bodies() == [b"mine"]

    run_scenario(scenario, answer_bytes("a", "late") + answer_bytes("b", "mine"))


def test_an_extra_answer_is_not_taken_for_the_answer_to_the_next_request():
    async def scenario(owner, server):
        await owner.run("a")
        owner.posted.clear()
        await owner.run("b")
        assert owner.bodies() == [b"one", b"two"]

    run_scenario(
        scenario,
        answer_bytes("a", "one"),
        answer_bytes("a", "extra") + answer_bytes("b", "two"),
    )


def test_the_outcome_is_unknown_if_only_another_requests_answer_arrives():
    async def scenario(owner, server):
        ended = await owner.run("b", budget_ms=100)
        assert ended == BackendCallEnded(ATTEMPT_ID, True, False)
        assert owner.bodies() == []

    run_scenario(scenario, answer_bytes("a", "late"))


def test_an_answer_with_the_verdict_not_run_refuses_the_attempt():
    async def scenario(owner, server):
        ended = await owner.run("a")
        assert ended == BackendCallEnded(ATTEMPT_ID, True, False, is_refused=True)
        assert owner.bodies() == []

    run_scenario(scenario, answer_bytes("a", "", 503))


def test_an_answer_with_the_verdict_broken_leaves_the_outcome_unknown():
    async def scenario(owner, server):
        assert await owner.run("a") == BackendCallEnded(ATTEMPT_ID, True, False)
        assert owner.bodies() == []

    run_scenario(scenario, answer_bytes("a", "forged", 299))


def test_nothing_is_sent_of_a_held_answer_that_breaks_off():
    async def scenario(owner, server):
        assert await owner.run("a") == BackendCallEnded(ATTEMPT_ID, True, False)
        assert owner.bodies() == []
        assert not [m for m in owner.posted if isinstance(m, BackendCallBegun)]

    run_scenario(scenario, answer_bytes("a", "x" * 90)[:-50] + b"cut")


def test_a_held_answer_of_many_parts_is_sent_whole_and_in_order():
    body = "".join(chr(97 + number % 26) * 1_000 for number in range(300))

    async def scenario(owner, server):
        assert (await owner.run("a")).is_whole
        carriers = owner.carrier_delivery.carriers
        sent = carriers[0].body + b"".join(part.data for part in carriers[1:])
        assert sent == body.encode()

    run_scenario(scenario, answer_bytes("a", body))


def test_an_answer_that_is_given_at_the_deadline_is_sent_on():
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(BUDGET_MS / 1000)
        writer.write(answer_bytes("a", "too late", 504))
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
