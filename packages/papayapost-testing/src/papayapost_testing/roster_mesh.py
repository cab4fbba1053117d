"""Simulates a mesh that keeps a roster, in virtual time."""

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from papayapost.distribution import RULES_KEY, RulesTable
from papayapost.ids import Address, Incarnation, Micros, NodeId
from papayapost.kernel import World
from papayapost.membership import BackendServerRow, OwnRowChanged
from papayapost.node import NodeWorld, build_roster_world
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost.states import BackendServerState
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectRead,
    ObjectsListed,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)
from papayapost.traffic import OwnerConnectionLost
from papayapost_node.wire import Codec
from papayapost_testing.traffic_worlds import backend_row

__all__ = ["RosterMesh", "RosterNode", "Traffic"]

_START_WALL_US = 1_700_000_000_000_000
_REGION_DELAY_US = 1_000
_CROSS_REGION_DELAY_US = 25_000
_CONNECTION_LOSS_DELAY_US = 2_000
_STORE_DELAY_US = 5_000


@dataclass(slots=True)
class Traffic:
    """What the nodes of a mesh sent since the last reset.

    Parameters
    ----------
    messages, bytes
        Messages and bytes of their frames, by message type. Bytes are counted
        only if the mesh has a codec.
    cross_region_bytes
        Bytes of the frames between regions.
    store_calls
        Calls of the store, by type of effect.
    bytes_by_second
        Bytes that a node sent, by node and second.
    """

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    cross_region_bytes: int = 0
    store_calls: Counter[str] = field(default_factory=Counter)
    bytes_by_second: Counter[tuple[Address, int]] = field(default_factory=Counter)


@dataclass(slots=True)
class RosterNode:
    """One simulated node.

    Attributes
    ----------
    events
        Events that the node noted, each with the peer that it names.
    wake_us
        Time in µs of the earliest queued tick for its timers.
    """

    built: NodeWorld
    me: SelfRow
    events: list[tuple[Micros, Event, NodeId | None]] = field(default_factory=list)
    wake_us: int | None = None

    @property
    def world(self) -> World:
        """World of the node."""
        return self.built.world

    @property
    def known_ids(self) -> set[NodeId]:
        """Nodes in the directory of this node, which includes itself."""
        return {row.node_id for row in self.built.directory}

    @property
    def rules(self) -> RulesTable:
        """Rules of the node."""
        return self.built.rules

    @property
    def own(self) -> BackendServerRow:
        """Row of the node itself."""
        return self.built.directory.require(self.me.node_id)


