"""Nodes that find each other in the store and exchange beats."""

import heapq
from dataclasses import replace
from random import Random

from papayapost.distribution import RULES_KEY, RulesTable, RulesWanted
from papayapost.ids import Address, Incarnation, Micros
from papayapost.membership import LeaveMesh, OwnRowChanged
from papayapost.node import build_roster_world
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import BackendServerState
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectSeen,
    ObjectsListed,
    ObjectUpdated,
    StoreFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
    WatchObject,
)
from papayapost_testing.worlds import NORTH_1, NORTH_2, SOUTH_1, backend_row

SECOND_US = 1_000_000
HOP_US = 2_000
STORE_US = 4_000
RULES = "route GET /* -> gusts idempotent=yes # Mei: wind desk\n"
NEWER = RULES + "route POST /* -> gusts # Mei: bookings\n"


class Node:
    def __init__(self, name, place, started_us):
        own = backend_row(name, "gusts", place)
        own.incarnation = Incarnation(started_us)
        me = SelfRow(own.node_id, own.incarnation, place, own.peer_address)
        self.me = me
        self.built = build_roster_world(me, own, Random(name))
        self.noted = []

    @property
    def known(self):
        return {row.node_id for row in self.built.directory}

    @property
    def rules(self) -> RulesTable:
        return self.built.rules


class Mesh:
    """Nodes and a store in virtual time; both can be cut off."""

    def __init__(self):
        self.now_us = SECOND_US
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.version = 0
        self.nodes: dict[Address, Node] = {}
        self.watches: dict[Address, WatchObject] = {}
        self.turned_away: set[Address] = set()
        self.cut: set[Address] = set()
        self.loses_answers = False
        self._queue: list = []
        self._count = 0

    def start(self, name, place=NORTH_1, clock_us=None) -> Node:
        node = Node(name, place, clock_us or self.now_us)
        address = node.me.peer_address
        self.nodes[address] = node
        self.watches.pop(address, None)
        for message in node.built.first_messages():
            self._deliver(address, message, 0)
        return node

    def write(self, key, value):
        self.version += 1
        self.objects[key] = (self.version, value)
        for address, watch in list(self.watches.items()):
            if watch.key == key and address not in self.turned_away:
                del self.watches[address]
                seen = ObjectSeen(key, self.version, value)
                self._deliver(address, seen, STORE_US)

    def run(self, span_us):
        end_us = self.now_us + span_us
        while (event := self._next(end_us)) is not None:
            due_us, address, messages = event
            self.now_us = max(self.now_us, due_us)
            if address in self.nodes:
                self._tick(address, messages)
        self.now_us = end_us

    def _next(self, end_us):
        """Take the next message or timer that is due by then."""
        timers = [
            (due_us, address, [])
            for address, node in self.nodes.items()
            if (due_us := node.built.world.next_due_us()) is not None
        ]
        timer = min(timers, default=None)
        if self._queue and (timer is None or self._queue[0][0] <= timer[0]):
            if self._queue[0][0] > end_us:
                return None
            due_us, _, address, message = heapq.heappop(self._queue)
            return due_us, address, [message]
        return timer if timer is not None and timer[0] <= end_us else None

    def stop(self, node):
        del self.nodes[node.me.peer_address]
        self.watches.pop(node.me.peer_address, None)

    def _tick(self, address, messages):
        node = self.nodes[address]
        for effect in node.built.world.tick(Micros(self.now_us), messages):
            if isinstance(effect, PeerSend):
                if not {address, effect.address} & self.cut:
                    self._deliver(effect.address, effect.message, HOP_US)
            elif isinstance(effect, Noted):
                node.noted.append(effect.event)
            else:
                self._store(address, effect)

    def _deliver(self, address, message, delay_us):
        self._count += 1
        item = (self.now_us + delay_us, self._count, address, message)
        heapq.heappush(self._queue, item)

    def _store(self, address, effect):
        if address in self.turned_away:
            answer = self._refusal(effect)
            if answer is not None:
                self._deliver(address, answer, STORE_US)
        elif isinstance(effect, UpdateObject):
            self._update(address, effect)
        elif isinstance(effect, ListObjects):
            found = tuple(
                ObjectSeen(key, version, value)
                for key, (version, value) in self.objects.items()
                if key.kind is effect.kind
            )
            listed = ObjectsListed(
                effect.kind, effect.request_id, found, effect.may_be_stale
            )
            self._deliver(address, listed, STORE_US)
        elif isinstance(effect, WatchObject):
            version, value = self.objects.get(effect.key, (0, None))
            if version != effect.after_version:
                seen = ObjectSeen(effect.key, version, value)
                self._deliver(address, seen, STORE_US)
            else:
                self.watches[address] = effect

    def _update(self, address, effect):
        current = self.objects.get(effect.key, (0, None))[0]
        request_id = effect.request_id
        if current != effect.expected_version:
            answer = UpdateConflicted(effect.key, request_id, current)
        else:
            self.write(effect.key, effect.value)
            answer = ObjectUpdated(effect.key, request_id, self.version)
            if self.loses_answers:
                answer = UpdateUnknown(effect.key, request_id, "no answer")
        self._deliver(address, answer, STORE_US)

    def _refusal(self, effect):
        if isinstance(effect, UpdateObject):
            return UpdateUnknown(effect.key, effect.request_id, "503")
        if isinstance(effect, ListObjects):
            key = ObjectKey(effect.kind, "")
            return StoreFailed(key, "503", effect.request_id)
        if isinstance(effect, WatchObject):
            return StoreFailed(effect.key, "503")
        return None


