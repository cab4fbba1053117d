"""Backend servers that the soak hosts: they run requests and report."""

import asyncio
import itertools
import time
from collections.abc import Callable
from random import Random

import h11

from papayapost.ids import Address, InstanceId
from papayapost_node.addresses import split_address
from papayapost_node.clock import SystemClock
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_testing.soak.http import hash_of, next_event
from papayapost_testing.soak.messages import (
    DrainAcknowledged,
    RunEnded,
    RunStarted,
    ServerCommand,
)
from papayapost_testing.soak.misbehaviours import (
    MISBEHAVIOURS,
    SOUND,
    Answer,
    AnswerSending,
)
from papayapost_testing.soak.rows import RunRow, ServerMode
from papayapost_testing.soak.wire import NodePlace, SeenRequest, Wire

__all__ = ["BackendServer"]

SLOTS = 12
_REPORT_INTERVAL_S = 1.5
_ACK_TIMEOUT_S = 1.0
_DRAIN_S = 2.5
_LAST_RUNS_S = 4.0
_LONG_STAY_S = (5.0, 8.0)
_LATE_REPORT_S = (0.2, 4.0)
_DOWNLOAD_BYTES = 150_000
_LONG_SHARE = 0.03
_FAILED_SHARE = 0.01
_GARBLED_SHARE = 0.4
_LONG_STAY_SHARE = 0.5
_UNANNOUNCED_SHARE = 0.3

_ids = itertools.count(1)


