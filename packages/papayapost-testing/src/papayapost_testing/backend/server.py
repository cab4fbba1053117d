"""HTTP server of the backend server stand-in.

Control paths, all with JSON bodies: ``PUT /behaviour`` takes the fields of
`BehaviourRow`, ``GET /counts`` returns those of `CountsRow`, ``GET /health``
those of `HealthRow`, and ``GET /keys`` the number of runs for each
idempotency key. A request for any other path uses a slot.
"""

import itertools
from random import Random

import msgspec

from papayapost.ids import Address, IdempotencyKey, Micros
from papayapost.kernel import World
from papayapost_node.clock import SystemClock
from papayapost_node.http import HttpAnswer, ServerCall, WholeRequestServer
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.backend.messages import (
    AnswerRequest,
    BehaviourSet,
    HealthUpdateDue,
    RefuseRequest,
    RequestCancelled,
    RequestReceived,
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
    """A backend server that runs a limited number of requests at a time.

    Parameters
    ----------
    address
        Address on which it accepts HTTP requests.
    behaviour
        Behaviour until `set_behaviour` or ``PUT /behaviour`` changes it.
    """

    def __init__(self, address: Address, behaviour: BehaviourRow | None = None):
        self.tables = BackendTables(behaviour or BehaviourRow())
        self._server = WholeRequestServer(
            address, self._handle_call, self._on_disconnect
        )
        self._numbers = itertools.count(1)
        self._calls: dict[RunNumber, ServerCall] = {}
        self._number_of: dict[int, RunNumber] = {}
        self._runner: WorldRunner | None = None

    @property
    def counts(self) -> CountsRow:
        """Counts of requests so far."""
        return self.tables.counts

    async def start(self) -> None:
        """Start to accept requests."""
        systems = [
            ChangeBehaviour(self.tables),
            EndRuns(self.tables),
            StartRuns(self.tables),
            ReportHealth(self.tables),
        ]
        handlers: dict[type, EffectHandler] = {
            AnswerRequest: self._answer_request,
            RefuseRequest: self._refuse,
        }
        world = World(systems, Random(0))
        self._runner = WorldRunner(world, SystemClock(), handlers)
        self._runner.post(HealthUpdateDue())
        await self._server.start()

    async def close(self) -> None:
        """Close all connections and stop."""
        await self._server.close()
        if self._runner is not None:
            self._runner.close()

    def set_behaviour(self, behaviour: BehaviourRow) -> None:
        """Use this behaviour for requests from now on."""
        self._post(BehaviourSet(behaviour))

    def _handle_call(self, call: ServerCall) -> None:
        target = call.request.target
        if target == "/counts":
            call.answer(HttpAnswer(200, [], msgspec.json.encode(self.counts)))
        elif target == "/keys":
            call.answer(
                HttpAnswer(200, [], msgspec.json.encode(self.tables.runs_by_key))
            )
        elif target == "/health":
            body = msgspec.json.encode(self.tables.health)
            call.answer(HttpAnswer(200, [], body))
        elif target == "/behaviour":
            self.set_behaviour(
                msgspec.json.decode(call.request.body, type=BehaviourRow)
            )
            call.answer(HttpAnswer(200))
        else:
            self._handle_request(call)

    def _handle_request(self, call: ServerCall) -> None:
        number = RunNumber(next(self._numbers))
        self._calls[number] = call
        self._number_of[id(call)] = number
        headers = dict(call.request.headers)
        key = headers.get(b"idempotency-key")
        budget_ms = headers.get(b"papayapost-timeout-ms", b"")
        self._post(
            RequestReceived(
                number,
                IdempotencyKey(key.decode("latin-1")) if key else None,
                Micros(int(budget_ms) * 1_000) if budget_ms.isdigit() else None,
            )
        )

    def _on_disconnect(self, call: ServerCall) -> None:
        number = self._number_of.pop(id(call), None)
        if number is not None:
            del self._calls[number]
            self._post(RequestCancelled(number))

    def _answer_request(self, effect: AnswerRequest) -> None:
        call = self._calls[effect.number]
        request = call.request
        body = f"{request.method} {request.target}".encode()
        if effect.answer_bytes:
            body = body.ljust(effect.answer_bytes, b".")
        headers = [(b"content-type", b"text/plain")]
        self._answer(effect.number, HttpAnswer(200, headers, body))

    def _refuse(self, effect: RefuseRequest) -> None:
        self._answer(effect.number, HttpAnswer(503))

    def _answer(self, number: RunNumber, answer: HttpAnswer) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            del self._number_of[id(call)]
            call.answer(answer)

    def _post(self, message: object) -> None:
        if self._runner is not None:
            self._runner.post(message)
