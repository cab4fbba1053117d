"""Simulates calls over the traffic parts of many nodes in virtual time."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from papayapost.ids import AttemptId, CallId, Micros, NodeId
from papayapost.kernel import World
from papayapost.peering import PeerSend
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
)
from papayapost_testing.traffic_worlds import TrafficWorld

__all__ = ["BackendAnswer", "CallEnd", "CallRow", "SimulatedCalls"]

_HOP_US = 500

NodeCallId = tuple[NodeId, CallId]


class CallEnd(Enum):
    """How a simulated call ended."""

    OPEN = "open"
    ANSWERED = "answered"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """What a backend server does with one request.

    Parameters
    ----------
    service_us
        Time in µs from the start of the request to its answer.
    status
        HTTP status of the answer.
    """

    service_us: int
    status: int = 200


@dataclass(slots=True)
class CallRow:
    """A simulated call.

    Parameters
    ----------
    started_us
        Time in µs at which a backend server first worked on it, or None.
    ended_us
        Time in µs of its answer or refusal, or None while it is open.
    status
        HTTP status of the answer or refusal.
    offers
        Number of attempts that were offered for it.
    """

    arrived_us: int
    started_us: int | None = None
    ended_us: int | None = None
    end: CallEnd = CallEnd.OPEN
    status: int = 0
    offers: int = 0


@dataclass(order=True, slots=True)
class _Arrival:
    """Messages that reach a node in one tick; none to run its due timers."""

    at_us: int
    sequence: int
    node_id: NodeId = field(compare=False)
    messages: tuple = field(compare=False)


class SimulatedCalls:
    """Runs the worlds of several nodes and delivers their messages.

    Parameters
    ----------
    nodes
        The nodes; the address of each starts with its id.
    backend
        Returns what the backend server of a node does with its next request.
    hop_us
        Returns the time in µs that a message takes from one node to another.
    """

    def __init__(
        self,
        nodes: Mapping[NodeId, TrafficWorld],
        backend: Callable[[NodeId, Random], BackendAnswer],
        seed: int = 11,
        hop_us: Callable[[NodeId, NodeId], int] = lambda sender, receiver: _HOP_US,
    ):
        self.random = Random(seed)
        self.calls: dict[NodeCallId, CallRow] = {}
        self._worlds: dict[NodeId, World] = {
            node_id: node.world for node_id, node in nodes.items()
        }
        self._backend = backend
        self._hop_us = hop_us
        self._queue: list[_Arrival] = []
        self._sequence = 0
        self._offers: dict[AttemptId, tuple[NodeCallId, AttemptOffer]] = {}
        self._statuses: dict[AttemptId, int] = {}

    def arrive(self, at_us: int, node_id: NodeId, arrived: CallArrived) -> None:
        """Have a caller send a request to a node."""
        self.calls[node_id, arrived.call_id] = CallRow(at_us)
        self._send(at_us, node_id, arrived)

    def run(self) -> None:
        """Run until no message is in transit and no timer is set."""
        while self._queue:
            arrival = heapq.heappop(self._queue)
            now_us, node_id = Micros(arrival.at_us), arrival.node_id
            world = self._worlds[node_id]
            due_us = world.next_due_us()
            if not arrival.messages and (due_us is None or due_us > now_us):
                continue
            for effect in world.tick(now_us, arrival.messages):
                self._apply_effect(now_us, node_id, effect)
            next_us = world.next_due_us()
            if next_us is not None:
                self._send(max(now_us, next_us), node_id)

    def _send(self, at_us: int, node_id: NodeId, *messages: object) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, _Arrival(at_us, self._sequence, node_id, messages))

    def _apply_effect(self, now_us: int, node_id: NodeId, effect: object) -> None:
        if isinstance(effect, OfferSend):
            key = (node_id, effect.call_id)
            self.calls[key].offers += 1
            self._offers[effect.offer.attempt_id] = (key, effect.offer)
            if not effect.is_local:
                self._send_to_peer(now_us, node_id, effect.address, effect.offer)
        elif isinstance(effect, PeerSend):
            self._send_to_peer(now_us, node_id, effect.address, effect.message)
        elif isinstance(effect, BackendCallStart):
            self._run_backend(now_us, node_id, effect)
        elif isinstance(effect, ForwardAnswer):
            status = self._statuses[effect.attempt_id]
            key = (node_id, effect.call_id)
            self._end(now_us, key, CallEnd.ANSWERED, status)
        elif isinstance(effect, CallRefusal):
            key = (node_id, effect.call_id)
            self._end(now_us, key, CallEnd.REFUSED, effect.status)

    def _send_to_peer(
        self, now_us: int, sender: NodeId, address: str, message: object
    ) -> None:
        receiver = NodeId(address.partition(":")[0])
        self._send(now_us + self._hop_us(sender, receiver), receiver, message)

    def _run_backend(
        self, now_us: int, node_id: NodeId, start: BackendCallStart
    ) -> None:
        attempt_id = start.attempt_id
        key, offer = self._offers[attempt_id]
        call = self.calls[key]
        if call.started_us is None:
            call.started_us = now_us
        answer = self._backend(node_id, self.random)
        done_us = now_us + 1 + answer.service_us
        self._statuses[attempt_id] = answer.status
        self._send(
            done_us,
            node_id,
            BackendCallBegun(attempt_id, answer.status),
            BackendCallEnded(attempt_id, True, True),
        )
        hop_us = 0 if offer.sender == node_id else self._hop_us(node_id, offer.sender)
        self._send(
            done_us + hop_us,
            offer.sender,
            AnswerBegun(node_id, attempt_id, answer.status, 0),
            AnswerEnded(node_id, attempt_id, True),
        )

    def _end(self, now_us: int, key: NodeCallId, end: CallEnd, status: int) -> None:
        call = self.calls[key]
        call.ended_us, call.end, call.status = now_us, end, status