class BackendServer:
    """One backend server, which may leave or crash and return.

    Parameters
    ----------
    address
        Address on which it listens; its node reaches it at `place.server`.
    report_to
        Address at which its node takes reports.
    """

    def __init__(
        self,
        place: NodePlace,
        address: Address,
        report_to: Address,
        wire: Wire,
        random: Random,
        post: Callable[[object], None],
    ):
        self._place = place
        self._address = address
        self._report_to = report_to
        self._wire = wire
        self._random = random
        self._post = post
        self._clock = SystemClock()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._active = 0
        self._is_draining = False
        self._has_drained = False
        self._is_away = True
        self._reported = 0
        self._reporting: asyncio.Task | None = None
        self._changing: asyncio.Task | None = None
        self._server_id = InstanceId("")
        self._born_ms = 0
        self.mode = ServerMode.SOUND

    async def start(self, server_id: InstanceId | None = None) -> None:
        """Listen and report, under a new id unless one is given."""
        self._server_id = server_id or InstanceId(
            f"{self._place.node_id}-i{next(_ids)}"
        )
        self._born_ms = max(self._born_ms + 1, time.time_ns() // 1_000_000)
        self._reported, self._is_away = 0, False
        self._is_draining = self._has_drained = False
        self._server = await asyncio.start_server(
            self._serve, *split_address(self._address)
        )
        self._reporting = asyncio.create_task(self._report_regularly())

    async def close(self) -> None:
        """Stop at once, also if it is leaving or away."""
        if self._changing is not None:
            self._changing.cancel()
        await self._end()

    def command(self, command: ServerCommand, away_ms: int) -> None:
        """Leave or crash, unless it is doing so, and return later."""
        if self._is_away or self._is_draining:
            return
        step = self._leave if command is ServerCommand.LEAVE else self._crash
        self._changing = asyncio.create_task(step(away_ms / 1000))

    async def _end(self) -> None:
        self._is_away = True
        if self._reporting is not None:
            self._reporting.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _crash(self, away_s: float) -> None:
        await self._end()
        await asyncio.sleep(away_s)
        await self.start(self._server_id)

    async def _leave(self, away_s: float) -> None:
        """Drain or deregister, and stay for a while.

        A report from before arrives while it does.
        """
        late = asyncio.create_task(self._send_late(self._next_report()))
        self._tasks.add(late)
        late.add_done_callback(self._tasks.discard)
        self._is_draining = True
        is_announced = self._random.random() >= _UNANNOUNCED_SHARE
        for _ in range(8):
            if await (self._report() if is_announced else self._deregister()):
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(_DRAIN_S + self._random.uniform(0.05, 1.0))
        if self._random.random() < _LONG_STAY_SHARE:
            await asyncio.sleep(self._random.uniform(*_LONG_STAY_S))
        if is_announced:
            await self._deregister()
        due_s = time.monotonic() + _LAST_RUNS_S
        while self._active and time.monotonic() < due_s:
            await asyncio.sleep(0.02)
        await self._end()
        await asyncio.sleep(away_s)
        await self.start()

    async def _report_regularly(self) -> None:
        while True:
            # A server that has deregistered without a drain says no more.
            if self._has_drained or not self._is_draining:
                await self._report()
            await asyncio.sleep(_REPORT_INTERVAL_S * self._random.uniform(0.9, 1.1))

    async def _report(self) -> bool:
        is_draining = self._is_draining
        self._has_drained = self._has_drained or is_draining
        is_acknowledged = await self._send_report(self._next_report())
        if is_acknowledged and is_draining:
            self._note_acknowledged()
        return is_acknowledged

    async def _deregister(self) -> bool:
        farewell = self._wire.farewell(self._server_id, self._born_ms)
        is_acknowledged = await self._send_report(farewell)
        if is_acknowledged:
            self._note_acknowledged()
        return is_acknowledged

    async def _send_late(self, report: HttpRequest) -> None:
        await asyncio.sleep(self._random.uniform(*_LATE_REPORT_S))
        await self._send_report(report)

    def _next_report(self) -> HttpRequest:
        self._reported += 1
        return self._wire.report(
            self._place,
            self._server_id,
            self._born_ms,
            self._reported,
            SLOTS,
            self._is_draining,
        )

    def _note_acknowledged(self) -> None:
        acknowledged = DrainAcknowledged(
            self._server_id, self._place.node_id, self._born_ms, self._clock.now_us()
        )
        self._post(acknowledged)

    async def _send_report(self, report) -> bool:
        try:
            async with asyncio.timeout(_ACK_TIMEOUT_S):
                connection = await ClientConnection.open(self._report_to)
                try:
                    answer = await connection.call(report)
                finally:
                    connection.close()
        except (OSError, h11.RemoteProtocolError):
            return False
        return 200 <= answer.status < 300

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer) -> None:
        http = h11.Connection(h11.SERVER)
        while isinstance(head := await next_event(http, reader), h11.Request):
            headers = list(head.headers)
            seen = self._wire.read_request(headers)
            body = bytearray()
            while isinstance(event := await next_event(http, reader), h11.Data):
                body += event.data
            if not isinstance(event, h11.EndOfMessage):
                return
            is_misdirected = seen.instance not in ("", self._server_id)
            if is_misdirected or self._active >= SLOTS:
                self._refuse(http, writer, seen, is_misdirected)
            else:
                await self._run(http, writer, head, seen, bytes(body))
            await writer.drain()
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def _refuse(self, http, writer, seen: SeenRequest, is_misdirected: bool) -> None:
        status, headers = self._wire.refusal(seen.request_id, is_misdirected)
        headers.append((b"content-length", b"0"))
        writer.write(http.send(h11.Response(status_code=status, headers=headers)))
        writer.write(http.send(h11.EndOfMessage()))

    async def _run(self, http, writer, head, seen: SeenRequest, body: bytes) -> None:
        run = RunRow(
            seen.request_id,
            self._server_id,
            self._place.node_id,
            self._place.service,
            head.method.decode(),
            head.target.decode(),
            hash_of(body),
            seen.caller_service,
            self._clock.now_us(),
            account=seen.account,
            shows_key=seen.shows_key,
        )
        self._post(RunStarted(run))
        answer = self._answer_to(run)
        run.status, run.signature = answer.status, answer.signature
        behaviour: AnswerSending = SOUND
        if self.mode is ServerMode.GARBLING and self._random.random() < _GARBLED_SHARE:
            behaviour = self._random.choice(MISBEHAVIOURS)
        self._active += 1
        try:
            await asyncio.sleep(self._draw_work_s())
            run.is_broken_off = behaviour is not SOUND
            behaviour.send(http, writer, answer)
        except asyncio.CancelledError:
            run.is_broken_off = True
            raise
        finally:
            self._active -= 1
            run.ended_us = self._clock.now_us()
            self._post(RunEnded(run))

    def _answer_to(self, run: RunRow) -> Answer:
        is_download = run.target.startswith("/scan/")
        size = _DOWNLOAD_BYTES if is_download else self._random.randint(0, 2_000)
        body = f"{run.request_id} {run.server_id} ".encode() + self._random.randbytes(
            size
        )
        is_failed = self._random.random() < _FAILED_SHARE
        # A signature that covers the body shows a caller a mixed-up answer.
        signature = f"{run.server_id}.{hash_of(body)}"
        headers = self._wire.answer_headers(run.request_id, signature)
        return Answer(500 if is_failed else 200, headers, body, signature)

    def _draw_work_s(self) -> float:
        if self._random.random() < _LONG_SHARE:
            work_s = self._random.uniform(0.5, 1.5)
        else:
            work_s = self._random.uniform(0.01, 0.12)
        is_slow = self.mode is ServerMode.SLOW
        return work_s * 8 if is_slow else work_s
