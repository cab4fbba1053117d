"""A mesh with a roster in virtual time: nodes, slow links and a store."""

import heapq
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum
from random import Random

from papayapost.distribution import RULES_KEY, EvidenceRow
from papayapost.ids import Address, DataCentreId, Incarnation, Micros, RegionId
from papayapost.node import NodeWorld, build_roster_world
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost.storage import ObjectKey
from papayapost.traffic import TrafficOptions
from papayapost_node.wire import (
    CONTROL_TYPES,
    MESSAGE_NUMBERS,
    CompressingCodec,
    MessagePackCodec,
)
from papayapost_testing.region_link import RegionLink
from papayapost_testing.roster_store import RosterStore
from papayapost_testing.traffic_worlds import backend_row

__all__ = ["LinkState", "MeshNode", "SlowLinkMesh"]

_REGION_DELAY_US = 2_000
_ACROSS_DELAY_US = 30_000
_LINK_BYTES_PER_S = 3_500_000 // 8
_START_US = 1_000_000
_CODEC = CompressingCodec(MessagePackCodec(MESSAGE_NUMBERS), CONTROL_TYPES)


class LinkState(Enum):
    """Whether a node's link to its peers carries messages."""

    UP = "up"
    CUT = "cut"


class MeshNode:
    """One node of the mesh, with the events and versions that it showed.

    Attributes
    ----------
    applied
        Time in µs and version of each change of the rules in force.
    clock_offset_us
        How far the clock of the node is ahead of virtual time.
    evidence
        Evidence of the node that its rules are the newest.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        started_us: int,
        link_mbps: float,
        evidence_limit_us: Micros | None,
        data_centres: Mapping[DataCentreId, RegionId] | None = None,
        options: TrafficOptions | None = None,
    ):
        own = backend_row(name, "gusts", place)
        own.link_mbps = link_mbps
        own.incarnation = Incarnation(started_us)
        self.me = SelfRow(own.node_id, own.incarnation, place, own.peer_address)
        self.evidence = EvidenceRow(evidence_limit_us)
        self.built: NodeWorld = build_roster_world(
            self.me,
            own,
            Random(name),
            options=options,
            evidence=self.evidence,
            data_centres=data_centres,
        )
        self.events: list[Event] = []
        self.applied: list[tuple[int, int]] = []
        self.link = LinkState.UP
        self.clock_offset_us = 0

    @property
    def address(self) -> Address:
        """Address of the node for its peers and for the store."""
        return self.me.peer_address

    @property
    def version(self) -> int:
        """Version of the rules in force, 0 if there are none."""
        return self.built.rules.version

    def applied_us(self, version: int) -> int | None:
        """Return when this or a later version was in force, or None."""
        return next((at for at, seen in self.applied if seen >= version), None)


class SlowLinkMesh:
    """Runs the worlds of all nodes over simulated links and a store.

    Parameters
    ----------
    link_rate_bytes_per_s
        Rate at which each node sends.
    evidence_limit_us
        Largest age of the evidence that the rules are the newest, or None.
    data_centres
        Region of each data centre, if the mesh keeps quotas.
    options
        Options of the traffic part of each node.

    Attributes
    ----------
    messages, sent_bytes
        Number and encoded bytes of messages by sender and type.
    are_regions_cut
        Whether messages between regions are lost.
    """

    def __init__(
        self,
        link_rate_bytes_per_s: int = _LINK_BYTES_PER_S,
        evidence_limit_us: Micros | None = None,
        data_centres: Mapping[DataCentreId, RegionId] | None = None,
        options: TrafficOptions | None = None,
    ):
        self.now_us = _START_US
        self.nodes: dict[Address, MeshNode] = {}
        self.messages: Counter[tuple[Address, type]] = Counter()
        self.sent_bytes: Counter[tuple[Address, type]] = Counter()
        self.store = RosterStore(self._clock, self._call_later, self._deliver)
        self._link_rate_bytes_per_s = link_rate_bytes_per_s
        self.are_regions_cut = False
        self._evidence_limit_us = evidence_limit_us
        self._data_centres = data_centres
        self._options = options
        self._links: dict[RegionId, RegionLink] = {}
        self._free_us: dict[Address, int] = {}
        self._timers: dict[Address, int] = {}
        self._queue: list = []
        self._count = 0

    def part_from_store(self, region: RegionId, rate_bytes_per_s: int) -> RegionLink:
        """Let all bytes to a region pass one link, those of the store too."""
        link = RegionLink(rate_bytes_per_s, self._clock, self._call_later)
        self._links[region] = link
        return link

    def start(self, name: str, place: Place, clock_offset_us: int = 0) -> MeshNode:
        """Start a node, or a new process of it."""
        link_mbps = self._link_rate_bytes_per_s * 8 / 1e6
        limit_us, data_centres = self._evidence_limit_us, self._data_centres
        node = MeshNode(
            name, place, self.now_us, link_mbps, limit_us, data_centres, self._options
        )
        node.clock_offset_us = clock_offset_us
        self.store.clock_offsets_us[node.address] = clock_offset_us
        self.store.forget(node.address)
        self.nodes[node.address] = node
        link = self._links.get(place.region)
        if link is not None:
            self.store.links[node.address] = link
        self._tick(node.address, node.built.first_messages())
        return node

    def stop(self, node: MeshNode) -> None:
        """End the process of a node without a farewell."""
        del self.nodes[node.address]
        self.store.forget(node.address)

    def write_rules(self, text: str, number: int | None = None) -> int:
        """Store a rules text and return its version."""
        return self.store.write_rules(text, number)

    def objects_besides_rules(self) -> set[ObjectKey]:
        """Return the keys of the nodes' entries."""
        return {key for key in self.store.objects if key != RULES_KEY}

    def run(self, span_us: int) -> None:
        """Advance virtual time by a span."""
        end_us = self.now_us + span_us
        while self._queue and self._queue[0][0] <= end_us:
            due_us, _, action = heapq.heappop(self._queue)
            self.now_us = max(self.now_us, due_us)
            action()
        self.now_us = end_us

    def post(self, node: MeshNode, message: object) -> None:
        """Pass a message to a node at once."""
        self._tick(node.address, [message])

    def post_all(self, node: MeshNode, messages: list) -> None:
        """Pass several messages to a node in one tick."""
        self._tick(node.address, messages)

    def _clock(self) -> int:
        return self.now_us

    def _call_later(self, delay_us: int, action: Callable[[], None]) -> None:
        self._count += 1
        item = (self.now_us + delay_us, self._count, action)
        heapq.heappush(self._queue, item)

    def _deliver(self, address: Address, message: object) -> None:
        if address in self.nodes:
            self._tick(address, [message])

    def _tick(self, address: Address, messages: list) -> None:
        node = self.nodes[address]
        clock_us = Micros(self.now_us + node.clock_offset_us)
        for effect in node.built.world.tick(clock_us, messages):
            if isinstance(effect, PeerSend):
                self._send(node, effect)
            elif isinstance(effect, Noted):
                node.events.append(effect.event)
            else:
                self._apply_effect(node, effect)
        if node.version != (node.applied[-1][1] if node.applied else 0):
            node.applied.append((self.now_us, node.version))
        due_us = node.built.world.next_due_us()
        if due_us is not None and due_us != self._timers.get(address):
            self._timers[address] = due_us
            delay_us = max(0, due_us - clock_us)
            self._call_later(delay_us, lambda: self._wake(address, due_us))

    def _apply_effect(self, node: MeshNode, effect: object) -> None:
        """Carry out any other effect than a message to a peer or an event."""
        self.store.apply_effect(node.address, effect)

    def _wake(self, address: Address, due_us: int) -> None:
        if address in self.nodes and self._timers.get(address) == due_us:
            del self._timers[address]
            self._tick(address, [])

    def _send(self, sender: MeshNode, effect: PeerSend) -> None:
        size_bytes = len(_CODEC.encode(effect.message))
        key = (sender.address, type(effect.message))
        self.messages[key] += 1
        self.sent_bytes[key] += size_bytes
        start_us = max(self.now_us, self._free_us.get(sender.address, 0))
        end_us = start_us + size_bytes * 1_000_000 // self._link_rate_bytes_per_s
        self._free_us[sender.address] = end_us
        receiver = self.nodes.get(effect.address)
        is_near = receiver and receiver.me.place.region == sender.me.place.region
        delay_us = _REGION_DELAY_US if is_near else _ACROSS_DELAY_US
        link = self._links.get(receiver.me.place.region) if receiver else None

        def receive() -> None:
            self._receive(sender, effect)

        def cross() -> None:
            if link is None or is_near:
                receive()
            else:
                link.carry(type(effect.message).__name__, size_bytes, receive)

        self._call_later(end_us - self.now_us + delay_us, cross)

    def _receive(self, sender: MeshNode, effect: PeerSend) -> None:
        receiver = self.nodes.get(effect.address)
        if receiver is None or LinkState.CUT in (sender.link, receiver.link):
            return
        is_near = receiver.me.place.region == sender.me.place.region
        if self.are_regions_cut and not is_near:
            return
        self._tick(effect.address, [effect.message])
