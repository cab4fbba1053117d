"""A mesh of three nodes whose network, backend servers and store can fail."""

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
    OwnerConnectionLost,
)
from papayapost_testing.traffic_worlds import TrafficWorld, backend_row, traffic_world

from .stores import FakeStore, StoreFault

RULES = """\
route POST /bookings -> gusts retries=2 timeout_ms=500 # Mei: festival
route GET /* -> gusts idempotent=yes retries=2 hedge_ms=50 timeout_ms=500 # Mei: desk
"""
NAMES = ("a", "b", "c")
SLOTS = 2


@dataclass
class Node:
    """One process of a node.

    Parameters
    ----------
    inbox
        Messages that wait for the node's next tick.
    unsent_requests, running
        Attempts that the node started: those that have not reached the backend
        server yet, and those that run there.
    """

    name: str
    incarnation: int
    world: TrafficWorld
    is_paused: bool = False
    inbox: list = field(default_factory=list)
    unsent_requests: list = field(default_factory=list)
    running: list = field(default_factory=list)


@dataclass
class Frame:
    """Messages under way to a node.

    Parameters
    ----------
    target
        Name of the node.
    only
        Incarnation of the one process that may receive the messages; None if
        any process of the node may.
    """

    target: str
    messages: list
    only: int | None = None


