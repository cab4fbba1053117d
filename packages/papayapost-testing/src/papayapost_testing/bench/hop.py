"""CPU time of each step that a node runs for a call.

In-memory transports replace the sockets, so that the figures cover the node's
own code alone. The latency benchmark includes the operating system's share.
"""

import asyncio
import gc
import sys
import time
from collections.abc import Callable

from papayapost.ids import (
    Address,
    AttemptId,
    CallId,
    ConnectionEpoch,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.kernel import World
from papayapost.states import Rank
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
)
from papayapost_node.batch import NoBatching
from papayapost_node.clock import SystemClock
from papayapost_node.exchange import (
    EntrySide,
    NodeCarrierDelivery,
    OwnerSide,
    WindowBudget,
)
from papayapost_node.http import (
    AnswerReading,
    AnswerSink,
    BackendConnection,
    BackendPool,
    Headers,
    HttpAnswer,
    HttpRequest,
    SharedLimits,
    StreamingServer,
    Turns,
    WholeRequestServer,
)
from papayapost_node.http.server_connection import ServerConnection
from papayapost_node.runner import WorldRunner
from papayapost_node.wire import (
    MESSAGE_NUMBERS,
    AnswerCarrier,
    MessagePackCodec,
    OfferCarrier,
    RequestHead,
)
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.traffic_worlds import backend_row, traffic_world

__all__ = ["run"]

_ADDRESS = Address("127.0.0.1:9")
_REQUEST = b"GET /gusts/wanli?now HTTP/1.1\r\nhost: wind.example\r\n\r\n"
_BODY = b"." * 256
_ANSWER_HEADERS: Headers = [
    (b"content-type", b"text/plain"),
    (b"content-length", b"256"),
]
_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 256\r\n\r\n"
    + _BODY
)
_RULES = "route GET /* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"
_NODE = NodeId("n1")
_ROUNDS = 7
_BUFFER = memoryview(bytearray(4_096))


class _MemoryTransport(asyncio.Transport):
    """In-memory transport that counts the bytes written to it."""

    def __init__(self):
        super().__init__()
        self.written_bytes = 0

    def write(self, data) -> None:
        self.written_bytes += len(data)

    def is_closing(self) -> bool:
        return False

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        raise AssertionError("the server aborted the benchmark's connection")


class _DiscardingSink(AnswerSink):
    def informational_received(self, status: int, headers: Headers) -> None:
        pass

    def answer_begun(self, status: int, headers: Headers) -> AnswerReading:
        return AnswerReading.STREAMED

    def answer_received(self, data: bytes) -> None:
        pass

    def answer_ended(self, trailers: Headers) -> None:
        pass

    def read_ended(self) -> None:
        pass

    def answer_failed(self, reason: str) -> None:
        raise AssertionError(reason)

    def request_writable(self) -> None:
        pass


class _MemoryPool(BackendPool):
    """Pool of one connection to a backend server, answered in memory."""

    def __init__(self, batch):
        super().__init__(_ADDRESS, 1, batch)
        self._connection = BackendConnection(lambda connection: None, batch, _BUFFER)
        self._connection.connection_made(_MemoryTransport())

    def acquire(self, on_ready, is_suitable=lambda idle: True) -> None:
        on_ready(self._connection)

    def answer(self) -> None:
        self._connection.data_received(_ANSWER)


def run(short: bool) -> list[BenchRow]:
    """Return the CPU time of each step in µs, as the minimum of all rounds.

    Parameters
    ----------
    short
        Run fewer repetitions in each round.
    """
    return asyncio.run(_run(300 if short else 3_000))


async def _run(repetitions: int) -> list[BenchRow]:
    steps = {
        "h11, take a request and write its answer": _server_step(),
        "h11, write a request and take its answer": _client_step(),
        "ticks of a call, own backend server": _tick_step(),
        "codec, encode and decode an offer": _codec_step(_offer()),
        "codec, encode and decode an answer": _codec_step(_answer()),
        "one node, all of its own code": _node_step(),
    }
    return [
        BenchRow(name, repetitions, _minimum_us(step, repetitions), "us")
        for name, step in steps.items()
    ]


