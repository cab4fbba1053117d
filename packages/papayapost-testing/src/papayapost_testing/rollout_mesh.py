"""A mesh with roll-outs in virtual time: nodes, calls, servers and a store."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from papayapost.ids import (
    Address,
    AttemptId,
    CallId,
    Incarnation,
    InstanceId,
    Micros,
    ReportId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.node import NodeWorld, build_roster_world
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost.rollout import RolloutLimits
from papayapost.states import BackendServerState
from papayapost.storage import OrderObject, OrderSpec, OrderState
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    BackendServerDeregistered,
    BackendServerReported,
    CallArrived,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
    TrafficOptions,
)
from papayapost_testing.order_store import OrderStore
from papayapost_testing.roster_store import RosterStore, StorePath
from papayapost_testing.slow_link_mesh import LinkState
from papayapost_testing.traffic_worlds import backend_row

__all__ = ["LIMITS", "RolloutMesh", "RolloutNode", "RunRow", "ServerAnswer"]

LIMITS = RolloutLimits(0.1, 50, Micros(5_000_000))
_START_US = 1_000_000
_REGION_DELAY_US = 1_000
_ACROSS_DELAY_US = 15_000
_REPORT_INTERVAL_US = 1_500_000
_DRAIN_AFTER_US = 2_000_000


@dataclass(slots=True)
class ServerAnswer:
    """What a backend server does with a request."""

    service_us: int
    status: int = 200
    is_bad: bool = False


@dataclass(slots=True)
class RunRow:
    """A request that a backend server ran."""

    at_us: int
    node: str
    version: str
    path: str
    answer: ServerAnswer


class RolloutNode:
    """A node with its backend server.

    Attributes
    ----------
    speed
        How much faster than usual the server is.
    has_server
        Whether the server runs.
    """

    def __init__(
        self, name: str, place: Place, version: str, started_us: int, slots: int
    ):
        own = backend_row(name, "gusts", place, slots=0, state=BackendServerState.COLD)
        own.incarnation = Incarnation(started_us)
        self.me = SelfRow(own.node_id, own.incarnation, place, own.peer_address)
        self.version = SoftwareVersion(version)
        self.slots = slots
        options = TrafficOptions(
            report_interval_us=_REPORT_INTERVAL_US,
            has_targets=True,
            has_exact_slots=True,
            announces_version=True,
            drain_announce_us=0,
        )
        self.built: NodeWorld = build_roster_world(
            self.me, own, Random(name), options=options, limits=LIMITS
        )
        self.events: list[tuple[int, Event, str]] = []
        self.link = LinkState.UP
        self.speed = 1.0
        self.warm_us = 0
        self.has_server = True
        self.reports = 0

    @property
    def address(self) -> Address:
        """Address of the node for its peers and for the store."""
        return self.me.peer_address


@dataclass(slots=True)
class _Running:
    node: RolloutNode
    offer: AttemptOffer
    answer: ServerAnswer


@dataclass(slots=True)
class Outcomes:
    """How the calls of a play ended.

    Attributes
    ----------
    statuses
        Number of calls by status; a refusal has its code too.
    """

    statuses: Counter = field(default_factory=Counter)


class RolloutMesh:
    """Runs the worlds of all nodes with calls, servers and a store.

    Parameters
    ----------
    seed
        Seed of the calls and of the servers' times.
    rules
        Text of the rules.
    behaviour
        Returns what a server does with a request: called with the node, the
        path, the number of attempts that the server runs, the time in µs and
        a random source.

    Attributes
    ----------
    runs
        All requests that servers have run.
    finals
        Time in µs and state of each final status.
    loss_share, cut_regions
        Share of messages between nodes that are lost, and whether all between
        regions are.
    cut_runs
        Attempts that must not run twice and were cut by the stop of a server.
    """

    def __init__(
        self,
        seed: int,
        rules: str,
        behaviour: Callable[[RolloutNode, str, int, int, Random], ServerAnswer],
    ):
        self.now_us = _START_US
        self.random = Random(seed)
        self.nodes: dict[Address, RolloutNode] = {}
        self.store = RosterStore(self._clock, self.call_later, self._deliver)
        self.orders = OrderStore(
            self._clock, self.call_later, self._deliver, self._status_written
        )
        self.store.write_rules(rules)
        self.runs: list[RunRow] = []
        self.finals: list[tuple[int, OrderState]] = []
        self.outcomes = Outcomes()
        self.cut_runs = 0
        self.loss_share = 0.0
        self.cut_regions = False
        self._behaviour = behaviour
        self._timers: dict[Address, int] = {}
        self._queue: list = []
        self._count = 0
        self._calls = 0
        self._offers: dict[AttemptId, tuple[AttemptOffer, str]] = {}
        self._paths: dict[tuple[Address, CallId], str] = {}
        self._running: dict[tuple[Address, AttemptId], _Running] = {}
        self._statuses: dict[AttemptId, int] = {}
        self._is_stopped = False

    def start(
        self, name: str, place: Place, version: str, slots: int = 6, warm_us: int = 0
    ) -> RolloutNode:
        """Start a node and its server, or new processes of them."""
        node = RolloutNode(name, place, version, self.now_us, slots)
        node.warm_us = self.now_us + warm_us
        self.store.forget(node.address)
        self.orders.forget(node.address)
        self._cut(self.nodes.get(node.address))
        self.nodes[node.address] = node
        self._tick(node, node.built.first_messages())
        self.call_later(50_000, lambda: self._report(node))
        return node

    def stop(self, node: RolloutNode) -> None:
        """End the processes of a node and its server without a farewell."""
        if self.nodes.get(node.address) is node:
            del self.nodes[node.address]
        self.store.forget(node.address)
        self.orders.forget(node.address)
        self._cut(node)

    def refuse_store(self, node: RolloutNode, path: StorePath) -> None:
        """Set what becomes of a node's calls of the store."""
        self.store.paths[node.address] = path
        self.orders.paths[node.address] = path

    def order(self, version: str, duration_us: int) -> None:
        """Order a roll-out as the operator does."""
        spec = OrderSpec(
            ServiceName("gusts"), SoftwareVersion(version), Micros(duration_us)
        )
        known = self.orders.orders.get("gusts")
        self.orders.put("gusts", spec, known.status if known else None)

    def load(self, rate_per_s: float, until_us: int, paths: dict[str, float]) -> None:
        """Have callers send requests to random nodes until a time."""

        def send() -> None:
            if self.now_us >= until_us:
                return
            gap_us = int(self.random.expovariate(rate_per_s) * 1e6)
            self.call_later(gap_us, send)
            nodes = [n for n in self.nodes.values() if n.link is LinkState.UP]
            if nodes:
                path = self.random.choices(list(paths), list(paths.values()))[0]
                self.call(self.random.choice(nodes), path)

        send()

    def call(self, node: RolloutNode, path: str) -> None:
        """Send one request to a node."""
        self._calls += 1
        call_id = CallId(self._calls)
        self._paths[node.address, call_id] = path
        arrived = CallArrived(call_id, "GET", "a.example", path, Micros(4_000_000))
        self._tick(node, [arrived])

    def run(self, span_us: int) -> None:
        """Advance virtual time by a span."""
        end_us = self.now_us + span_us
        while self._queue and self._queue[0][0] <= end_us:
            due_us, _, action = heapq.heappop(self._queue)
            self.now_us = max(self.now_us, due_us)
            action()
        self.now_us = end_us

    def call_later(self, delay_us: int, action: Callable[[], None]) -> None:
        """Run an action after a time."""
        self._count += 1
        heapq.heappush(
            self._queue, (self.now_us + max(0, delay_us), self._count, action)
        )

    def events_of(self, event: Event) -> list[tuple[int, str, str]]:
        """Return time, node and detail of all events of a kind, in order."""
        return sorted(
            (at, node.me.node_id, detail)
            for node in self.nodes.values()
            for at, kind, detail in node.events
            if kind is event
        )

    def _clock(self) -> int:
        return self.now_us

    def _deliver(self, address: Address, message: object) -> None:
        node = self.nodes.get(address)
        if node is not None:
            self._tick(node, [message])

    def _tick(self, node: RolloutNode, messages: list) -> None:
        for effect in node.built.world.tick(Micros(self.now_us), messages):
            self._apply(node, effect)
        due_us = node.built.world.next_due_us()
        if due_us is not None and due_us != self._timers.get(node.address):
            self._timers[node.address] = due_us
            self.call_later(due_us - self.now_us, lambda: self._wake(node, due_us))

    def _wake(self, node: RolloutNode, due_us: int) -> None:
        is_current = self.nodes.get(node.address) is node
        if is_current and self._timers.get(node.address) == due_us:
            del self._timers[node.address]
            self._tick(node, [])

    def _apply(self, node: RolloutNode, effect: object) -> None:
        if isinstance(effect, PeerSend):
            self._send(node, effect.address, effect.message)
        elif isinstance(effect, Noted):
            node.events.append((self.now_us, effect.event, effect.detail))
        elif not (
            self._apply_to_call(node, effect)
            or self.orders.apply_effect(node.address, effect)
        ):
            self.store.apply_effect(node.address, effect)

    def _apply_to_call(self, node: RolloutNode, effect: object) -> bool:
        """Process an effect that concerns a call; return whether it does."""
        if isinstance(effect, OfferSend):
            path = self._paths[node.address, effect.call_id]
            self._offers[effect.offer.attempt_id] = (effect.offer, path)
            if not effect.is_local:
                self._send(node, effect.address, effect.offer)
        elif isinstance(effect, BackendCallStart):
            self._run(node, effect.attempt_id)
        elif isinstance(effect, BackendCallCancel):
            if self._running.pop((node.address, effect.attempt_id), None):
                ended = BackendCallEnded(effect.attempt_id, True, False)
                self.call_later(0, lambda: self._deliver(node.address, ended))
        elif isinstance(effect, ForwardAnswer):
            self.outcomes.statuses[self._statuses[effect.attempt_id]] += 1
        elif isinstance(effect, CallRefusal):
            self.outcomes.statuses[effect.status, effect.code.value] += 1
        else:
            return False
        return True

    def _send(self, sender: RolloutNode, address: Address, message: object) -> None:
        receiver = self.nodes.get(address)
        if receiver is None or self.random.random() < self.loss_share:
            return
        is_near = receiver.me.place.region == sender.me.place.region
        delay_us = _REGION_DELAY_US if is_near else _ACROSS_DELAY_US

        def receive() -> None:
            is_cut = LinkState.CUT in (sender.link, receiver.link)
            is_cut = is_cut or (self.cut_regions and not is_near)
            if not is_cut and self.nodes.get(address) is receiver:
                self._tick(receiver, [message])

        self.call_later(delay_us, receive)

    def _run(self, node: RolloutNode, attempt_id: AttemptId) -> None:
        offer, path = self._offers[attempt_id]
        busy = sum(1 for row in self._running.values() if row.node is node)
        answer = self._behaviour(node, path, busy, self.now_us, self.random)
        if self.now_us < node.warm_us:
            answer.service_us *= 3
        row = RunRow(self.now_us, node.me.node_id, node.version, path, answer)
        self.runs.append(row)
        if not node.has_server:
            lost = BackendCallEnded(attempt_id, False, False)
            self.call_later(100, lambda: self._deliver(node.address, lost))
            return
        self._running[node.address, attempt_id] = _Running(node, offer, answer)
        self.call_later(
            int(answer.service_us / node.speed), lambda: self._end_run(node, attempt_id)
        )

    def _end_run(self, node: RolloutNode, attempt_id: AttemptId) -> None:
        running = self._running.pop((node.address, attempt_id), None)
        if running is None or self.nodes.get(node.address) is not node:
            return
        status = running.answer.status
        self._statuses[attempt_id] = status
        begun = BackendCallBegun(attempt_id, status)
        self._tick(node, [begun, BackendCallEnded(attempt_id, True, True)])
        answers = (
            AnswerBegun(node.me.node_id, attempt_id, status, 0),
            AnswerEnded(node.me.node_id, attempt_id, True),
        )
        if running.offer.sender == node.me.node_id:
            self._tick(node, list(answers))
        else:
            for answer in answers:
                self._send(node, running.offer.reply_to, answer)

    def _report(self, node: RolloutNode) -> None:
        if self.nodes.get(node.address) is not node or not node.has_server:
            return
        self._tick(node, [self._report_of(node, BackendServerState.READY)])
        self.call_later(_REPORT_INTERVAL_US, lambda: self._report(node))

    def _report_of(
        self, node: RolloutNode, state: BackendServerState
    ) -> BackendServerReported:
        node.reports += 1
        return BackendServerReported(
            ReportId(node.reports),
            InstanceId(f"{node.me.node_id}-{node.version}"),
            node.me.incarnation // 1000,
            node.reports,
            ServiceName("gusts"),
            node.slots,
            state,
            node.version,
            max(0, node.warm_us - self.now_us) / 1000,
        )

    def _status_written(self, found: OrderObject) -> None:
        """Stop servers as the platform does on a final status."""
        state, spec = found.current_state, found.spec
        if state in (None, OrderState.RUNNING) or spec is None:
            return
        assert state is not None
        self.finals.append((self.now_us, state))
        if state is OrderState.COMPLETED:
            for node in list(self.nodes.values()):
                if node.version != spec.target_version:
                    self.call_later(0, lambda node=node: self._stop_server(node))  # type: ignore[misc]
            return
        for node in list(self.nodes.values()):
            if node.version == spec.target_version:
                self.call_later(
                    _DRAIN_AFTER_US,
                    lambda node=node: self._drain_server(node),  # type: ignore[misc]
                )

    def _stop_server(self, node: RolloutNode) -> None:
        node.has_server = False
        self._cut(node)
        left = BackendServerDeregistered(
            ReportId(10_000), InstanceId(f"{node.me.node_id}-{node.version}"), None
        )
        self._deliver(node.address, left)

    def _drain_server(self, node: RolloutNode) -> None:
        if self.nodes.get(node.address) is node:
            node.has_server = False
            self._tick(node, [self._report_of(node, BackendServerState.DRAINING)])

    def _cut(self, node: RolloutNode | None) -> None:
        """End all attempts that the server of a node runs."""
        for key, row in list(self._running.items()):
            if row.node is not node:
                continue
            del self._running[key]
            self.cut_runs += not row.offer.idempotent
            ended = BackendCallEnded(key[1], True, False)
            self._deliver(row.node.address, ended)