def three() -> tuple[Mesh, list[Node]]:
    mesh = Mesh()
    mesh.write(RULES_KEY, RULES)
    places = {"a": NORTH_1, "b": NORTH_2, "c": SOUTH_1}
    return mesh, [mesh.start(name, place) for name, place in places.items()]


def test_nodes_that_start_at_once_know_each_other_and_the_rules_in_a_second():
    mesh, nodes = three()
    mesh.run(SECOND_US)
    for node in nodes:
        assert node.known == {"a", "b", "c"}
        assert node.rules.in_force.rules.text == RULES


def test_a_mesh_starts_while_the_store_loses_its_answers():
    mesh = Mesh()
    mesh.loses_answers = True
    nodes = [mesh.start(name) for name in "abc"]
    mesh.run(3 * SECOND_US)
    assert all(node.known == {"a", "b", "c"} for node in nodes)


def test_a_silent_node_is_lost_and_found_again():
    mesh, (a, b, c) = three()
    mesh.run(SECOND_US)
    mesh.cut.add(b.me.peer_address)
    mesh.run(3 * SECOND_US)
    assert a.known == {"a", "c"}
    mesh.run(3 * SECOND_US)
    assert c.known == {"a", "c"}
    assert b.known == {"b"}
    mesh.cut.clear()
    mesh.run(3 * SECOND_US)
    assert a.known == b.known == c.known == {"a", "b", "c"}


def test_a_node_that_leaves_says_so_at_once():
    mesh, (a, b, _) = three()
    mesh.run(SECOND_US)
    mesh._deliver(b.me.peer_address, LeaveMesh(), 0)
    mesh.run(HOP_US * 2)
    assert a.known == {"a", "c"}


def test_a_changed_row_is_with_the_others_at_once():
    mesh, (a, b, c) = three()
    mesh.run(SECOND_US)
    own = b.built.directory.require("b")
    draining = replace(own, state=BackendServerState.DRAINING, revision=2)
    b.built.directory.put("b", draining)
    mesh._deliver(b.me.peer_address, OwnRowChanged(), 0)
    mesh.run(HOP_US * 3)
    for node in (a, c):
        state = node.built.directory.require("b").state
        assert state is BackendServerState.DRAINING


