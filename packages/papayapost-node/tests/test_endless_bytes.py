"""Tests backend servers that send bytes without end.

Such bytes may be no answer at all, or an answer that never ends. They must
not hold a slot, memory or the event loop for longer than the call lasts.
"""

import asyncio
import tracemalloc
from itertools import repeat

import pytest

from papayapost.ids import Address, AttemptId, InstanceId, Micros, NodeId
from papayapost.traffic import BackendCallEnded
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
from papayapost_node.http import AnswerReading, AnswerSink, BackendPool, HttpRequest
from papayapost_node.wire import AnswerCarrier, AnswerPart, InterimAnswer
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer

ATTEMPT_ID = AttemptId("n1/1")
NOT_ANSWERED = BackendCallEnded(ATTEMPT_ID, True, False)
REFUSED = BackendCallEnded(ATTEMPT_ID, True, False, is_refused=True)
LONG_BUDGET_MS = 20_000
SHORT_BUDGET_MS = 100
WINDOW_BYTES = 1 << 20
HOLD_BYTES = 1 << 20
PIECE = bytes(1 << 16)


class StatusDialect(NativeDialect):
    """Judges an answer by its status, or as foreign by a header."""

    def judge_answer(self, request, status, answer):
        verdicts = {
            299: AnswerVerdict.BROKEN,
            298: AnswerVerdict.FOREIGN,
            503: AnswerVerdict.NOT_RUN,
        }
        if (b"x-foreign", b"1") in answer:
            return AnswerVerdict.FOREIGN
        return verdicts.get(status, AnswerVerdict.ANSWER)


class RecordingDelivery(CarrierDelivery):
    def __init__(self):
        self.carriers: list = []

    def deliver(self, address, carrier, on_dropped=None):
        self.carriers.append(carrier)
        return True


class CountingSink(AnswerSink):
    """Counts the pieces of one answer."""

    def __init__(self):
        self.pieces = 0
        self.ended = asyncio.Event()

    def informational_received(self, status, headers):
        raise AssertionError("no informational answer was sent")

    def answer_begun(self, status, headers):
        return AnswerReading.STREAMED

    def answer_received(self, data):
        self.pieces += 1

    def answer_ended(self, trailers):
        self.ended.set()

    def read_ended(self):
        pass

    def answer_failed(self, reason):
        raise AssertionError(reason)

    def request_writable(self):
        pass


class Owner:
    """Runs backend calls and records what they post and deliver."""

    def __init__(self, address: Address, hold_bytes: int):
        self.pool = BackendPool(address, 2, NoBatching())
        self.carrier_delivery = RecordingDelivery()
        self.posted: list = []
        self.finished = asyncio.Event()
        self.services = OwnerServices(
            NodeId("n1"),
            self.carrier_delivery,
            self.posted.append,
            lambda: 1,
            WindowBudget(WINDOW_BYTES),
            lambda attempt_id: self.finished.set(),
            StatusDialect(),
            lambda: InstanceId("i-1"),
            hold_bytes,
        )

    async def run(self, budget_ms: int) -> BackendCallEnded:
        self.finished.clear()
        call = BackendCall(owned_request(), Micros(budget_ms * 1_000), self.services)
        self.pool.acquire(call.connection_ready)
        await self.finished.wait()
        return next(m for m in self.posted if isinstance(m, BackendCallEnded))

    def delivered(self, kind: type) -> list:
        return [c for c in self.carrier_delivery.carriers if isinstance(c, kind)]


def owned_request() -> OwnedRequest:
    request = HttpRequest("GET", "/", [(b"host", b"a")])
    entry = Address("127.0.0.1:1")
    return OwnedRequest(ATTEMPT_ID, entry, request, True, WINDOW_BYTES)


def run_calls(scenario, script, hold_bytes: int = HOLD_BYTES) -> None:
    async def main():
        (address,) = free_addresses(1)
        server = ScriptedServer(address, script)
        owner = Owner(address, hold_bytes)
        await server.start()
        try:
            async with asyncio.timeout(5):
                await scenario(owner, server)
        finally:
            owner.pool.close()
            await server.close()

    asyncio.run(main())


def sending(start: bytes, repeated: bytes = b"", pause_s: float = 0):
    """Return a script that sends `start`, then `repeated` without end.

    The connection stays open until the node closes it.
    """

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while repeated:
            writer.write(repeated)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        assert await reader.read() == b""

    return script


