"""Sends the generated calls over HTTP and classifies the answers."""

import asyncio
from collections import defaultdict
from collections.abc import Sequence
from random import Random

import h11

from papayapost.ids import Address
from papayapost.kernel import World
from papayapost.states import Outcome
from papayapost_node.clock import SystemClock
from papayapost_node.http import ClientConnection, HttpAnswer, HttpRequest
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.load.messages import (
    CallEnded,
    CallSend,
    EntryClosed,
    EntryOpened,
    RateSet,
)
from papayapost_testing.load.systems import (
    CompleteCalls,
    GenerateCalls,
    TrackEntryNodes,
)
from papayapost_testing.load.tables import CallRow, CallTypeRow, LoadTables, Verdict

__all__ = ["LoadGenerator"]

_ANSWER_TIMEOUT_S = 15
_VERDICT_BY_OUTCOME = {
    Outcome.NOT_RUN.value.encode(): Verdict.NOT_RUN,
    Outcome.UNKNOWN.value.encode(): Verdict.UNKNOWN,
}


class LoadGenerator:
    """Sends calls at random times, whether or not earlier ones have ended.

    All random choices come from one random number generator with a fixed seed.

    Parameters
    ----------
    call_types
        Kinds of calls to send, with their weights.
    seed
        Seed of the random arrival times, call types and entry nodes.
    calls_before
        Number of calls that earlier generators sent. The numbers of new calls
        continue from it, so that no idempotency key is used twice.
    """

    def __init__(
        self, call_types: Sequence[CallTypeRow], seed: int, calls_before: int = 0
    ):
        self.tables = LoadTables()
        self.tables.call_types = list(call_types)
        systems = [
            TrackEntryNodes(self.tables),
            GenerateCalls(self.tables, calls_before),
            CompleteCalls(self.tables),
        ]
        handlers: dict[type, EffectHandler] = {CallSend: self._send}
        world = World(systems, Random(seed))
        self._runner = WorldRunner(world, SystemClock(), handlers)
        self._idle: dict[Address, list[ClientConnection]] = defaultdict(list)
        self._tasks: set[asyncio.Task] = set()

    def open_entry(self, address: Address) -> None:
        """Let callers send calls to a node."""
        self._runner.post(EntryOpened(address))

    def close_entry(self, address: Address) -> None:
        """Let callers send no further calls to a node."""
        self._runner.post(EntryClosed(address))

    def set_rate(self, rate_per_s: float) -> None:
        """Set the rate of arrivals, in calls per second."""
        self._runner.post(RateSet(rate_per_s))

    async def finish(self) -> None:
        """Stop the arrivals, wait until every call has ended and close."""
        self._runner.post(RateSet(0))
        await asyncio.sleep(0)
        while self._tasks:
            await asyncio.wait(self._tasks)
            await asyncio.sleep(0)
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._runner.close()

    def _send(self, effect: CallSend) -> None:
        task = asyncio.get_running_loop().create_task(self._run(effect.call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, call: CallRow) -> None:
        entry = call.entry
        assert entry is not None
        try:
            connection = await self._connect(entry)
        except OSError:
            ended = CallEnded(call.number, Verdict.NO_ANSWER, is_entry_refused=True)
            self._runner.post(ended)
            return
        verdict = Verdict.NO_ANSWER
        is_closing = False
        code = ""
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await connection.call(_request_of(call))
            verdict = _classify_answer(call, answer)
            code = (answer.header(b"papayapost-code") or b"").decode()
            is_closing = (answer.header(b"connection") or b"").lower() == b"close"
        except (OSError, h11.RemoteProtocolError):
            pass
        if verdict is Verdict.WHOLE and connection.is_reusable:
            self._idle[entry].append(connection)
        else:
            connection.close()
        ended = CallEnded(call.number, verdict, is_entry_closing=is_closing, code=code)
        self._runner.post(ended)

    async def _connect(self, address: Address) -> ClientConnection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return await ClientConnection.open(address)


def _request_of(call: CallRow) -> HttpRequest:
    call_type = call.call_type
    headers = [
        (b"host", call_type.host.encode()),
        (b"content-length", b"%d" % call_type.body_bytes),
        (b"papayapost-timeout-ms", b"%d" % call_type.timeout_ms),
    ]
    if call.key is not None:
        headers.append((b"idempotency-key", call.key.encode()))
    return HttpRequest(
        call_type.method, _target_of(call), headers, bytes(call_type.body_bytes)
    )


def _target_of(call: CallRow) -> str:
    return f"{call.call_type.path}?call={call.number}"


def _classify_answer(call: CallRow, answer: HttpAnswer) -> Verdict:
    outcome = answer.header(b"papayapost-outcome")
    if outcome in _VERDICT_BY_OUTCOME:
        return _VERDICT_BY_OUTCOME[outcome]
    if not answer.is_whole:
        return Verdict.CUT
    if answer.status >= 500:
        return Verdict.UNKNOWN
    echo = f"{call.call_type.method} {_target_of(call)}".encode()
    echoes_call = answer.body.rstrip(b".") == echo
    return Verdict.WHOLE if echoes_call else Verdict.WRONG_ANSWER
