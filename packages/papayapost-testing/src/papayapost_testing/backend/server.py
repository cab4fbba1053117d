"""The HTTP face of the backend server stand-in.

Paths of its own: ``PUT /behaviour`` takes the fields of `BehaviourRow` as
JSON, ``GET /counts`` answers those of `CountsRow`, ``GET /health`` those of
`HealthRow`, and ``GET /keys`` how often each idempotency key was run.
"""

import itertools
from random import Random

import msgspec

from papayapost.ids import Address, IdempotencyKey, Micros
from papayapost.kernel import World
from papayapost_node.clock import SystemClock
from papayapost_node.http import HttpAnswer, HttpServer, ServerCall
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.backend.messages import (
    BehaviourSet,
    HealthDue,
    Refusal,
    RequestCancelled,
    RequestTaken,
    RunFinished,
)
from papayapost_testing.backend.systems import (
    ChangeBehaviour,
    EndRuns,
    ReportHealth,
    StartRuns,
)
from papayapost_testing.backend.tables import (
    BackendTables,
    BehaviourRow,
    CountsRow,
    RunNumber,
)

__all__ = ["BackendServerStandIn"]


class BackendServerStandIn:
    """A backend server with slots.

    Parameters
    ----------
    address
        Where it takes HTTP requests.
    behaviour
        How it behaves until it is told otherwise.
    """

    def __init__(self, address: Address, behaviour: BehaviourRow | None = None):
        self.tables = BackendTables(behaviour or BehaviourRow())
        self._server = HttpServer(address, self._take, self._gone)
        self._numbers = itertools.count(1)
        self._calls: dict[RunNumber, ServerCall] = {}
        self._number_of: dict[int, RunNumber] = {}
        self._runner: WorldRunner | None = None

    @property
    def counts(self) -> CountsRow:
        """What happened so far."""
        return self.tables.counts

    async def start(self) -> None:
        """Listen."""
        systems = [
            ChangeBehaviour(self.tables),
            EndRuns(self.tables),
            StartRuns(self.tables),
            ReportHealth(self.tables),
        ]
        handlers: dict[type, EffectHandler] = {
            RunFinished: self._finish,
            Refusal: self._refuse,
        }
        world = World(systems, Random(0))
        self._runner = WorldRunner(world, SystemClock(), handlers)
        self._runner.post(HealthDue())
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()
        if self._runner is not None:
            self._runner.close()

    def behave(self, behaviour: BehaviourRow) -> None:
        """Behave like this from now on."""
        self._post(BehaviourSet(behaviour))

    def _take(self, call: ServerCall) -> None:
        target = call.request.target
        if target == "/counts":
            call.answer(HttpAnswer(200, [], msgspec.json.encode(self.counts)))
        elif target == "/keys":
            call.answer(HttpAnswer(200, [], msgspec.json.encode(self.tables.keys)))
        elif target == "/health":
            body = msgspec.json.encode(self.tables.health)
            call.answer(HttpAnswer(200, [], body))
        elif target == "/behaviour":
            self.behave(msgspec.json.decode(call.request.body, type=BehaviourRow))
            call.answer(HttpAnswer(200))
        else:
            self._take_request(call)

    def _take_request(self, call: ServerCall) -> None:
        number = RunNumber(next(self._numbers))
        self._calls[number] = call
        self._number_of[id(call)] = number
        headers = dict(call.request.headers)
        key = headers.get(b"idempotency-key")
        budget_ms = headers.get(b"papayapost-timeout-ms", b"")
        self._post(
            RequestTaken(
                number,
                IdempotencyKey(key.decode("latin-1")) if key else None,
                Micros(int(budget_ms) * 1_000) if budget_ms.isdigit() else None,
            )
        )

    def _gone(self, call: ServerCall) -> None:
        number = self._number_of.pop(id(call), None)
        if number is not None:
            del self._calls[number]
            self._post(RequestCancelled(number))

    def _finish(self, effect: RunFinished) -> None:
        call = self._calls[effect.number]
        request = call.request
        body = f"{request.method} {request.target}".encode()
        if effect.answer_bytes:
            body = body.ljust(effect.answer_bytes, b".")
        headers = [(b"content-type", b"text/plain")]
        self._answer(effect.number, HttpAnswer(200, headers, body))

    def _refuse(self, effect: Refusal) -> None:
        self._answer(effect.number, HttpAnswer(503))

    def _answer(self, number: RunNumber, answer: HttpAnswer) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            del self._number_of[id(call)]
            call.answer(answer)

    def _post(self, message: object) -> None:
        if self._runner is not None:
            self._runner.post(message)