def chunk(size_bytes: int, extension: bytes = b"") -> bytes:
    return b"%x%b\r\n%b\r\n" % (size_bytes, extension, b"x" * size_bytes)


def head(status: int, framing: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%b\r\n" % (status, framing)


CHUNKED = b"transfer-encoding: chunked\r\n"


@pytest.mark.parametrize(
    "received",
    [
        b"g",
        b"HTTP/1.1 2x",
        b"HTTP/x",
        b"HTTP/1.1 2000",
        b"\x00" * 20,
        b"no answer\r\nnor this\r\n",
        b"HTTP/1.1 200 OK\r\nno colon",
        b"HTTP/1.1 200 OK\r\nx: y\r\n\x00",
        b"HTTP/1.1 200 OK\r\nx: y\x00",
        b"HTTP/1.1 200 OK\r\nnocolon\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\ngarbage",
        b"HTTP/1.1 298 X\r\ncontent-length: 1\r\n\r\naHTTP/1.1 2x",
    ],
)
def test_bytes_that_begin_no_answer_do_not_hold_a_slot_until_the_deadline(received):
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()
        assert not owner.delivered(AnswerCarrier)

    run_calls(scenario, sending(received))


@pytest.mark.parametrize("sent", [b"x", b"x: y\r\n", b"x-" + b"y" * 500, b" "])
def test_a_head_without_end_is_read_up_to_a_limit(sent):
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()

    run_calls(scenario, sending(b"HTTP/1.1 200 OK\r\nx: y\r\n", sent * 50))


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 \r\ncontent-length:2\r\nx:\ty \xff\r\n folded\r\n\r\nok",
        b"HTTP/1.1 200\ncontent-length: 2\n\nok",
        b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nx-" + b"y" * 400 + b": z\r\ncontent-length: 2\r\n\r\nok",
    ],
)
def test_an_answer_that_arrives_byte_by_byte_is_accepted(answer):
    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for byte in answer:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        await reader.read()

    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        assert owner.delivered(AnswerCarrier)[0].body == b"ok"

    run_calls(scenario, script)


def test_informational_answers_without_end_are_not_read_until_the_deadline():
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()
        assert len(owner.delivered(InterimAnswer)) <= 32

    run_calls(scenario, sending(b"", head(102) * 1_000))


def test_an_answer_behind_some_informational_answers_is_accepted():
    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        assert len(owner.delivered(InterimAnswer)) == 32

    run_calls(scenario, sending(head(102) * 32 + head(200, b"content-length: 0\r\n")))


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (head(298), b""),
        (head(298), PIECE),
        (head(298, CHUNKED), chunk(60_000)),
        (head(298, b"content-length: 99999999999\r\n"), PIECE),
        (b"", head(298, b"content-length: 1\r\n") + b"x"),
    ],
)
def test_a_foreign_answer_without_end_does_not_hold_a_slot_until_the_deadline(
    start, repeated
):
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()
        assert not owner.delivered(AnswerCarrier)

    run_calls(scenario, sending(start, repeated))


@pytest.mark.parametrize(("status", "ended"), [(503, REFUSED), (299, NOT_ANSWERED)])
@pytest.mark.parametrize(
    ("framing", "repeated", "pause_s"),
    [
        (b"", b"", 0),
        (b"", b"x", 0.01),
        (b"", PIECE, 0),
        (CHUNKED, chunk(1), 0.01),
        (b"content-length: 99999999999\r\n", b"", 0),
    ],
)
def test_an_unused_body_without_end_does_not_hold_a_slot_until_the_deadline(
    status, ended, framing, repeated, pause_s
):
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == ended
        await server.ended.wait()
        assert not owner.delivered(AnswerCarrier)

    run_calls(scenario, sending(head(status, framing), repeated, pause_s))


