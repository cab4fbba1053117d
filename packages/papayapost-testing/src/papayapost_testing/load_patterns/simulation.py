"""Replays a load pattern on the traffic systems of a mesh, in virtual time."""

import heapq
import itertools
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from papayapost.ids import (
    AccountName,
    AttemptId,
    CallId,
    KeyDigest,
    Micros,
    NodeId,
    RequestName,
    ServiceName,
)
from papayapost.membership import BackendServerRow, Directory, DirectoryChanged
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState, LinkClass, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerBlocked,
    AnswerEnded,
    AnswerUnblocked,
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
    OfferUndelivered,
    OwnerConnectionLost,
)
from papayapost_testing.load_patterns.figures import CallEnd, KindFigures
from papayapost_testing.load_patterns.links import SimulatedLink
from papayapost_testing.load_patterns.mesh import (
    ServerRow,
    key_of,
    nodes_of,
    servers_of,
)
from papayapost_testing.load_patterns.reports import ServerReports
from papayapost_testing.load_patterns.rows import (
    KindRow,
    LoadPattern,
    Trouble,
    TroubleRow,
)

__all__ = ["LoadSimulation", "RunRow"]

_HOP_US = 500
_HOP_BETWEEN_REGIONS_US = 30_000
_WORK_SPREAD = 0.5
_CALLER_PAUSE_US = 50_000
"""Pause of a caller that was not told when to return."""

_MAX_WAIT_SHARE = 1 / 3
"""Longest time to return that callers accept, as a share of the time left."""

_DEADLINE_MARGIN_US = 90_000
"""Time after the patience of a caller in which an answer that has begun may
end: the time limit counts for its begin."""

_DIRECTORY_DELAY_US = 300_000
"""Time until other nodes know of a change of a directory row."""

_NEVER_US = 3_600_000_000
_REPORTED_TROUBLES = (Trouble.HANGING, Trouble.RESTARTING)
_IMPATIENT_ATTEMPTS = 4
_DIRECTORY_DELAY_US = 2_000_000
"""Time after which the directory lists a killed node as gone."""


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
    name: RequestName
    account: AccountName | None = None
    on_end: Callable[[bool], None] | None = None
    attempt_us: int = 0
    started_us: int | None = None
    is_open: bool = True
    end: CallEnd | None = None


