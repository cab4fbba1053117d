"""Replays a load pattern on the traffic systems of a mesh, in virtual time."""

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from papayapost.ids import AttemptId, CallId, Micros, NodeId
from papayapost.peering import PeerSend
from papayapost.states import LinkClass, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallRefusal,
    CutAnswer,
    ForwardAnswer,
    OfferSend,
)
from papayapost_testing.load_patterns.figures import CallEnd, KindFigures
from papayapost_testing.load_patterns.mesh import nodes_of, servers_of
from papayapost_testing.load_patterns.rows import (
    KindRow,
    LoadPattern,
    Trouble,
    TroubleRow,
)

__all__ = ["LoadSimulation"]

_HOP_US = 500
_HOP_BETWEEN_REGIONS_US = 30_000
_WORK_SPREAD = 0.5
_CALLER_PAUSE_US = 50_000
"""Pause of a caller that was not told when to return."""

_MAX_WAIT_SHARE = 1 / 3
"""Longest time to return that callers accept, as a share of the time left."""

_CALLER_ATTEMPTS = 2
_IMPATIENT_ATTEMPTS = 4


@dataclass(slots=True)
class _Request:
    """A caller's request with all of its attempts.

    Parameters
    ----------
    on_end
        Tells a backend server that waits for this inner call whether it was
        answered; None for a caller's request.
    """

    kind: KindRow
    node_id: NodeId
    begun_us: int
    deadline_us: int
    attempts_left: int
    is_impatient: bool
    on_end: Callable[[bool], None] | None = None
    attempt_us: int = 0
    started_us: int | None = None
    is_open: bool = True


@dataclass(slots=True)
class _Run:
    """A request that a backend server works on."""

    attempt_id: AttemptId
    node_id: NodeId
    request: _Request
    pending: int = 1
    status: int = 200
    is_cancelled: bool = False


