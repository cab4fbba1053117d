"""Simulates a mesh: delivers messages between worlds in virtual time."""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from papayapost.ids import Address, DataCentreId, Incarnation, Micros, RegionId
from papayapost.kernel import World
from papayapost.membership import MembershipPart, build_membership
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost_testing.simulated_store import SimulatedStore
from papayapost_testing.traffic_worlds import backend_row

__all__ = ["MeshNode", "SimulatedMesh"]

_START_WALL_US = 1_700_000_000_000_000
_STORE_DELAY_US = 5_000


@dataclass(slots=True)
class MeshNode:
    """World and membership part of one simulated node.

    Attributes
    ----------
    is_paused
        Whether the node runs no ticks; messages for it are delayed.
    """

    world: World
    part: MembershipPart
    is_paused: bool = False


class SimulatedMesh:
    """A simulated mesh that delays, duplicates and drops messages.

    Attributes
    ----------
    started_wall_us
        Wall-clock time in µs at which virtual time is 0.
    drop_rate, duplicate_rate
        Probability that a message is dropped, or sent twice.
    max_delay_us
        Upper bound of the random delay of a message, in µs.
    partitions
        Network partition of each address, 0 by default. Messages are
        delivered only within a partition.
    effects
        All effects so far, each with the address of its node.
    """

    def __init__(self, seed: int, seeds: Sequence[str] = ()):
        self.random = Random(seed)
        self.seeds = [Address(f"{item}:1") for item in seeds]
        self.nodes: dict[str, MeshNode] = {}
        self.now_us = Micros(0)
        self.started_wall_us = _START_WALL_US
        self.drop_rate = self.duplicate_rate = 0.0
        self.max_delay_us = 2_000
        self.partitions: dict[Address, int] = {}
        self.store = SimulatedStore(
            lambda to, answer: self.post(to, answer, _STORE_DELAY_US)
        )
        self.effects: list[tuple[Address, object]] = []
        self._queue: list[tuple[int, int, Address, object]] = []
        self._sequence = 0

    def start(self, name: str, data_centre: str = "n1", region: str = "n") -> MeshNode:
        """Start a node, or restart one with a new incarnation."""
        place = Place(DataCentreId(data_centre), RegionId(region))
        incarnation = Incarnation(self.started_wall_us + self.now_us)
        own = replace(backend_row(name, "gusts", place), incarnation=incarnation)
        me = SelfRow(own.node_id, incarnation, place, own.peer_address)
        part = build_membership(me, self.seeds, own)
        world = World(part.systems, Random(f"{name}/{self.now_us}"))
        self.nodes[name] = MeshNode(world, part)
        for message in part.first_messages:
            self.post(own.peer_address, message)
        return self.nodes[name]

    def kill(self, name: str) -> None:
        """Remove a node as if it crashed, without a message to its peers."""
        self.nodes.pop(name, None)

    def pause(self, name: str, is_paused: bool = True) -> None:
        """Pause a node, or resume it if `is_paused` is False."""
        self.nodes[name].is_paused = is_paused
        if not is_paused:
            self.post(Address(f"{name}:1"), None)

    def post(self, address: Address, message: object, delay_us: int = 0) -> None:
        """Queue a message; None only runs the timers that are due."""
        self._sequence += 1
        due_us = self.now_us + delay_us
        heapq.heappush(self._queue, (due_us, self._sequence, address, message))

    def run(self, seconds: float) -> None:
        """Run for some seconds of virtual time."""
        end_us = self.now_us + int(seconds * 1e6)
        while self._queue and self._queue[0][0] <= end_us:
            due_us, _, address, message = heapq.heappop(self._queue)
            self.now_us = Micros(max(self.now_us, due_us))
            node = self.nodes.get(address.partition(":")[0])
            if node is not None and node.is_paused and message is not None:
                self.post(address, message, 100_000)
            elif node is not None and not node.is_paused:
                self._tick(address, node, message)
        self.now_us = Micros(end_us)

    def _tick(self, address: Address, node: MeshNode, message: object) -> None:
        due_us = node.world.next_due_us()
        if message is None and (due_us is None or due_us > self.now_us):
            return
        messages = [] if message is None else [message]
        for effect in node.world.tick(self.now_us, messages):
            self.effects.append((address, effect))
            if isinstance(effect, PeerSend):
                self._send(address, effect)
            else:
                self.store.apply_effect(address, effect)
        next_us = node.world.next_due_us()
        if next_us is not None:
            self.post(address, None, max(0, next_us - self.now_us))

    def _send(self, sender: Address, effect: PeerSend) -> None:
        if self.partitions.get(sender, 0) != self.partitions.get(effect.address, 0):
            return
        for _ in range(1 + (self.random.random() < self.duplicate_rate)):
            if self.random.random() >= self.drop_rate:
                delay_us = self.random.randrange(200, self.max_delay_us)
                self.post(effect.address, effect.message, delay_us)
