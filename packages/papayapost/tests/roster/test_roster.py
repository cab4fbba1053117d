"""Flat membership: discovery through the store, heartbeats, and rules."""

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
from papayapost_testing.traffic_worlds import NORTH_1, NORTH_2, SOUTH_1, backend_row

SECOND_US = 1_000_000
PEER_DELAY_US = 2_000
STORE_DELAY_US = 4_000
RULES = "route GET /* -> gusts idempotent=yes # Mei: wind desk\n"
NEWER_RULES = RULES + "route POST /* -> gusts # Mei: bookings\n"


class Node:
    def __init__(self, name, place, started_us):
        own = backend_row(name, "gusts", place)
        own.incarnation = Incarnation(started_us)
        me = SelfRow(own.node_id, own.incarnation, place, own.peer_address)
        self.me = me
        self.built = build_roster_world(me, own, Random(name))
        self.events = []

    @property
    def known_ids(self):
        return {row.node_id for row in self.built.directory}

    @property
    def rules(self) -> RulesTable:
        return self.built.rules


class Mesh:
    """Nodes and an object store in virtual time, with fault injection.

    Attributes
    ----------
    rejected_by_store
        Addresses of the nodes whose store requests fail.
    partitioned
        Addresses of the nodes without a connection to their peers.
    """

    def __init__(self):
        self.now_us = SECOND_US
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.version = 0
        self.nodes: dict[Address, Node] = {}
        self.watches: dict[Address, WatchObject] = {}
        self.rejected_by_store: set[Address] = set()
        self.partitioned: set[Address] = set()
        self.loses_update_replies = False
        self._queue: list = []
        self._count = 0

    def start(self, name, place=NORTH_1, clock_us=None) -> Node:
        node = Node(name, place, clock_us or self.now_us)
        address = node.me.peer_address
        self.nodes[address] = node
        self.watches.pop(address, None)
        for message in node.built.first_messages():
            self._schedule(address, message, 0)
        return node

    def write(self, key, value):
        self.version += 1
        self.objects[key] = (self.version, value)
        for address, watch in list(self.watches.items()):
            if watch.key == key and address not in self.rejected_by_store:
                del self.watches[address]
                seen = ObjectRead(key, self.version, value)
                self._schedule(address, seen, STORE_DELAY_US)

    def run(self, span_us):
        end_us = self.now_us + span_us
        while (event := self._next(end_us)) is not None:
            due_us, address, messages = event
            self.now_us = max(self.now_us, due_us)
            if address in self.nodes:
                self._tick(address, messages)
        self.now_us = end_us

    def _next(self, end_us):
        """Remove and return the next event due by `end_us`, or None."""
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
                if not {address, effect.address} & self.partitioned:
                    self._schedule(effect.address, effect.message, PEER_DELAY_US)
            elif isinstance(effect, Noted):
                node.events.append(effect.event)
            else:
                self._apply_store_effect(address, effect)

    def _schedule(self, address, message, delay_us):
        self._count += 1
        item = (self.now_us + delay_us, self._count, address, message)
        heapq.heappush(self._queue, item)

    def _apply_store_effect(self, address, effect):
        if address in self.rejected_by_store:
            answer = self._error_for(effect)
            if answer is not None:
                self._schedule(address, answer, STORE_DELAY_US)
        elif isinstance(effect, UpdateObject):
            self._update(address, effect)
        elif isinstance(effect, ListObjects):
            found = tuple(
                ObjectRead(key, version, value)
                for key, (version, value) in self.objects.items()
                if key.kind is effect.kind
            )
            listed = ObjectsListed(
                effect.kind, effect.request_id, found, effect.may_be_stale
            )
            self._schedule(address, listed, STORE_DELAY_US)
        elif isinstance(effect, ReadObject):
            version, value = self.objects.get(effect.key, (0, None))
            seen = ObjectRead(effect.key, version, value, effect.request_id)
            self._schedule(address, seen, STORE_DELAY_US)
        elif isinstance(effect, WatchObject):
            version, value = self.objects.get(effect.key, (0, None))
            if version != effect.after_version:
                seen = ObjectRead(effect.key, version, value)
                self._schedule(address, seen, STORE_DELAY_US)
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
            if self.loses_update_replies:
                answer = UpdateOutcomeUnknown(effect.key, request_id, "no answer")
        self._schedule(address, answer, STORE_DELAY_US)

    def _error_for(self, effect):
        if isinstance(effect, UpdateObject):
            return UpdateOutcomeUnknown(effect.key, effect.request_id, "503")
        if isinstance(effect, ListObjects):
            key = ObjectKey(effect.kind, "")
            return StoreReadFailed(key, "503", effect.request_id)
        if isinstance(effect, ReadObject):
            return StoreReadFailed(effect.key, "503", effect.request_id)
        if isinstance(effect, WatchObject):
            return StoreReadFailed(effect.key, "503")
        return None


def start_three_nodes() -> tuple[Mesh, list[Node]]:
    mesh = Mesh()
    mesh.write(RULES_KEY, RULES)
    places = {"a": NORTH_1, "b": NORTH_2, "c": SOUTH_1}
    return mesh, [mesh.start(name, place) for name, place in places.items()]


def test_nodes_that_start_together_know_each_other_and_the_rules_within_1_s():
    mesh, nodes = start_three_nodes()
    mesh.run(SECOND_US)
    for node in nodes:
        assert node.known_ids == {"a", "b", "c"}
        assert node.rules.in_force.rules.text == RULES


def test_nodes_find_each_other_while_the_store_loses_update_replies():
    mesh = Mesh()
    mesh.loses_update_replies = True
    nodes = [mesh.start(name) for name in "abc"]
    mesh.run(3 * SECOND_US)
    assert all(node.known_ids == {"a", "b", "c"} for node in nodes)