class LoadSimulation:
    """A mesh of nodes, each with a backend server, and their callers.

    Callers and backend servers send their calls to the node beside them.
    Callers return once after a refusal, when they were told to, and after a
    failure if the call may be repeated.

    Attributes
    ----------
    figures
        What became of the calls, by kind.
    """

    def __init__(self, pattern: LoadPattern, seed: int = 5):
        self._pattern = pattern
        self._random = Random(seed)
        self._now_us = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._call_ids = itertools.count(1)
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self._servers = servers_of(pattern, self._random)
        self._nodes = nodes_of(pattern, self._servers)
        self._wakes: dict[NodeId, int] = {}
        self._calls: dict[tuple[NodeId, CallId], _Request] = {}
        self._offers: dict[AttemptId, tuple[_Request, AttemptOffer]] = {}
        self._runs: dict[AttemptId, _Run] = {}
        self._answers: dict[AttemptId, int] = {}
        self.figures = {kind.name: KindFigures() for kind in pattern.kinds}

    def run(self) -> dict[str, KindFigures]:
        """Run until all requests have ended; return the figures by kind."""
        for kind in self._pattern.kinds:
            if kind.per_s:
                self._call_later(0, partial(self._send_next, kind))
        while self._events:
            at_us, _, action = heapq.heappop(self._events)
            self._now_us = max(self._now_us, at_us)
            action()
        return self.figures

    def _call_later(self, delay_us: float, action: Callable[[], None]) -> None:
        at_us = self._now_us + int(delay_us)
        heapq.heappush(self._events, (at_us, next(self._sequence), action))

    def _send_next(self, kind: KindRow) -> None:
        at_s = self._now_us / 1e6
        if at_s >= self._pattern.seconds:
            return
        rate_per_s = kind.per_s * self._pattern.factor_at(at_s)
        delay_us = self._random.expovariate(rate_per_s) * 1e6
        self._call_later(delay_us, lambda: self._send_next(kind))
        is_impatient = self._random.random() < self._pattern.impatient_share
        request = _Request(
            kind,
            self._random.choice(list(self._nodes)),
            self._now_us,
            self._now_us + kind.patience_ms * 1000,
            _IMPATIENT_ATTEMPTS if is_impatient else _CALLER_ATTEMPTS,
            is_impatient,
        )
        self._attempt(request)

    def _attempt(self, request: _Request) -> None:
        kind = request.kind
        budget_us = request.deadline_us - self._now_us
        if budget_us <= 0:
            self._end(request, CallEnd.FAILED)
            return
        request.attempts_left -= 1
        request.attempt_us = self._now_us
        request.started_us = None
        self.figures[kind.name].attempts += 1
        call_id = CallId(next(self._call_ids))
        self._calls[request.node_id, call_id] = request
        method = "GET" if kind.is_idempotent else "POST"
        path = f"/{kind.name}/x"
        arrived = CallArrived(call_id, method, "h", path, Micros(budget_us))
        self._tick(request.node_id, arrived)

    def _tick(self, node_id: NodeId, *messages: object) -> None:
        world = self._nodes[node_id].world
        for effect in world.tick(Micros(self._now_us), messages):
            self._apply(node_id, effect)
        due_us = world.next_due_us()
        if due_us is not None and due_us != self._wakes.get(node_id):
            self._wakes[node_id] = due_us
            delay_us = max(0, due_us - self._now_us)
            self._call_later(delay_us, lambda: self._wake(node_id, due_us))

    def _wake(self, node_id: NodeId, due_us: int) -> None:
        if self._wakes.get(node_id) == due_us:
            del self._wakes[node_id]
            self._tick(node_id)

    def _apply(self, node_id: NodeId, effect: object) -> None:
        if isinstance(effect, OfferSend):
            self._note_offer(node_id, effect)
            if not effect.is_local:
                self._send(node_id, effect.address, effect.offer)
        elif isinstance(effect, PeerSend):
            self._send(node_id, effect.address, effect.message)
        elif isinstance(effect, BackendCallStart):
            self._start(node_id, effect.attempt_id)
        elif isinstance(effect, BackendCallCancel):
            self._cancel(effect.attempt_id)
        elif isinstance(effect, ForwardAnswer):
            request = self._calls.pop((node_id, effect.call_id))
            self._handle_answer(request, self._answers[effect.attempt_id])
        elif isinstance(effect, CallRefusal):
            self._handle_refusal(self._calls.pop((node_id, effect.call_id)), effect)
        elif isinstance(effect, CutAnswer):
            self._handle_answer(self._calls.pop((node_id, effect.call_id)), 502)

    def _note_offer(self, node_id: NodeId, effect: OfferSend) -> None:
        request = self._calls[node_id, effect.call_id]
        figures = self.figures[request.kind.name]
        figures.offers += 1
        basis = effect.basis
        if basis is not None and basis.distance is LinkClass.ACROSS:
            figures.across += 1
        self._offers[effect.offer.attempt_id] = (request, effect.offer)

    def _send(self, sender: NodeId, address: str, message: object) -> None:
        receiver = NodeId(address.partition(":")[0])
        hop_us = self._hop_us(sender, receiver)
        self._call_later(hop_us, lambda: self._tick(receiver, message))

    def _hop_us(self, sender: NodeId, receiver: NodeId) -> int:
        if sender == receiver:
            return 0
        one, other = self._servers[sender].place, self._servers[receiver].place
        return _HOP_US if one.region == other.region else _HOP_BETWEEN_REGIONS_US

    def _start(self, node_id: NodeId, attempt_id: AttemptId) -> None:
        request, _ = self._offers[attempt_id]
        server = self._servers[node_id]
        work_us = _drawn_work_us(request.kind, server.speed, self._random)
        run = _Run(attempt_id, node_id, request)
        for trouble in _active(server.troubles, self._now_us):
            if trouble.trouble is Trouble.SLOW:
                work_us *= trouble.strength
            elif self._random.random() >= trouble.strength:
                continue
            elif trouble.trouble is Trouble.SHEDDING:
                self._shed(node_id, attempt_id)
                return
            else:
                run.status = 500
        if request.started_us is None:
            request.started_us = self._now_us
        self._runs[attempt_id] = run
        inner = request.kind.inner
        if inner is not None and self._random.random() < inner.share:
            kind = self._kinds[inner.kind]
            run.pending += inner.count
            for _ in range(inner.count):
                self._call_inner(run, kind)
        self._call_later(work_us, lambda: self._end_step(run, True))

    def _shed(self, node_id: NodeId, attempt_id: AttemptId) -> None:
        request, _ = self._offers[attempt_id]
        self.figures[request.kind.name].shed += 1
        ended = BackendCallEnded(attempt_id, True, False, True)
        self._call_later(_HOP_US, lambda: self._tick(node_id, ended))

    def _call_inner(self, run: _Run, kind: KindRow) -> None:
        patience_us = self._now_us + kind.patience_ms * 1000
        deadline_us = min(run.request.deadline_us, patience_us)
        inner = _Request(
            kind,
            run.node_id,
            self._now_us,
            deadline_us,
            1,
            False,
            lambda is_answered: self._end_step(run, is_answered),
        )
        self._call_later(0, lambda: self._attempt(inner))

    def _end_step(self, run: _Run, is_good: bool) -> None:
        run.pending -= 1
        if not is_good:
            run.status = 500
        if run.pending or run.is_cancelled:
            return
        attempt_id, node_id = run.attempt_id, run.node_id
        del self._runs[attempt_id]
        _, offer = self._offers[attempt_id]
        self._answers[attempt_id] = run.status
        begun = BackendCallBegun(attempt_id, run.status)
        self._tick(node_id, begun, BackendCallEnded(attempt_id, True, True))
        free_slots = self._nodes[node_id].traffic.owner.free_slots
        answer = (
            AnswerBegun(node_id, attempt_id, run.status, free_slots),
            AnswerEnded(node_id, attempt_id, True),
        )
        hop_us = self._hop_us(node_id, offer.sender)
        self._call_later(hop_us, lambda: self._tick(offer.sender, *answer))

    def _cancel(self, attempt_id: AttemptId) -> None:
        run = self._runs.pop(attempt_id, None)
        if run is not None:
            run.is_cancelled = True
            ended = BackendCallEnded(attempt_id, True, False)
            self._call_later(0, lambda: self._tick(run.node_id, ended))

    def _handle_answer(self, request: _Request, status: int) -> None:
        kind = request.kind
        figures = self.figures[kind.name]
        if request.started_us is not None:
            wait_us = request.started_us - request.attempt_us
            figures.waits_ms.append(wait_us / 1000)
        if status == 200:
            taken_us = self._now_us - request.begun_us
            is_timely = taken_us <= kind.target_ms * 1000
            self._end(request, CallEnd.TIMELY if is_timely else CallEnd.LATE)
        elif request.attempts_left and kind.is_idempotent:
            self._call_later(_CALLER_PAUSE_US, lambda: self._attempt(request))
        else:
            self._end(request, CallEnd.FAILED)

    def _handle_refusal(self, request: _Request, refusal: CallRefusal) -> None:
        if refusal.outcome is not Outcome.NOT_RUN:
            self._handle_answer(request, refusal.status)
            return
        figures = self.figures[request.kind.name]
        refused_ms = (self._now_us - request.attempt_us) / 1000
        figures.refusals_ms.append(refused_ms)
        left_us = request.deadline_us - self._now_us
        pause_us: float = _CALLER_PAUSE_US
        if refusal.retry_after_ms is not None:
            pause_us = min(refusal.retry_after_ms * 1000, left_us * _MAX_WAIT_SHARE)
        if request.is_impatient:
            pause_us = 0
        if request.attempts_left and left_us > pause_us:
            self._call_later(pause_us, lambda: self._attempt(request))
            return
        figures.refused_in_the_end_ms.append(refused_ms)
        self._end(request, CallEnd.REFUSED)

    def _end(self, request: _Request, end: CallEnd) -> None:
        if not request.is_open:
            return
        request.is_open = False
        self.figures[request.kind.name].ends[end] += 1
        if request.on_end is not None:
            request.on_end(end in (CallEnd.TIMELY, CallEnd.LATE))


def _active(troubles: list[TroubleRow], now_us: int) -> list[TroubleRow]:
    now_s = now_us / 1e6
    return [row for row in troubles if row.from_s <= now_s < row.to_s]


def _drawn_work_us(kind: KindRow, speed: float, random: Random) -> float:
    mean = -_WORK_SPREAD * _WORK_SPREAD / 2
    factor = math.exp(random.gauss(mean, _WORK_SPREAD))
    return kind.work_ms * 1000 * speed * factor