@dataclass(slots=True)
class RunRow:
    """A request that a backend server works on, or has worked on.

    Attributes
    ----------
    ended_us
        Time at which it left its slot, None before.
    """

    attempt_id: AttemptId
    node_id: NodeId
    request: _Request
    started_us: int
    ended_us: int | None = None
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
    account_figures
        What became of the calls of callers, by kind and account.
    impatient_figures
        What became of the calls of callers that try again at once, by kind.
    servers, runs
        The backend servers, and all requests that they have worked on.
    idle_shares
        Share of the slots of a kind's service that were free when a call of
        the kind was refused in the end.
    """

    def __init__(self, pattern: LoadPattern, seed: int = 5):
        self._pattern = pattern
        self._random = Random(seed)
        self._now_us = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._call_ids = itertools.count(1)
        self._request_names = itertools.count(1)
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self.servers = self._servers = servers_of(pattern, self._random)
        self._nodes = nodes_of(pattern, self._servers)
        self._links = {
            node_id: SimulatedLink(server.link_mbps)
            for node_id, server in self._servers.items()
        }
        self._reports = [
            ServerReports(node_id, server, pattern.slots_of(server.service))
            for node_id, server in self._servers.items()
            if any(row.trouble in _REPORTED_TROUBLES for row in server.troubles)
        ]
        self._revisions: dict[NodeId, int] = {}
        self.runs: list[RunRow] = []
        self.idle_shares: dict[str, list[float]] = defaultdict(list)
        self._wakes: dict[NodeId, int] = {}
        self._calls: dict[tuple[NodeId, CallId], _Request] = {}
        self._offers: dict[AttemptId, tuple[_Request, AttemptOffer]] = {}
        self._runs: dict[AttemptId, RunRow] = {}
        self._answers: dict[AttemptId, tuple[int, int]] = {}
        self._killed: set[NodeId] = set()
        self._slots: dict[ServiceName, int] = dict.fromkeys(
            (service.name for service in pattern.services), 0
        )
        self._busy = dict(self._slots)
        self._slots_of = {service.name: service.slots for service in pattern.services}
        for server in self._servers.values():
            self._slots[server.service] += self._slots_of[server.service]
        self.figures = {kind.name: KindFigures() for kind in pattern.kinds}
        self.impatient_figures = {kind.name: KindFigures() for kind in pattern.kinds}
        self.account_figures = {
            (kind.name, account.name): KindFigures()
            for kind in pattern.kinds
            for account in pattern.accounts
        }

    def served_by_account(self) -> dict[AccountName, float]:
        """Return the share of each account's requests that were answered."""
        served: dict[AccountName, float] = {}
        for account in self._pattern.accounts:
            figures = [self.account_figures[kind, account.name] for kind in self._kinds]
            total = sum(row.total for row in figures)
            answered = sum(
                row.ends[CallEnd.TIMELY] + row.ends[CallEnd.LATE] for row in figures
            )
            if total:
                served[account.name] = answered / total
        return served

    def run(self) -> dict[str, KindFigures]:
        """Run until all requests have ended; return the figures by kind."""
        for kind in self._pattern.kinds:
            if kind.per_s:
                self._call_later(0, partial(self._send_next, kind))
        for node_id, server in self._servers.items():
            for trouble in server.troubles:
                if trouble.trouble is Trouble.KILLED:
                    kill = partial(self._kill, node_id)
                    self._call_later(trouble.from_s * 1e6, kill)
        for reports in self._reports:
            self._call_later(0, partial(self._report, reports))
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
        account, rate_per_s = self._drawn_account(kind, at_s)
        if self._pattern.waves:
            rate_per_s *= sum(self._place_weights(at_s)) / len(self._nodes)
        delay_us = self._random.expovariate(rate_per_s) * 1e6
        self._call_later(delay_us, lambda: self._send_next(kind))
        is_impatient = self._random.random() < self._pattern.impatient_share
        request = _Request(
            kind,
            self._draw_entry_node(at_s),
            self._now_us,
            self._now_us + kind.patience_ms * 1000,
            _IMPATIENT_ATTEMPTS if is_impatient else self._pattern.caller_attempts,
            is_impatient,
            RequestName(f"caller-{next(self._request_names)}"),
            account,
        )
        self._attempt(request)

    def _drawn_account(
        self, kind: KindRow, at_s: float
    ) -> tuple[AccountName | None, float]:
        """Return the account of a call, and the rate of the calls of all."""
        pattern = self._pattern
        if not pattern.accounts:
            return None, kind.per_s * pattern.factor_at(at_s, kind.name)
        weights = [
            account.weight * pattern.factor_at(at_s, kind.name, account.name)
            for account in pattern.accounts
        ]
        (account,) = self._random.choices(pattern.accounts, weights)
        total = sum(account.weight for account in pattern.accounts)
        return account.name, kind.per_s * sum(weights) / total

    def _drawn_node(self) -> NodeId:
        return self._random.choice(
            [node_id for node_id in self._nodes if node_id not in self._killed]
        )

    def _figures_of(self, request: _Request) -> list[KindFigures]:
        figures = [self.figures[request.kind.name]]
        if request.account is not None:
            figures.append(self.account_figures[request.kind.name, request.account])
        if request.is_impatient:
            figures.append(self.impatient_figures[request.kind.name])
        return figures

    def _kill(self, node_id: NodeId) -> None:
        """End a node and its backend server; callers and peers notice."""
        self._killed.add(node_id)
        service = self._servers[node_id].service
        self._slots[service] -= self._slots_of[service]
        for run in [run for run in self._runs.values() if run.node_id == node_id]:
            self._end_run(run)
            run.is_cancelled = True
        calls = [key for key in self._calls if key[0] == node_id]
        for key in calls:
            request = self._calls.pop(key)
            self._call_later(_HOP_US, partial(self._handle_answer, request, 502))
        peers = [peer for peer in self._nodes if peer not in self._killed]
        row = self._nodes[node_id].directory.require(node_id)
        for peer in peers:
            lost = OwnerConnectionLost(row.peer_address)
            self._call_later(
                self._hop_us(node_id, peer), partial(self._tick, peer, lost)
            )
            gone = partial(self._list_as_gone, peer, node_id)
            self._call_later(_DIRECTORY_DELAY_US, gone)

    def _list_as_gone(self, peer: NodeId, node_id: NodeId) -> None:
        directory = self._nodes[peer].directory
        row = replace(directory.require(node_id), state=BackendServerState.GONE)
        directory.put(node_id, row)
        self._tick(peer, DirectoryChanged((row,)))

    def _place_weights(self, at_s: float) -> list[float]:
        """Return for each node how many calls its callers send now."""
        factors = {wave.place: wave.factor_at(at_s) for wave in self._pattern.waves}
        return [factors.get(server.place, 1.0) for server in self._servers.values()]

    def _draw_entry_node(self, at_s: float) -> NodeId:
        if not self._pattern.waves:
            return self._drawn_node()
        return self._random.choices(list(self._nodes), self._place_weights(at_s))[0]

    def _report(self, reports: ServerReports) -> None:
        """Send the reports of a server that are due, and plan the next."""
        at_s = self._now_us / 1e6
        report = reports.report_at(at_s)
        if report is not None:
            self._tick(reports.node_id, report)
        next_s = reports.next_after(at_s)
        if next_s <= self._pattern.seconds:
            delay_us = max(1, int((next_s - at_s) * 1e6))
            self._call_later(delay_us, partial(self._report, reports))

    def _attempt(self, request: _Request) -> None:
        kind = request.kind
        budget_us = request.deadline_us - self._now_us
        if budget_us <= 0:
            self._end(request, CallEnd.FAILED)
            return
        if request.node_id in self._killed:
            request.node_id = self._drawn_node()
        request.attempts_left -= 1
        request.attempt_us = self._now_us
        request.started_us = None
        for figures in self._figures_of(request):
            figures.attempts += 1
        call_id = CallId(next(self._call_ids))
        self._calls[request.node_id, call_id] = request
        method = "GET" if kind.is_idempotent else "POST"
        path = f"/{kind.name}/x"
        digest: KeyDigest | None = None
        if request.account is not None:
            digest = key_of(request.account)
        arrived = CallArrived(
            call_id,
            method,
            "h",
            path,
            Micros(budget_us),
            name=request.name,
            key_digest=digest,
        )
        self._tick(request.node_id, arrived)

    def _tick(self, node_id: NodeId, *messages: object) -> None:
        if node_id in self._killed:
            return
        world = self._nodes[node_id].world
        for effect in world.tick(Micros(self._now_us), messages):
            self._apply(node_id, effect)
        if self._reports:
            self._spread_own_row(node_id)
        due_us = world.next_due_us()
        if due_us is not None and due_us != self._wakes.get(node_id):
            self._wakes[node_id] = due_us
            delay_us = max(0, due_us - self._now_us)
            self._call_later(delay_us, lambda: self._wake(node_id, due_us))

    def _spread_own_row(self, node_id: NodeId) -> None:
        """Tell all other nodes of a change of this node's directory row."""
        row = self._nodes[node_id].directory.require(node_id)
        known = self._revisions.setdefault(node_id, 1)
        if row.revision == known:
            return
        self._revisions[node_id] = row.revision
        for other_id, node in self._nodes.items():
            if other_id != node_id:
                changed = replace(row)
                receive = partial(self._receive_row, other_id, node.directory, changed)
                self._call_later(_DIRECTORY_DELAY_US, receive)

    def _receive_row(
        self, node_id: NodeId, directory: Directory, row: BackendServerRow
    ) -> None:
        known = directory.require(row.node_id)
        if known.revision < row.revision:
            directory.put(row.node_id, row)
            self._tick(node_id, DirectoryChanged((row,)))

    def _wake(self, node_id: NodeId, due_us: int) -> None:
        if self._wakes.get(node_id) == due_us:
            del self._wakes[node_id]
            self._tick(node_id)

    def _apply(self, node_id: NodeId, effect: object) -> None:
        if isinstance(effect, OfferSend):
            self._note_offer(node_id, effect)
            receiver = NodeId(effect.address.partition(":")[0])
            if receiver in self._killed:
                undelivered = OfferUndelivered(effect.offer.attempt_id)
                hop_us = 2 * self._hop_us(node_id, receiver)
                self._call_later(hop_us, partial(self._tick, node_id, undelivered))
            elif not effect.is_local:
                self._send(node_id, effect.address, effect.offer)
        elif isinstance(effect, PeerSend):
            self._send(node_id, effect.address, effect.message)
        elif isinstance(effect, BackendCallStart):
            self._start(node_id, effect.attempt_id)
        elif isinstance(effect, BackendCallCancel):
            self._cancel(effect.attempt_id)
        elif isinstance(effect, ForwardAnswer):
            self._forward(node_id, effect)
        elif isinstance(effect, CallRefusal):
            self._handle_refusal(self._calls.pop((node_id, effect.call_id)), effect)
        elif isinstance(effect, CutAnswer):
            self._handle_answer(self._calls.pop((node_id, effect.call_id)), 502)

    def _forward(self, node_id: NodeId, effect: ForwardAnswer) -> None:
        request = self._calls.pop((node_id, effect.call_id))
        status, arrives_us = self._answers[effect.attempt_id]
        delay_us = max(0, arrives_us - self._now_us)
        if delay_us:
            self._call_later(delay_us, partial(self._handle_answer, request, status))
        else:
            self._handle_answer(request, status)

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
        run = RunRow(attempt_id, node_id, request, self._now_us)
        work_us *= _cold_factor(server, self._now_us)
        for trouble in _active(server.troubles, self._now_us):
            if trouble.trouble is Trouble.RESTARTING:
                continue
            if trouble.trouble is Trouble.SLOW:
                work_us *= trouble.strength
            elif trouble.trouble is Trouble.HANGING:
                work_us = _NEVER_US
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
        self._busy[server.service] += 1
        self.runs.append(run)
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

    def _call_inner(self, run: RunRow, kind: KindRow) -> None:
        patience_us = self._now_us + kind.patience_ms * 1000
        deadline_us = min(run.request.deadline_us, patience_us)
        inner = _Request(
            kind,
            run.node_id,
            self._now_us,
            deadline_us,
            1,
            False,
            RequestName(f"server-{next(self._request_names)}"),
            on_end=lambda is_answered: self._end_step(run, is_answered),
        )
        self._call_later(0, lambda: self._attempt(inner))

    def _end_step(self, run: RunRow, is_good: bool) -> None:
        run.pending -= 1
        if not is_good:
            run.status = 500
        if run.pending or run.is_cancelled:
            return
        attempt_id, node_id = run.attempt_id, run.node_id
        self._end_run(run)
        run.ended_us = self._now_us
        _, offer = self._offers[attempt_id]
        size_bytes = run.request.kind.answer_bytes
        sent_us = self._now_us
        if offer.sender != node_id:
            sent_us = self._links[node_id].send(size_bytes, self._now_us)
        hop_us = self._hop_us(node_id, offer.sender)
        self._answers[attempt_id] = (run.status, sent_us + hop_us)
        ended = self._backend_call_ended(attempt_id, size_bytes)
        blocked: tuple[object, ...] = ()
        if sent_us > self._now_us:
            blocked = (AnswerBlocked(attempt_id),)
        begun = BackendCallBegun(attempt_id, run.status)
        self._tick(node_id, begun, ended, *blocked)
        self._send_answer(run, offer, sent_us, hop_us)

    def _backend_call_ended(
        self, attempt_id: AttemptId, size_bytes: int
    ) -> BackendCallEnded:
        return BackendCallEnded(attempt_id, True, True, answer_bytes=size_bytes)

    def _send_answer(
        self, run: RunRow, offer: AttemptOffer, sent_us: int, hop_us: int
    ) -> None:
        node_id, attempt_id = run.node_id, run.attempt_id
        free_slots = self._nodes[node_id].traffic.owner.free_slots
        head = AnswerBegun(node_id, attempt_id, run.status, free_slots)
        size_bytes = run.request.kind.answer_bytes
        tail = AnswerEnded(node_id, attempt_id, True, size_bytes)
        if sent_us == self._now_us:
            self._call_later(hop_us, lambda: self._tick(offer.sender, head, tail))
            return
        delay_us = sent_us - self._now_us
        unblocked = AnswerUnblocked(attempt_id)
        self._call_later(delay_us, lambda: self._tick(node_id, unblocked))
        self._call_later(hop_us, lambda: self._tick(offer.sender, head))
        self._call_later(delay_us + hop_us, lambda: self._tick(offer.sender, tail))

    def _cancel(self, attempt_id: AttemptId) -> None:
        run = self._runs.get(attempt_id)
        if run is not None:
            self._end_run(run)
            run.is_cancelled = True
            run.ended_us = self._now_us
            ended = BackendCallEnded(attempt_id, True, False)
            self._call_later(0, lambda: self._tick(run.node_id, ended))

    def _end_run(self, run: RunRow) -> None:
        del self._runs[run.attempt_id]
        self._busy[self._servers[run.node_id].service] -= 1

    def _handle_answer(self, request: _Request, status: int) -> None:
        kind = request.kind
        figures = self.figures[kind.name]
        if request.started_us is not None:
            wait_us = request.started_us - request.attempt_us
            figures.waits_ms.append(wait_us / 1000)
        if status == 200:
            taken_us = self._now_us - request.begun_us
            is_timely = taken_us <= kind.target_ms * 1000
            end = CallEnd.TIMELY if is_timely else CallEnd.LATE
            is_in_vain = self._now_us > request.deadline_us + _DEADLINE_MARGIN_US
            self._end(request, CallEnd.FAILED if is_in_vain else end)
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
        service = request.kind.service
        idle_share = 1 - self._busy[service] / self._slots[service]
        figures.idle_shares.append(idle_share)
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
        self.idle_shares[request.kind.name].append(
            self._idle_share(request.kind.service)
        )
        self._end(request, CallEnd.REFUSED)

    def _idle_share(self, service: ServiceName) -> float:
        """Return the share of a service's slots that are free now."""
        owners = [
            node.traffic.owner
            for node_id, node in self._nodes.items()
            if self._servers[node_id].service == service
        ]
        slots = sum(owner.slots for owner in owners)
        running = sum(min(owner.slots, owner.running) for owner in owners)
        return (slots - running) / max(1, slots)

    def _end(self, request: _Request, end: CallEnd) -> None:
        if not request.is_open:
            return
        request.is_open, request.end = False, end
        for figures in self._figures_of(request):
            figures.ends[end] += 1
        if request.on_end is not None:
            request.on_end(end in (CallEnd.TIMELY, CallEnd.LATE))


def _active(troubles: list[TroubleRow], now_us: int) -> list[TroubleRow]:
    now_s = now_us / 1e6
    return [row for row in troubles if row.from_s <= now_s < row.to_s]


def _cold_factor(server: ServerRow, now_us: int) -> float:
    """Return by how much a server that has restarted is slower now."""
    factor, now_s = 1.0, now_us / 1e6
    for row in server.troubles:
        if row.trouble is Trouble.RESTARTING and 0 <= now_s - row.to_s < row.cold_s:
            factor *= row.strength
    return factor


def _drawn_work_us(kind: KindRow, speed: float, random: Random) -> float:
    mean = -_WORK_SPREAD * _WORK_SPREAD / 2
    factor = math.exp(random.gauss(mean, _WORK_SPREAD))
    return kind.work_ms * 1000 * speed * factor