def test_a_silent_node_is_removed_and_added_again_after_a_message():
    mesh, (a, b, c) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.partitioned.add(b.me.peer_address)
    mesh.run(3 * SECOND_US)
    assert a.known_ids == {"a", "c"}
    mesh.run(3 * SECOND_US)
    assert c.known_ids == {"a", "c"}
    assert b.known_ids == {"b"}
    mesh.partitioned.clear()
    mesh.run(3 * SECOND_US)
    assert a.known_ids == b.known_ids == c.known_ids == {"a", "b", "c"}


def test_peers_remove_a_leaving_node_at_once():
    mesh, (a, b, _) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh._schedule(b.me.peer_address, LeaveMesh(), 0)
    mesh.run(PEER_DELAY_US * 2)
    assert a.known_ids == {"a", "c"}


def test_a_changed_row_is_announced_to_all_peers_at_once():
    mesh, (a, b, c) = start_three_nodes()
    mesh.run(SECOND_US)
    own = b.built.directory.require("b")
    draining = replace(own, state=BackendServerState.DRAINING, revision=2)
    b.built.directory.put("b", draining)
    mesh._schedule(b.me.peer_address, OwnRowChanged(), 0)
    mesh.run(PEER_DELAY_US * 3)
    for node in (a, c):
        state = node.built.directory.require("b").state
        assert state is BackendServerState.DRAINING


def test_a_node_restarted_with_its_clock_set_back_rejoins():
    mesh, (a, b, c) = start_three_nodes()
    mesh.run(5 * SECOND_US)
    mesh.stop(b)
    mesh.run(3 * SECOND_US)
    restarted = mesh.start("b", NORTH_2, clock_us=10)
    mesh.run(3 * SECOND_US)
    assert a.known_ids == c.known_ids == restarted.known_ids == {"a", "b", "c"}
    row = a.built.directory.require("b")
    assert row.incarnation == restarted.me.incarnation
    assert Event.DEATH_REFUTED in restarted.events


def test_a_node_restarted_without_the_store_rejoins_within_1_s():
    mesh, (a, b, c) = start_three_nodes()
    mesh.run(5 * SECOND_US)
    mesh._schedule(b.me.peer_address, LeaveMesh(), 0)
    mesh.run(300_000)
    mesh.stop(b)
    mesh.rejected_by_store.add(b.me.peer_address)
    mesh.run(300_000)
    restarted = mesh.start("b", NORTH_2)
    mesh.run(700_000)
    assert a.known_ids == c.known_ids == restarted.known_ids == {"a", "b", "c"}
    assert restarted.rules.in_force is not None


def test_a_node_without_the_store_takes_new_rules_from_a_peer():
    mesh, (_, _, c) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.rejected_by_store.add(c.me.peer_address)
    mesh.write(RULES_KEY, NEWER_RULES)
    mesh.run(2 * SECOND_US)
    assert c.rules.in_force.rules.text == NEWER_RULES


def test_a_node_without_peers_takes_new_rules_from_the_store():
    mesh, (_, _, c) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.partitioned.add(c.me.peer_address)
    mesh.write(RULES_KEY, NEWER_RULES)
    mesh.run(STORE_DELAY_US * 3)
    assert c.rules.in_force.rules.text == NEWER_RULES


def test_an_older_rules_version_from_the_store_is_ignored():
    mesh, (_, _, c) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.write(RULES_KEY, NEWER_RULES)
    mesh.run(SECOND_US)
    version = c.rules.version
    old = ObjectRead(RULES_KEY, version - 1, RULES)
    mesh._schedule(c.me.peer_address, old, 0)
    mesh.run(SECOND_US)
    assert c.rules.version == version


def test_lost_entries_are_rewritten_within_2_s_of_the_end_of_a_store_outage():
    mesh, nodes = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.rejected_by_store |= set(mesh.nodes)
    for address, watch in list(mesh.watches.items()):
        del mesh.watches[address]
        mesh._schedule(address, StoreReadFailed(watch.key, "503"), 0)
    entries = {key for key in mesh.objects if key != RULES_KEY}
    assert len(entries) == 3
    for key in entries:
        del mesh.objects[key]
    mesh.run(5 * SECOND_US)
    assert all(node.known_ids == {"a", "b", "c"} for node in nodes)
    mesh.rejected_by_store.clear()
    mesh.run(2 * SECOND_US)
    assert {key for key in mesh.objects if key != RULES_KEY} == entries


def test_a_watch_answer_without_a_new_version_causes_no_immediate_watch():
    mesh, (a, _, _) = start_three_nodes()
    mesh.run(SECOND_US)
    watch = mesh.watches.pop(a.me.peer_address)
    sent_watches = []
    for _ in range(20):
        seen = ObjectRead(RULES_KEY, watch.after_version, RULES)
        effects = a.built.world.tick(Micros(mesh.now_us), [seen])
        sent_watches += [item for item in effects if isinstance(item, WatchObject)]
    assert not sent_watches


def test_a_rules_version_seen_in_several_heartbeats_is_requested_once():
    mesh, (_, _, c) = start_three_nodes()
    mesh.run(SECOND_US)
    mesh.rejected_by_store.add(c.me.peer_address)
    sent = []
    schedule = mesh._schedule

    def recording_schedule(address, message, delay_us):
        if isinstance(message, RulesWanted):
            sent.append(message)
        schedule(address, message, delay_us)

    mesh._schedule = recording_schedule
    mesh.write(RULES_KEY, NEWER_RULES)
    mesh.run(2 * SECOND_US)
    assert len(sent) == 1