class Mesh:
    """Nodes that are entry and owner nodes, and a record of each call.

    The mesh asserts that no attempt runs twice, that a call which is not
    idempotent runs at most once, and that no call runs that was refused as not
    run. It checks this whenever a request reaches a backend server or a caller
    is refused.
    """

    def __init__(self):
        self.now_us = 1_000
        self.store = FakeStore()
        self.nodes = {name: self._start_node(name, 1) for name in NAMES}
        self.frames = []
        self.store_queue = []
        self.delayed_writes = []
        self.offers = {}
        self.calls = {}
        self.end_counts = {}
        self.reported_not_run = set()
        self.start_counts = {}
        self.attempts_by_key = {}
        self.call_start_counts = {}

    def _start_node(self, name, incarnation):
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
            self._handle_effect(node, effect)

    def _handle_effect(self, node, effect):
        if isinstance(effect, (OfferSend, PeerSend)):
            self._handle_peer_effect(effect)
        elif isinstance(effect, CallRefusal):
            self._end(effect.call_id)
            if effect.outcome is Outcome.NOT_RUN:
                assert effect.call_id not in self.call_start_counts
                self.reported_not_run.add(effect.call_id)
        elif isinstance(effect, ForwardAnswer):
            assert self.offers[effect.attempt_id][0] == effect.call_id
            self._end(effect.call_id)
        elif isinstance(effect, BackendCallStart):
            node.unsent_requests.append(effect.attempt_id)
        elif isinstance(effect, BackendCallCancel):
            self._cancel(node, effect.attempt_id)
        elif self.store.is_store_effect(effect):
            self.store_queue.append((node, effect))

    def _handle_peer_effect(self, effect):
        if isinstance(effect, PeerSend):
            if isinstance(effect.message, AttemptRefused):
                assert effect.message.attempt_id not in self.start_counts
            self._send(effect.address, effect.message)
            return
        self.offers[effect.offer.attempt_id] = (effect.call_id, effect.offer)
        if not effect.is_local:
            self._send(effect.address, effect.offer)

    def _send(self, address, *messages):
        self.frames.append(Frame(address.partition(":")[0], list(messages)))

    def _end(self, call_id):
        self.end_counts[call_id] = self.end_counts.get(call_id, 0) + 1

    def _cancel(self, node, attempt_id):
        if attempt_id in node.running:
            node.running.remove(attempt_id)
            self.tick(node, BackendCallEnded(attempt_id, True, False))

    def receive_call(self, name, method, path, key):
        call_id = CallId(len(self.calls) + 1)
        self.calls[call_id] = self.nodes[name]
        arrived = CallArrived(call_id, method, "wind", path, None, key)
        self.tick(self.nodes[name], arrived)

    def deliver(self, frame):
        node = self.nodes[frame.target]
        if frame.only in (None, node.incarnation):
            self.tick(node, *frame.messages)

    def deliver_again_later(self, frame):
        """Queue a frame for a second delivery to the same process of its node.

        A frame is never delivered to two processes of one node.
        """
        frame.only = self.nodes[frame.target].incarnation
        self.frames.append(Frame(frame.target, frame.messages, frame.only))

    def send_request(self, node):
        """Deliver a node's oldest unsent request to its backend server."""
        attempt_id = node.unsent_requests.pop(0)
        call_id, offer = self.offers[attempt_id]
        self.start_counts[attempt_id] = self.start_counts.get(attempt_id, 0) + 1
        assert self.start_counts[attempt_id] == 1, "an attempt ran twice"
        assert call_id not in self.reported_not_run, "a call ran after a refusal"
        self.call_start_counts[call_id] = self.call_start_counts.get(call_id, 0) + 1
        assert offer.idempotent or self.call_start_counts[call_id] == 1, (
            "a call ran twice"
        )
        key = offer.idempotency_key
        if key is not None and not offer.idempotent:
            assert key not in self.attempts_by_key, "a keyed request ran twice"
            self.attempts_by_key[key] = attempt_id
        node.running.append(attempt_id)

    def fail_to_connect(self, node):
        attempt_id = node.unsent_requests.pop(0)
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

    def handle_store_request(self, position, fault, is_write_delayed=False):
        node, effect = self.store_queue.pop(position)
        if is_write_delayed:
            self.delayed_writes.append(effect)
        result = self.store.apply_effect(effect, fault)
        if self.nodes[node.name] is node:
            self.tick(node, result)

    def apply_delayed_writes(self):
        for effect in self.delayed_writes:
            self.store.apply_effect(effect)
        self.delayed_writes.clear()

    def run_with_store_fault(self, rounds, fault_at, fault, reaches_backend_server):
        """Run the mesh for some rounds with at most one fault of the store."""
        requests = 0
        for _ in range(rounds):
            frames, self.frames = self.frames, []
            for frame in frames:
                self.deliver(frame)
            while self.store_queue:
                requests += 1
                is_faulty = requests == fault_at
                self.handle_store_request(0, fault if is_faulty else StoreFault.NONE)
            for node in self.nodes.values():
                while node.unsent_requests and reaches_backend_server:
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
        self.nodes[name] = self._start_node(name, old.incarnation + 1)

    def pause_or_resume(self, name):
        node = self.nodes[name]
        node.is_paused = not node.is_paused
        self.tick(node)

    def report_lost_connection(self, name, other):
        self.tick(self.nodes[name], OwnerConnectionLost(f"{other}:1"))

    def set_directory_state(self, name, other, state):
        node = self.nodes[name]
        row = node.world.directory.require(other)
        row.state = state
        row.incarnation = Incarnation(self.nodes[other].incarnation)
        self.tick(node, DirectoryChanged((row,)))

    def end_all_work(self):
        """End all calls and attempts with the network and the store down."""
        self.frames.clear()
        for node in self.nodes.values():
            node.is_paused = False
            self.tick(node)
        for _ in range(6):
            for node in self.nodes.values():
                while node.unsent_requests:
                    self.fail_to_connect(node)
                while node.running:
                    self.answer(node, is_whole=False)
            while self.store_queue:
                self.handle_store_request(0, StoreFault.DOWN)
            self.advance(400_000)

    def nodes_with_unsent_requests(self):
        return [node for node in self.nodes.values() if node.unsent_requests]

    def nodes_with_running_requests(self):
        return [node for node in self.nodes.values() if node.running]

    def check_each_call_ended_once(self):
        for call_id, node in self.calls.items():
            is_alive = self.nodes[node.name] is node
            ends = self.end_counts.get(call_id, 0)
            assert ends == 1 or (not is_alive and ends == 0), call_id
        for node in self.nodes.values():
            part = node.world.traffic
            assert not len(part.calls.calls)
            assert not len(part.calls.attempts)
            assert not len(part.owner.attempts)
            assert (
                not part.owner.running
                + part.owner.waiting
                + part.owner.waiting_for_claim
            )
            assert not any(row.attempts for row in part.upstreams.rows)

    def check_slots(self):
        for node in self.nodes.values():
            owner = node.world.traffic.owner
            assert owner.running <= SLOTS
            if not node.is_paused:
                assert owner.running == len(node.unsent_requests) + len(node.running)