def _minimum_us(step: Callable[[], None], repetitions: int) -> float:
    minimum_us = float("inf")
    for _ in range(_ROUNDS):
        gc.collect()
        start_ns = time.process_time_ns()
        for _ in range(repetitions):
            step()
        elapsed_ns = time.process_time_ns() - start_ns
        minimum_us = min(minimum_us, elapsed_ns / repetitions / 1_000)
    return minimum_us


def _server_step() -> Callable[[], None]:
    answer = HttpAnswer(200, _ANSWER_HEADERS, _BODY)
    server_part = WholeRequestServer(_ADDRESS, lambda call: call.answer(answer))
    server = StreamingServer(_ADDRESS, server_part, shared=_shared_limits())
    connection = ServerConnection(server)
    connection.connection_made(_MemoryTransport())
    return lambda: connection.data_received(_REQUEST)


def _shared_limits() -> SharedLimits:
    # The event loop makes no pass between two repetitions.
    return SharedLimits(turns=Turns(units_per_pass=sys.maxsize))


def _client_step() -> Callable[[], None]:
    connection = BackendConnection(lambda connection: None, NoBatching(), _BUFFER)
    connection.connection_made(_MemoryTransport())
    request = HttpRequest("GET", "/gusts/wanli?now", [(b"host", b"wind.example")])
    sink = _DiscardingSink()

    def step() -> None:
        connection.start(sink, request, True, 1.0)
        connection.data_received(_ANSWER)

    return step


def _world() -> World:
    own = backend_row(_NODE, "gusts", slots=8)
    return traffic_world(own, rules=_RULES).world


def _tick_step() -> Callable[[], None]:
    world = _world()
    clock = SystemClock()
    number = 0

    def step() -> None:
        nonlocal number
        number += 1
        arrived = CallArrived(CallId(number), "GET", "wind.example", "/gusts/wanli")
        effects = world.tick(clock.now_us(), [arrived])
        attempt_id = next(e.attempt_id for e in effects if type(e) is BackendCallStart)
        ended = [
            BackendCallBegun(attempt_id, 200),
            BackendCallEnded(attempt_id, True, True),
            AnswerBegun(_NODE, attempt_id, 200, 8),
            AnswerEnded(_NODE, attempt_id, True, 256),
        ]
        world.tick(clock.now_us(), ended)

    return step


def _node_step() -> Callable[[], None]:
    world = _world()
    runner = WorldRunner(world, SystemClock())
    carrier_delivery = NodeCarrierDelivery(Address(f"{_NODE}:1"), _accept_message)
    budget = WindowBudget(1 << 20)
    entry = EntrySide(_NODE, carrier_delivery, runner.post, budget)
    pool = _MemoryPool(runner)
    owner = OwnerSide(_NODE, pool, carrier_delivery, runner.post, lambda: 0, budget)
    for side in (entry, owner):
        carrier_delivery.add_handlers(side.carriers())
        runner.add_handlers(side.handlers())
    server = StreamingServer(_ADDRESS, entry, batch=runner, shared=_shared_limits())
    connection = ServerConnection(server)
    transport = _MemoryTransport()
    connection.connection_made(transport)

    def step() -> None:
        written = transport.written_bytes
        connection.data_received(_REQUEST)
        pool.answer()
        assert transport.written_bytes > written + len(_BODY)

    return step


def _accept_message(address: Address, message: object, on_dropped: object) -> bool:
    return True


def _codec_step(message: object) -> Callable[[], None]:
    codec = MessagePackCodec(MESSAGE_NUMBERS)

    def step() -> None:
        codec.decode(codec.encode(message))

    return step


def _offer() -> OfferCarrier:
    offer = AttemptOffer(
        sender=_NODE,
        reply_to=_ADDRESS,
        attempt_id=AttemptId("n1/5f3a2b1c/1a2b"),
        epoch=ConnectionEpoch(1),
        service=ServiceName("gusts"),
        rank=Rank.URGENT,
        idempotent=True,
        budget_us=Micros(1_000_000),
        idempotency_key=None,
    )
    headers = [(b"host", b"wind.example")]
    head = RequestHead("GET", "/gusts/wanli?now", headers)
    return OfferCarrier(_NODE, offer, head, b"", True, 65_536)


def _answer() -> AnswerCarrier:
    attempt_id = AttemptId("n1/5f3a2b1c/1a2b")
    return AnswerCarrier(
        _NODE, attempt_id, 200, _ANSWER_HEADERS, _BODY, True, True, 3, []
    )
