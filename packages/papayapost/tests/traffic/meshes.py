"""A few nodes with a network, backend servers and a store that fail."""

from dataclasses import dataclass, field

from papayapost.ids import CallId, Incarnation, Micros
from papayapost.membership import DirectoryChanged
from papayapost.peering import PeerSend
from papayapost.states import Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptRefused,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
    OwnerLost,
)
from papayapost_testing.worlds import TrafficWorld, backend_row, traffic_world

from .stores import FakeStore, StoreFault

RULES = """\
route POST /bookings -> gusts retries=2 timeout_ms=500 # Mei: festival
route GET /* -> gusts idempotent=yes retries=2 hedge_ms=50 timeout_ms=500 # Mei: desk
"""
NAMES = ("a", "b", "c")
SLOTS = 2


@dataclass
class Node:
    name: str
    incarnation: int
    world: TrafficWorld
    is_paused: bool = False
    inbox: list = field(default_factory=list)
    unsent: list = field(default_factory=list)
    running: list = field(default_factory=list)


@dataclass
class Frame:
    target: str
    messages: list
    only: int | None = None


class Mesh:
    """Nodes that are each entry and owner, and what is true of each call."""

    def __init__(self):
        self.now_us = 1_000
        self.store = FakeStore()
        self.nodes = {name: self._boot(name, 1) for name in NAMES}
        self.frames = []
        self.store_queue = []
        self.late_writes = []
        self.offers = {}
        self.calls = {}
        self.ends = {}
        self.not_run = set()
        self.starts = {}
        self.key_starts = {}
        self.call_starts = {}

    def _boot(self, name, incarnation):
        rows = [backend_row(other, "gusts", slots=SLOTS) for other in NAMES]
        own = next(row for row in rows if row.node_id == name)
        own.incarnation = Incarnation(incarnation)
        others = [row for row in rows if row is not own]
        return Node(name, incarnation, traffic_world(own, others, RULES))

    def tick(self, node, *messages):
        node.inbox.extend(messages)
        if node.is_paused:
            return
        inbox, node.inbox = node.inbox, []
        for effect in node.world.world.tick(Micros(self.now_us), inbox):
            self._carry_out(node, effect)

    def _carry_out(self, node, effect):
        if isinstance(effect, (OfferSend, PeerSend)):
            self._carry_to_peer(effect)
        elif isinstance(effect, CallRefusal):
            self._end(effect.call_id)
            if effect.outcome is Outcome.NOT_RUN:
                assert effect.call_id not in self.call_starts
                self.not_run.add(effect.call_id)
        elif isinstance(effect, ForwardAnswer):
            assert self.offers[effect.attempt_id][0] == effect.call_id
            self._end(effect.call_id)
        elif isinstance(effect, BackendCallStart):
            node.unsent.append(effect.attempt_id)
        elif isinstance(effect, BackendCallCancel):
            self._cancel(node, effect.attempt_id)
        elif self.store.handles(effect):
            self.store_queue.append((node, effect))

    def _carry_to_peer(self, effect):
        if isinstance(effect, PeerSend):
            if isinstance(effect.message, AttemptRefused):
                assert effect.message.attempt_id not in self.starts
            self._send(effect.address, effect.message)
            return
        self.offers[effect.offer.attempt_id] = (effect.call_id, effect.offer)
        if not effect.is_local:
            self._send(effect.address, effect.offer)

    def _send(self, address, *messages):
        self.frames.append(Frame(address.partition(":")[0], list(messages)))

    def _end(self, call_id):
        self.ends[call_id] = self.ends.get(call_id, 0) + 1

    def _cancel(self, node, attempt_id):
        if attempt_id in node.running:
            node.running.remove(attempt_id)
            self.tick(node, BackendCallEnded(attempt_id, True, False))

    def arrive(self, name, method, path, key):
        call_id = CallId(len(self.calls) + 1)
        self.calls[call_id] = self.nodes[name]
        arrived = CallArrived(call_id, method, "wind", path, None, key)
        self.tick(self.nodes[name], arrived)

    def deliver(self, frame):
        node = self.nodes[frame.target]
        if frame.only in (None, node.incarnation):
            self.tick(node, *frame.messages)

    def repeat(self, frame):
        """Let a frame come twice, though never to two processes."""
        frame.only = self.nodes[frame.target].incarnation
        self.frames.append(Frame(frame.target, frame.messages, frame.only))

    def send_request(self, node):
        """Let the first waiting request reach its backend server."""
        attempt_id = node.unsent.pop(0)
        call_id, offer = self.offers[attempt_id]
        self.starts[attempt_id] = self.starts.get(attempt_id, 0) + 1
        assert self.starts[attempt_id] == 1, "an attempt started twice"
        assert call_id not in self.not_run, "it was said not to run"
        self.call_starts[call_id] = self.call_starts.get(call_id, 0) + 1
        assert offer.idempotent or self.call_starts[call_id] == 1, "it ran twice"
        key = offer.idempotency_key
        if key is not None and not offer.idempotent:
            assert key not in self.key_starts, "a keyed charge started twice"
            self.key_starts[key] = attempt_id
        node.running.append(attempt_id)

    def fail_to_connect(self, node):
        attempt_id = node.unsent.pop(0)
        self.tick(node, BackendCallEnded(attempt_id, False, False))

    def answer(self, node, is_whole):
        attempt_id = node.running.pop(0)
        if not is_whole:
            self.tick(node, BackendCallEnded(attempt_id, True, False))
            return
        begun = BackendCallBegun(attempt_id, 200)
        self.tick(node, begun, BackendCallEnded(attempt_id, True, True))
        _, offer = self.offers[attempt_id]
        answer = [
            AnswerBegun(offer.sender, attempt_id, 200, 1),
            AnswerEnded(offer.sender, attempt_id, True),
        ]
        self._send(offer.reply_to, *answer)

    def carry_out_store(self, position, fault, is_late=False):
        node, effect = self.store_queue.pop(position)
        if is_late:
            self.late_writes.append(effect)
        result = self.store.carry_out(effect, fault)
        if self.nodes[node.name] is node:
            self.tick(node, result)

    def land_late_writes(self):
        for effect in self.late_writes:
            self.store.carry_out(effect)
        self.late_writes.clear()

    def work(self, rounds, fault_at, fault, is_reached):
        """Let the mesh work undisturbed but for one fault of the store."""
        requests = 0
        for _ in range(rounds):
            frames, self.frames = self.frames, []
            for frame in frames:
                self.deliver(frame)
            while self.store_queue:
                requests += 1
                is_faulty = requests == fault_at
                self.carry_out_store(0, fault if is_faulty else StoreFault.NONE)
            for node in self.nodes.values():
                while node.unsent and is_reached:
                    self.send_request(node)
            self.advance(1_000)

    def advance(self, time_us):
        self.now_us += time_us
        for node in list(self.nodes.values()):
            due_us = node.world.world.next_due_us()
            if due_us is not None and due_us <= self.now_us:
                self.tick(node)

    def restart(self, name):
        old = self.nodes[name]
        self.nodes[name] = self._boot(name, old.incarnation + 1)

    def pause_or_resume(self, name):
        node = self.nodes[name]
        node.is_paused = not node.is_paused
        self.tick(node)

    def lose_connection(self, name, other):
        self.tick(self.nodes[name], OwnerLost(f"{other}:1"))

    def set_state(self, name, other, state):
        node = self.nodes[name]
        row = node.world.directory.require(other)
        row.state = state
        row.incarnation = Incarnation(self.nodes[other].incarnation)
        self.tick(node, DirectoryChanged((row,)))

    def settle(self):
        """Let everything end, with the network and the store gone."""
        self.frames.clear()
        for node in self.nodes.values():
            node.is_paused = False
            self.tick(node)
        for _ in range(6):
            for node in self.nodes.values():
                while node.unsent:
                    self.fail_to_connect(node)
                while node.running:
                    self.answer(node, is_whole=False)
            while self.store_queue:
                self.carry_out_store(0, StoreFault.DOWN)
            self.advance(400_000)

    def with_unsent(self):
        return [node for node in self.nodes.values() if node.unsent]

    def with_running(self):
        return [node for node in self.nodes.values() if node.running]

    def check_ends(self):
        for call_id, node in self.calls.items():
            is_alive = self.nodes[node.name] is node
            ends = self.ends.get(call_id, 0)
            assert ends == 1 or (not is_alive and ends == 0), call_id
        for node in self.nodes.values():
            part = node.world.traffic
            assert not len(part.calls.calls)
            assert not len(part.calls.attempts)
            assert not len(part.owner.attempts)
            assert not part.owner.running + part.owner.waiting + part.owner.claiming
            assert not any(row.attempts for row in part.upstreams.rows)

    def check_slots(self):
        for node in self.nodes.values():
            owner = node.world.traffic.owner
            assert owner.running <= SLOTS
            if not node.is_paused:
                assert owner.running == len(node.unsent) + len(node.running)
