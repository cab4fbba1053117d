"""Hands messages between a handful of worlds in virtual time."""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from papayapost.ids import Address, DataCentreId, Incarnation, Micros, NodeId, RegionId
from papayapost.kernel import World
from papayapost.membership import BackendServerRow, MembershipPart, build_membership
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost.states import BackendServerState
from papayapost.storage import (
    ObjectKey,
    ObjectSeen,
    ObjectUpdated,
    ReadObject,
    StoreFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
    WatchObject,
)

__all__ = ["MeshLoop", "MeshNode", "own_row"]

START_WALL_US = 1_700_000_000_000_000


@dataclass(slots=True)
class MeshNode:
    """One world with its membership part."""

    world: World
    part: MembershipPart
    is_paused: bool = False


class MeshLoop:
    """Worlds joined by messages that may be late, doubled, lost or cut.

    Attributes
    ----------
    groups
        Group of each address; messages pass only within a group.
    """

    def __init__(self, seed: int, seeds: Sequence[str] = ()):
        self.random = Random(seed)
        self.seeds = [Address(item) for item in seeds]
        self.nodes: dict[Address, MeshNode] = {}
        self.now_us = Micros(0)
        self.drop_rate = self.duplicate_rate = 0.0
        self.max_delay_us = 2_000
        self.groups: dict[Address, int] = {}
        self.store: dict[ObjectKey, tuple[int, object]] = {}
        self.store_is_down = False
        self.effects: list[tuple[Address, object]] = []
        self._watches: dict[tuple[Address, ObjectKey], int] = {}
        self._queue: list[tuple[int, int, Address, object]] = []
        self._sequence = 0

    def start(self, name: str, data_centre: str = "n1", region: str = "n") -> MeshNode:
        """Start a node, or a new process of one; its name is its address."""
        address = Address(name)
        own = own_row(name, data_centre, region, START_WALL_US + self.now_us)
        me = SelfRow(own.node_id, own.incarnation, own.place, address)
        part = build_membership(me, self.seeds, own)
        world = World(part.systems, Random(f"{name}/{self.now_us}"))
        node = self.nodes[address] = MeshNode(world, part)
        for message in part.first_messages:
            self.post(address, message)
        return node

    def kill(self, name: str) -> None:
        """Stop a node without a word."""
        self.nodes.pop(Address(name), None)

    def pause(self, name: str, is_paused: bool = True) -> None:
        """Stop a process from running, or let it run again."""
        self.nodes[Address(name)].is_paused = is_paused
        if not is_paused:
            self.post(Address(name), None)

    def post(self, address: Address, message: object, delay_us: int = 0) -> None:
        """Queue a message; None only wakes the world for its timers."""
        self._sequence += 1
        due_us = self.now_us + delay_us
        heapq.heappush(self._queue, (due_us, self._sequence, address, message))

    def run(self, seconds: float) -> None:
        """Run all that is due within some seconds of virtual time."""
        end_us = self.now_us + int(seconds * 1e6)
        while self._queue and self._queue[0][0] <= end_us:
            due_us, _, address, message = heapq.heappop(self._queue)
            self.now_us = Micros(max(self.now_us, due_us))
            node = self.nodes.get(address)
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
                self._store_call(address, effect)
        next_us = node.world.next_due_us()
        if next_us is not None:
            self.post(address, None, max(0, next_us - self.now_us))

    def _send(self, sender: Address, effect: PeerSend) -> None:
        groups = self.groups
        if groups.get(sender, 0) != groups.get(effect.address, 0):
            return
        copies = 1 + (self.random.random() < self.duplicate_rate)
        for _ in range(copies):
            if self.random.random() >= self.drop_rate:
                delay_us = self.random.randrange(200, self.max_delay_us)
                self.post(effect.address, effect.message, delay_us)

    def _store_call(self, address: Address, effect: object) -> None:
        if isinstance(effect, UpdateObject):
            self.post(address, self._update(effect), 5_000)
        elif isinstance(effect, ReadObject):
            key, request_id = effect.key, effect.request_id
            answer = ObjectSeen(key, *self.store.get(key, (0, None)), request_id)
            failed = StoreFailed(key, "down", request_id)
            self.post(address, failed if self.store_is_down else answer, 5_000)
        elif isinstance(effect, WatchObject):
            self._watches[address, effect.key] = effect.after_version
            self._answer_watches(effect.key)

    def _update(self, update: UpdateObject) -> object:
        key, request_id = update.key, update.request_id
        if self.store_is_down:
            return UpdateUnknown(key, request_id, "down")
        version = self.store.get(key, (0, None))[0]
        if version != update.expected_version:
            return UpdateConflicted(key, request_id, version)
        self.store[key] = (version + 1, update.value)
        self._answer_watches(key)
        return ObjectUpdated(key, request_id, version + 1)

    def _answer_watches(self, key: ObjectKey) -> None:
        version, value = self.store.get(key, (0, None))
        for (address, watched), after in list(self._watches.items()):
            if watched == key and self.store_is_down:
                self.post(address, StoreFailed(key, "down"), 5_000)
            elif watched == key and version != after:
                self.post(address, ObjectSeen(key, version, value), 5_000)
            else:
                continue
            del self._watches[address, watched]


def own_row(
    name: str, data_centre: str, region: str, incarnation: int
) -> BackendServerRow:
    """Return the first row of a process."""
    place = Place(DataCentreId(data_centre), RegionId(region))
    return BackendServerRow(
        NodeId(name),
        Incarnation(incarnation),
        1,
        None,
        place.data_centre,
        place.region,
        Address(name),
        4,
        BackendServerState.READY,
    )