@pytest.mark.parametrize("hold_bytes", [0, 1 << 16])
@pytest.mark.parametrize(
    ("framing", "repeated", "pause_s"),
    [
        (b"", PIECE, 0),
        (b"", b"x", 0.01),
        (CHUNKED, chunk(60_000), 0),
        (CHUNKED, chunk(1), 0.01),
        (CHUNKED, chunk(1) * 1_000, 0),
    ],
)
def test_an_answer_of_unknown_length_ends_at_the_deadline(
    hold_bytes, framing, repeated, pause_s
):
    async def scenario(owner, server):
        assert await owner.run(SHORT_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()
        parts = owner.delivered(AnswerPart)
        assert not any(part.is_ended and part.is_whole for part in parts)
        assert not any(
            h.is_ended and h.is_whole for h in owner.delivered(AnswerCarrier)
        )

    run_calls(scenario, sending(head(200, framing), repeated, pause_s), hold_bytes)


def test_chunk_extensions_without_end_are_not_read_until_the_deadline():
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()

    extension = b";" + b"e" * 10_000
    run_calls(scenario, sending(head(200, CHUNKED), chunk(1, extension)))


@pytest.mark.parametrize("repeated", [b"t: u\r\n", b"t"])
def test_trailers_without_end_are_read_up_to_a_limit(repeated):
    async def scenario(owner, server):
        assert await owner.run(LONG_BUDGET_MS) == NOT_ANSWERED
        await server.ended.wait()

    run_calls(scenario, sending(head(200, CHUNKED) + b"0\r\n", repeated * 100))


@pytest.mark.parametrize("is_behind_answer", [False, True])
def test_bytes_without_end_behind_an_answer_close_the_connection(is_behind_answer):
    answer = head(200, b"content-length: 2\r\n") + b"ok"

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer + b"more" * is_behind_answer)
        for piece in repeat(PIECE):
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(piece)

    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        await server.ended.wait()
        assert owner.delivered(AnswerCarrier)[0].body == b"ok"
        while owner.pool.open_connections:
            await asyncio.sleep(0)
        owner.posted.clear()
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        assert server.connections == 2

    run_calls(scenario, script)


@pytest.mark.parametrize("framing", [b"content-length: 8000\r\n", CHUNKED])
def test_an_answer_behind_some_foreign_answers_is_accepted(framing):
    foreign = head(298, framing) + (
        chunk(8_000) + b"0\r\n\r\n" if framing is CHUNKED else b"x" * 8_000
    )

    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        assert [h.body for h in owner.delivered(AnswerCarrier)] == [b"mine"]

    mine = head(200, b"content-length: 4\r\n") + b"mine"
    run_calls(scenario, sending(head(298, b"content-length: 0\r\n") + foreign + mine))


def test_a_foreign_answer_without_a_body_is_skipped():
    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        assert [h.body for h in owner.delivered(AnswerCarrier)] == [b"mine"]

    mine = head(200, b"content-length: 4\r\n") + b"mine"
    run_calls(scenario, sending(head(204, b"x-foreign: 1\r\n") + mine))


def test_a_long_answer_with_small_or_signed_chunks_is_accepted():
    signed = chunk(200, b";signature=" + b"s" * 64) * 4_000
    body = signed + chunk(1) * 20_000 + b"0\r\n\r\n"

    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole

    run_calls(scenario, sending(head(200, CHUNKED) + body), 4 << 20)


def test_chunks_of_one_byte_are_sent_together_to_the_entry_node():
    async def scenario(owner, server):
        assert (await owner.run(LONG_BUDGET_MS)).is_whole
        carriers = owner.carrier_delivery.carriers
        assert len(carriers) < 100
        body = carriers[0].body + b"".join(part.data for part in carriers[1:])
        assert body == b"x" * 50_000

    body = chunk(1) * 50_000 + b"0\r\n\r\n"
    run_calls(scenario, sending(head(200, CHUNKED) + body), 0)


def test_a_held_answer_of_tiny_pieces_takes_no_more_memory_than_its_bytes():
    async def scenario(owner, server):
        call = BackendCall(owned_request(), Micros(1_000_000), owner.services)
        call.answer_begun(200, [])
        tracemalloc.start()
        for number in range(60_000):
            call.answer_received(number.to_bytes(2, "big"))
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert held_bytes < 200_000

    run_calls(scenario, sending(b""))


def test_tiny_chunks_do_not_keep_the_event_loop_from_other_connections():
    async def scenario(owner, server):
        sink = CountingSink()

        def connection_ready(connection):
            request = HttpRequest("GET", "/", [(b"host", b"a")])
            connection.start(sink, request, True, LONG_BUDGET_MS / 1_000)

        owner.pool.acquire(connection_ready)
        most = before = 0
        while not sink.ended.is_set():
            await asyncio.sleep(0)
            most, before = max(most, sink.pieces - before), sink.pieces
        assert sink.pieces >= 20_000
        assert most <= 600

    body = chunk(1) * 20_000 + b"0\r\n\r\n"
    run_calls(scenario, sending(head(200, CHUNKED) + body))
