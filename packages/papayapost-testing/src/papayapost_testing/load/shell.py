"""Sends the generated calls over HTTP and judges the answers."""

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
from papayapost_testing.load.systems import GenerateCalls, KeepEntries, SettleCalls
from papayapost_testing.load.tables import CallRow, LoadTables, MixRow, Verdict

__all__ = ["LoadGenerator"]

_GIVE_UP_S = 15
_OUTCOMES = {
    Outcome.NOT_RUN.value.encode(): Verdict.NOT_RUN,
    Outcome.UNKNOWN.value.encode(): Verdict.UNKNOWN,
}


class LoadGenerator:
    """Open-loop seeded callers.

    Parameters
    ----------
    mixes
        Kinds of calls, with their weights.
    seed
        Seed of the arrivals.
    calls_before
        Calls of earlier generators, so that no idempotency key comes twice.
    """

    def __init__(self, mixes: Sequence[MixRow], seed: int, calls_before: int = 0):
        self.tables = LoadTables()
        self.tables.mixes = list(mixes)
        systems = [
            KeepEntries(self.tables),
            GenerateCalls(self.tables, calls_before),
            SettleCalls(self.tables),
        ]
        handlers: dict[type, EffectHandler] = {CallSend: self._send}
        world = World(systems, Random(seed))
        self._runner = WorldRunner(world, SystemClock(), handlers)
        self._idle: dict[Address, list[ClientConnection]] = defaultdict(list)
        self._tasks: set[asyncio.Task] = set()

    def open_entry(self, address: Address) -> None:
        """Let callers send to a node."""
        self._runner.post(EntryOpened(address))

    def close_entry(self, address: Address) -> None:
        """Let callers know that a node has gone."""
        self._runner.post(EntryClosed(address))

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate of arrivals."""
        self._runner.post(RateSet(rate_per_s))

    async def finish(self) -> None:
        """Stop the arrivals and wait until every call has ended."""
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
        is_leaving = False
        code = ""
        try:
            async with asyncio.timeout(_GIVE_UP_S):
                answer = await connection.call(_request_of(call))
            verdict = _judge(call, answer)
            code = (answer.header(b"papayapost-code") or b"").decode()
            is_leaving = (answer.header(b"connection") or b"").lower() == b"close"
        except (OSError, h11.RemoteProtocolError):
            pass
        if verdict is Verdict.WHOLE and connection.is_reusable:
            self._idle[entry].append(connection)
        else:
            connection.close()
        ended = CallEnded(call.number, verdict, is_entry_leaving=is_leaving, code=code)
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
    mix = call.mix
    headers = [
        (b"host", mix.host.encode()),
        (b"content-length", b"%d" % mix.body_bytes),
        (b"papayapost-timeout-ms", b"%d" % mix.timeout_ms),
    ]
    if call.key is not None:
        headers.append((b"idempotency-key", call.key.encode()))
    return HttpRequest(mix.method, _target_of(call), headers, bytes(mix.body_bytes))


def _target_of(call: CallRow) -> str:
    return f"{call.mix.path}?call={call.number}"


def _judge(call: CallRow, answer: HttpAnswer) -> Verdict:
    outcome = answer.header(b"papayapost-outcome")
    if outcome in _OUTCOMES:
        return _OUTCOMES[outcome]
    if not answer.is_whole:
        return Verdict.CUT
    if answer.status >= 500:
        return Verdict.UNKNOWN
    echo = f"{call.mix.method} {_target_of(call)}".encode()
    is_own = answer.body.rstrip(b".") == echo
    return Verdict.WHOLE if is_own else Verdict.FOREIGN