class RosterMesh:
    """Nodes that keep a roster, with a store and a network that can fail.

    Parameters
    ----------
    seed
        Seed of all random choices.
    codec
        Codec by which frames are counted; None counts messages only.

    Attributes
    ----------
    drop_rate
        Probability that a message between nodes is lost.
    cut
        Pairs of sender and receiver between whom all messages are lost.
    link_delay_us
        Additional delay of each message that a node sends or receives.
    rejected_by_store
        Addresses of the nodes whose store calls fail.
    """

    def __init__(self, seed: int, codec: Codec | None = None):
        self.now_us = Micros(0)
        self.random = Random(seed)
        self.nodes: dict[Address, RosterNode] = {}
        self.traffic = Traffic()
        self.drop_rate = 0.0
        self.cut: set[tuple[Address, Address]] = set()
        self.link_delay_us: dict[Address, int] = {}
        self.rejected_by_store: set[Address] = set()
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self._codec = codec
        self._version = 0
        self._places: dict[Address, Place] = {}
        self._watches: dict[Address, WatchObject] = {}
        self._connections: set[tuple[Address, Address]] = set()
        self._queue: list[tuple[int, int, Address, RosterNode | None, object]] = []
        self._sequence = 0

    def start(self, name: str, place: Place) -> RosterNode:
        """Start a node, or restart it with a new incarnation."""
        incarnation = Incarnation(_START_WALL_US + self.now_us)
        own = replace(backend_row(name, "gusts", place), incarnation=incarnation)
        me = SelfRow(own.node_id, incarnation, place, own.peer_address)
        random = Random(f"{name}/{self.now_us}")
        node = RosterNode(build_roster_world(me, own, random), me)
        address = own.peer_address
        self.nodes[address], self._places[address] = node, place
        for message in node.built.first_messages():
            self._post(address, message)
        return node

    def vanish(self, name: str) -> None:
        """Remove a node so that its connections stay open and silent."""
        address = Address(f"{name}:1")
        del self.nodes[address]
        self._watches.pop(address, None)
        self._connections = {pair for pair in self._connections if address not in pair}

    def kill(self, name: str) -> None:
        """Remove a node so that its connections break."""
        address = Address(f"{name}:1")
        for sender, receiver in sorted(self._connections):
            if receiver == address:
                self._post_loss(sender, receiver)
        self.vanish(name)

    def break_connection(self, address: Address, other: Address) -> None:
        """Break the connections between two nodes, which both notice."""
        self._post_loss(address, other)
        self._post_loss(other, address)

    def change_state(self, name: str, state: BackendServerState) -> None:
        """Change the state in a node's own row."""
        node = self.nodes[Address(f"{name}:1")]
        own = node.own
        changed = replace(own, state=state, revision=own.revision + 1)
        node.built.directory.put(own.node_id, changed)
        self._post(own.peer_address, OwnRowChanged())

    def cut_between(self, some: set[Address], others: set[Address]) -> None:
        """Lose all messages from `some` nodes to `others`, and back."""
        self.cut |= {(a, b) for a in some for b in others}
        self.cut |= {(b, a) for a in some for b in others}

    def write_rules(self, text: str) -> None:
        """Write a new version of the rules to the store."""
        self._write(RULES_KEY, text)

    def fail_store(self) -> None:
        """Make the store reject all nodes, and end their watches."""
        self.rejected_by_store |= set(self._places)
        for address, watch in self._watches.items():
            self._post(address, StoreReadFailed(watch.key, "503"), _STORE_DELAY_US)
        self._watches.clear()

    def regain_store(self) -> None:
        """Make the store answer all nodes again."""
        self.rejected_by_store.clear()

    def run(self, seconds: float) -> None:
        """Run for some seconds of virtual time."""
        end_us = self.now_us + int(seconds * 1e6)
        queue = self._queue
        while queue and queue[0][0] <= end_us:
            due_us, _, address, sleeper, message = heapq.heappop(queue)
            self.now_us = Micros(max(self.now_us, due_us))
            node = self.nodes.get(address)
            if node is not None and (sleeper is None or sleeper is node):
                self._tick(address, node, message)
        self.now_us = Micros(end_us)

    def _tick(self, address: Address, node: RosterNode, message: object) -> None:
        if message is None:
            node.wake_us = None
        messages = [] if message is None else [message]
        for effect in node.world.tick(self.now_us, messages):
            if isinstance(effect, PeerSend):
                self._send(address, effect)
            elif isinstance(effect, Noted):
                node.events.append((self.now_us, effect.event, effect.peer))
            else:
                self._call_store(address, effect)
        due_us = node.world.next_due_us()
        if due_us is not None and (node.wake_us is None or due_us < node.wake_us):
            node.wake_us = due_us
            self._push(max(due_us, self.now_us), address, node, None)

    def _push(
        self, due_us: int, address: Address, node: RosterNode | None, message: object
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (due_us, self._sequence, address, node, message))

    def _post(self, address: Address, message: object, delay_us: int = 0) -> None:
        self._push(self.now_us + delay_us, address, None, message)

    def _post_loss(self, address: Address, lost: Address) -> None:
        if address in self.nodes:
            self._post(address, OwnerConnectionLost(lost), _CONNECTION_LOSS_DELAY_US)

    def _send(self, sender: Address, effect: PeerSend) -> None:
        receiver = effect.address
        near = self._places[sender].region == self._places[receiver].region
        self._count(sender, effect.message, near)
        is_cut = (sender, receiver) in self.cut
        if is_cut or self.random.random() < self.drop_rate:
            return
        if receiver not in self.nodes:
            return
        self._connections.add((sender, receiver))
        delay_us = _REGION_DELAY_US if near else _CROSS_REGION_DELAY_US
        delay_us += self.random.randrange(delay_us)
        for address in (sender, receiver):
            delay_us += self.link_delay_us.get(address, 0)
        self._post(receiver, effect.message, delay_us)

    def _count(self, sender: Address, message: object, near: bool) -> None:
        traffic, kind = self.traffic, type(message).__name__
        traffic.messages[kind] += 1
        if self._codec is None:
            return
        size_bytes = len(self._codec.encode(message))
        traffic.bytes[kind] += size_bytes
        traffic.bytes_by_second[sender, self.now_us // 1_000_000] += size_bytes
        if not near:
            traffic.cross_region_bytes += size_bytes

    def _call_store(self, address: Address, effect: object) -> None:
        if not isinstance(effect, (ListObjects, ReadObject, UpdateObject, WatchObject)):
            return
        self.traffic.store_calls[type(effect).__name__] += 1
        answer = self._answer(address, effect)
        if answer is not None:
            self._post(address, answer, _STORE_DELAY_US)

    def _answer(self, address: Address, effect: object) -> object:
        is_rejected = address in self.rejected_by_store
        if isinstance(effect, UpdateObject):
            if is_rejected:
                return UpdateOutcomeUnknown(effect.key, effect.request_id, "503")
            return self._update(effect)
        if isinstance(effect, ReadObject):
            if is_rejected:
                return StoreReadFailed(effect.key, "503", effect.request_id)
            version, value = self.objects.get(effect.key, (0, None))
            return ObjectRead(effect.key, version, value, effect.request_id)
        if isinstance(effect, ListObjects):
            if is_rejected:
                key = ObjectKey(effect.kind, "")
                return StoreReadFailed(key, "503", effect.request_id)
            return self._list(effect)
        assert isinstance(effect, WatchObject)
        if is_rejected:
            return StoreReadFailed(effect.key, "503")
        version, value = self.objects.get(effect.key, (0, None))
        if version != effect.after_version:
            return ObjectRead(effect.key, version, value)
        self._watches[address] = effect
        return None

    def _update(self, effect: UpdateObject) -> object:
        current = self.objects.get(effect.key, (0, None))[0]
        if current != effect.expected_version:
            return UpdateConflicted(effect.key, effect.request_id, current)
        self._write(effect.key, effect.value)
        return ObjectUpdated(effect.key, effect.request_id, self._version)

    def _list(self, effect: ListObjects) -> ObjectsListed:
        found = tuple(
            ObjectRead(key, version, value)
            for key, (version, value) in self.objects.items()
            if key.kind is effect.kind
        )
        return ObjectsListed(effect.kind, effect.request_id, found, effect.may_be_stale)

    def _write(self, key: ObjectKey, value: object) -> None:
        self._version += 1
        self.objects[key] = (self._version, value)
        for address, watch in list(self._watches.items()):
            if watch.key == key:
                del self._watches[address]
                seen = ObjectRead(key, self._version, value)
                self._post(address, seen, _STORE_DELAY_US)
