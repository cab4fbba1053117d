"""State-machine test of the distribution on four nodes under faults."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, StatusReport, status_key
from papayapost.ids import DataCentreId, NodeId, RuleVersion
from papayapost.membership import (
    ChildJoined,
    ChildLeft,
    DirectoryChanged,
    ParentChanged,
    RoleChanged,
)
from papayapost.peering import PeerSend
from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)
from papayapost_testing.distribution_worlds import (
    child_row,
    distribution_world,
    parent_row,
)
from papayapost_testing.traffic_worlds import SOUTH_1, backend_row

PARENTS = {"link": None, "relay": "link", "leaf-1": "relay", "leaf-2": "relay"}
STATUS_KEY = status_key(DataCentreId("north-1"))
SERVICES = ("gusts", "archive")
ROWS = (
    backend_row("link", None),
    backend_row("relay", None),
    backend_row("leaf-1", "gusts"),
    backend_row("leaf-2", "archive"),
    backend_row("elsewhere", "late", SOUTH_1),
)
SECOND_US = 1_000_000


class FaultyStore:
    """Stand-in of the object store that can be down, stale or lose replies."""

    def __init__(self):
        self.objects = {}
        self.history = [(0, None)]
        self.revision = 0
        self.is_down = False
        self.loses_replies = False
        self.stale_by = 0
        self.watches = {}

    def put(self, key, value):
        self.revision += 1
        self.objects[key] = (self.revision, value)
        if key == RULES_KEY:
            self.history.append((self.revision, value))
        return self.revision

    def read_object(self, key, request_id=None):
        version, value = self.objects.get(key, (0, None))
        if key == RULES_KEY:
            version, value = self.history[max(0, len(self.history) - 1 - self.stale_by)]
        return ObjectRead(key, version, value, request_id)

    def answer(self, effect):
        if isinstance(effect, WatchObject):
            return self.answer_watch(effect)
        if self.is_down:
            failure = (
                UpdateOutcomeUnknown
                if isinstance(effect, UpdateObject)
                else StoreReadFailed
            )
            if failure is StoreReadFailed:
                return StoreReadFailed(effect.key, "down", effect.request_id)
            return UpdateOutcomeUnknown(effect.key, effect.request_id, "down")
        if isinstance(effect, ReadObject):
            return self.read_object(effect.key, effect.request_id)
        current = self.objects.get(effect.key, (0, None))[0]
        if effect.expected_version != current:
            return UpdateConflicted(effect.key, effect.request_id, current)
        version = self.put(effect.key, effect.value)
        if self.loses_replies:
            return UpdateOutcomeUnknown(effect.key, effect.request_id, "reply lost")
        return ObjectUpdated(effect.key, effect.request_id, version)

    def answer_watch(self, effect):
        if self.is_down:
            return StoreReadFailed(effect.key, "down")
        seen = self.read_object(effect.key)
        return seen if seen.version != effect.after_version else None


class FaultyMesh(RuleBasedStateMachine):
    """State machine of four nodes, an object store and messages in transit."""

    def __init__(self):
        super().__init__()
        self.now_us = 0
        self.store = FaultyStore()
        self.texts = {}
        self.nodes, self.inboxes, self.parents = {}, {}, dict(PARENTS)
        self.active_versions = dict.fromkeys(PARENTS, 0)
        self.highest_active = dict.fromkeys(PARENTS, 0)
        self.is_paused = False
        self.start_count = 0

    @initialize()
    def start(self):
        for name in PARENTS:
            self.inboxes[name] = []
            self.start_node(name, SERVICES)
        for name in PARENTS:
            self.attach(name, PARENTS[name])

    def start_node(self, name, services):
        self.start_count += 1
        node = self.nodes[name] = distribution_world(name, self.start_count)
        node.tree.floor_version = RuleVersion(self.active_versions[name])
        node.tree.is_link_relay = name == "link"
        node.tree.is_relay = name in ("link", "relay")
        self.active_versions[name] = 0
        self.store.watches.pop(name, None)
        self.inboxes[name] = list(node.part.first_messages)
        self.add_services(name, services)

    def add_services(self, name, services):
        rows = tuple(
            row for row in ROWS if row.service is None or row.service in services
        )
        for row in rows:
            self.nodes[name].directory.put(row.node_id, row)
        self.inboxes[name].append(DirectoryChanged(rows))

    def attach(self, name, parent):
        previous_parent = self.parents[name]
        if previous_parent is not None and previous_parent != parent:
            self.nodes[previous_parent].tree.children.pop(NodeId(name))
            self.inboxes[previous_parent].append(ChildLeft(NodeId(name)))
        self.parents[name] = parent
        self.nodes[name].tree.parent = parent and parent_row(parent)
        if parent is not None:
            self.nodes[parent].tree.children.put(NodeId(name), child_row(name))
            self.inboxes[parent].append(ChildJoined(child_row(name)))
        self.inboxes[name].append(ParentChanged(self.nodes[name].tree.parent))

    def run_node(self, name):
        if name == "relay" and self.is_paused:
            return
        inbox, self.inboxes[name] = self.inboxes[name], []
        for effect in self.nodes[name].tick(self.now_us, *inbox):
            if isinstance(effect, PeerSend):
                self.inboxes[effect.address].append(effect.message)
            elif isinstance(effect, WatchObject):
                self.store.watches[name] = effect
            elif isinstance(effect, ReadObject | UpdateObject):
                self.inboxes[name].append(self.store.answer(effect))
        self.check_version(name)

    def check_version(self, name):
        row = self.nodes[name].part.rules.in_force
        version = row.version if row else 0
        assert version >= self.active_versions[name]
        if version > self.active_versions[name]:
            assert version >= self.nodes[name].tree.floor_version
            assert row.rules.text == self.texts[version]
            directory = self.nodes[name].directory
            assert all(directory.count("service", s) for s in row.rules.services)
        self.active_versions[name] = version
        self.highest_active[name] = max(self.highest_active[name], version)

    def run_all(self, duration_us=0):
        end_us = self.now_us + duration_us
        while True:
            for name in PARENTS:
                self.answer_watch(name)
                self.run_node(name)
            if self.now_us >= end_us:
                return
            self.now_us = min(end_us, self.now_us + SECOND_US // 4)

    def answer_watch(self, name):
        watch = self.store.watches.get(name)
        answer = self.store.answer(watch) if watch else None
        if answer is not None:
            del self.store.watches[name]
            self.inboxes[name].append(answer)

    @rule(services=st.lists(st.sampled_from([*SERVICES, "late"]), max_size=4))
    def edit(self, services):
        text = "".join(
            f"route GET /{number}/{len(self.store.history)} -> {service} # Mei: why\n"
            for number, service in enumerate(services)
        )
        self.texts[self.store.put(RULES_KEY, text)] = text

    @rule()
    def edit_badly(self):
        self.store.put(RULES_KEY, "route GET /x -> gusts\n")

    @rule(name=st.sampled_from(list(PARENTS)))
    def learn_late_service(self, name):
        self.add_services(name, ("late",))

    @rule(name=st.sampled_from(list(PARENTS)))
    def step(self, name):
        self.answer_watch(name)
        self.run_node(name)

    @rule(seconds=st.integers(1, 12))
    def pass_time(self, seconds):
        self.run_all(seconds * SECOND_US)

    @rule(name=st.sampled_from(list(PARENTS)), data=st.data())
    def disturb_messages(self, name, data):
        inbox = self.inboxes[name]
        peer_messages = [m for m in inbox if hasattr(m, "sender")]
        other_messages = [m for m in inbox if not hasattr(m, "sender")]
        shuffled = data.draw(st.permutations(peer_messages)) if peer_messages else []
        lost_count = data.draw(st.integers(0, len(shuffled)))
        self.inboxes[name] = other_messages + shuffled[lost_count:] + shuffled[-1:]

    @rule(leaf=st.sampled_from(["leaf-1", "leaf-2"]), parent=st.sampled_from([0, 1, 2]))
    def change_parent(self, leaf, parent):
        self.attach(leaf, (None, "relay", "link")[parent])

    @rule(name=st.sampled_from(list(PARENTS)))
    def restart(self, name):
        self.start_node(name, SERVICES[:1])
        self.add_services(name, SERVICES[1:])
        self.attach(name, self.parents[name])
        for child, parent in self.parents.items():
            if parent == name:
                self.attach(child, name)

    @rule(is_down=st.booleans(), loses=st.booleans(), stale_by=st.integers(0, 2))
    def change_store(self, is_down, loses, stale_by):
        store = self.store
        store.is_down, store.loses_replies, store.stale_by = is_down, loses, stale_by

    @rule(is_paused=st.booleans())
    def pause_relay(self, is_paused):
        self.is_paused = is_paused

    @rule(is_second=st.booleans())
    def make_relay_a_second_link_relay(self, is_second):
        node = self.nodes["relay"]
        if node.tree.is_link_relay != is_second:
            node.tree.is_link_relay = is_second
            self.inboxes["relay"].append(RoleChanged())
            self.attach("relay", None if is_second else "link")

    @rule()
    def lose_role_and_regain_it(self):
        for has_role in (False, True):
            self.nodes["link"].tree.is_link_relay = has_role
            self.inboxes["link"].append(RoleChanged())
            self.run_node("link")

    @precondition(lambda self: ACCEPTED_KEY in self.store.objects)
    @rule()
    def heal(self):
        self.change_store(False, False, 0)
        self.is_paused = False
        self.make_relay_a_second_link_relay(False)
        for name in ("relay", "leaf-1", "leaf-2"):
            self.attach(name, PARENTS[name])
        for name in PARENTS:
            self.add_services(name, ("late",))
        self.run_all(90 * SECOND_US)
        # A valid text was never accepted if an invalid text replaced it
        # before a link relay could record it as accepted.
        accepted = self.store.objects[ACCEPTED_KEY][1].version
        newest = max(accepted, *self.highest_active.values())
        assert newest >= self.store.history[-1][0] or self.is_newest_invalid()
        assert self.active_versions == dict.fromkeys(PARENTS, newest)
        report = self.store.objects[STATUS_KEY][1]
        counts = (report.version, report.nodes_in_force, report.laggards)
        assert counts == (newest, len(PARENTS), ())
        assert (report.refused is not None) == self.is_newest_invalid()

    def is_newest_invalid(self):
        return self.store.history[-1][0] not in self.texts

    @invariant()
    def status_never_overstates(self):
        _, report = self.store.objects.get(STATUS_KEY, (0, None))
        if isinstance(report, StatusReport):
            reached = [v for v in self.highest_active.values() if v >= report.version]
            covers_all_nodes = report.nodes_in_force >= report.nodes_total
            assert report.nodes_in_force <= len(PARENTS)
            assert not covers_all_nodes or len(reached) == len(PARENTS)


TestFaultyMesh = FaultyMesh.TestCase
TestFaultyMesh.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
)