def test_a_node_restarted_with_its_clock_set_back_is_believed():
    mesh, (a, b, c) = three()
    mesh.run(5 * SECOND_US)
    mesh.stop(b)
    mesh.run(3 * SECOND_US)
    again = mesh.start("b", NORTH_2, clock_us=10)
    mesh.run(3 * SECOND_US)
    assert a.known == c.known == again.known == {"a", "b", "c"}
    row = a.built.directory.require("b")
    assert row.incarnation == again.me.incarnation
    assert Event.DEATH_REFUTED in again.noted


def test_a_node_restarted_without_the_store_is_met_within_a_second():
    mesh, (a, b, c) = three()
    mesh.run(5 * SECOND_US)
    mesh._deliver(b.me.peer_address, LeaveMesh(), 0)
    mesh.run(300_000)
    mesh.stop(b)
    mesh.turned_away.add(b.me.peer_address)
    mesh.run(300_000)
    again = mesh.start("b", NORTH_2)
    mesh.run(700_000)
    assert a.known == c.known == again.known == {"a", "b", "c"}
    assert again.rules.in_force is not None


def test_a_node_that_the_store_turns_away_takes_new_rules_from_a_peer():
    mesh, (_, _, c) = three()
    mesh.run(SECOND_US)
    mesh.turned_away.add(c.me.peer_address)
    mesh.write(RULES_KEY, NEWER)
    mesh.run(2 * SECOND_US)
    assert c.rules.in_force.rules.text == NEWER


def test_a_node_without_peers_takes_new_rules_from_the_store():
    mesh, (_, _, c) = three()
    mesh.run(SECOND_US)
    mesh.cut.add(c.me.peer_address)
    mesh.write(RULES_KEY, NEWER)
    mesh.run(STORE_US * 3)
    assert c.rules.in_force.rules.text == NEWER


def test_rules_never_go_back_to_what_an_older_peer_or_store_shows():
    mesh, (_, _, c) = three()
    mesh.run(SECOND_US)
    mesh.write(RULES_KEY, NEWER)
    mesh.run(SECOND_US)
    version = c.rules.version
    old = ObjectSeen(RULES_KEY, version - 1, RULES)
    mesh._deliver(c.me.peer_address, old, 0)
    mesh.run(SECOND_US)
    assert c.rules.version == version


def test_entries_that_lapsed_are_back_within_two_seconds_of_the_stores_return():
    mesh, nodes = three()
    mesh.run(SECOND_US)
    mesh.turned_away |= set(mesh.nodes)
    for address, watch in list(mesh.watches.items()):
        del mesh.watches[address]
        mesh._deliver(address, StoreFailed(watch.key, "503"), 0)
    entries = {key for key in mesh.objects if key != RULES_KEY}
    assert len(entries) == 3
    for key in entries:
        del mesh.objects[key]
    mesh.run(5 * SECOND_US)
    assert all(node.known == {"a", "b", "c"} for node in nodes)
    mesh.turned_away.clear()
    mesh.run(2 * SECOND_US)
    assert {key for key in mesh.objects if key != RULES_KEY} == entries


def test_a_store_that_answers_with_nothing_new_is_not_asked_in_a_circle():
    mesh, (a, _, _) = three()
    mesh.run(SECOND_US)
    watch = mesh.watches.pop(a.me.peer_address)
    asked = []
    for _ in range(20):
        seen = ObjectSeen(RULES_KEY, watch.after_version, RULES)
        effects = a.built.world.tick(Micros(mesh.now_us), [seen])
        asked += [item for item in effects if isinstance(item, WatchObject)]
    assert not asked


def test_a_peer_is_asked_once_for_what_several_beats_show():
    mesh, (_, _, c) = three()
    mesh.run(SECOND_US)
    mesh.turned_away.add(c.me.peer_address)
    sent = []
    deliver = mesh._deliver

    def watched(address, message, delay_us):
        if isinstance(message, RulesWanted):
            sent.append(message)
        deliver(address, message, delay_us)

    mesh._deliver = watched
    mesh.write(RULES_KEY, NEWER)
    mesh.run(2 * SECOND_US)
    assert len(sent) == 1
