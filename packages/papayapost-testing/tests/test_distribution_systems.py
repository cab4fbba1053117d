"""Tests of the distribution systems of single nodes, driven by ticks."""

import pytest

from papayapost.distribution import (
    ACCEPTED_KEY,
    RULES_KEY,
    AcceptedRules,
    ChunkRequest,
    DataCentreProgress,
    Laggard,
    LineEdit,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesNotice,
    RulesProgress,
    RulesRequest,
    TextOffered,
)
from papayapost.ids import Address, NodeId, RuleVersion
from papayapost.membership import ChildJoined, DirectoryChanged, RoleChanged
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.rules import MAX_TEXT_BYTES, rules_digest
from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)
from papayapost_testing.distribution_worlds import (
    child_row,
    distribution_world,
    parent_row,
)
from papayapost_testing.traffic_worlds import backend_row

SECOND_US = 1_000_000
LINE = "route GET /{} -> gusts # Mei: why\n"
TEXT = "".join(LINE.format(name) for name in "abc")
NEXT = TEXT.replace("/b", "/changed")
EDIT = LineEdit(1, 1, (LINE.format("changed").rstrip("\n"),))


def node_holding(text=TEXT, version=5):
    node = distribution_world("node")
    node.tree.parent = parent_row("parent")
    row = backend_row("other", "gusts")
    node.directory.put(row.node_id, row)
    node.tick(0, *node.part.first_messages, TextOffered(RuleVersion(version), text))
    assert node.part.rules.version == version
    return node


def link_relay():
    node = distribution_world("node")
    node.tree.is_link_relay = True
    for row in (backend_row("node", None), backend_row("other", "gusts")):
        node.directory.put(row.node_id, row)
    node.tick(0, *node.part.first_messages, RoleChanged())
    return node


def of_type(effects, kind):
    messages = [e.message if isinstance(e, PeerSend) else e for e in effects]
    return [message for message in messages if isinstance(message, kind)]


def events(effects):
    return [noted.event for noted in of_type(effects, Noted)]


def delta(base=5, version=6, base_text=TEXT, text=NEXT, edits=(EDIT,)):
    return RulesDelta(
        NodeId("parent"),
        RuleVersion(base),
        rules_digest(base_text),
        RuleVersion(version),
        rules_digest(text),
        edits,
    )


def chunk_request(name, node, offset=0):
    rules = node.part.rules
    return ChunkRequest(
        NodeId(name), Address(name), rules.held_version, rules.held_digest, offset
    )


REFUSED_DELTAS = {
    "replayed": (delta(base=4, version=5), False),
    "of an older version": (delta(base=5, version=4), False),
    "with another base version": (delta(base=4, version=6), True),
    "with another base digest": (delta(base_text="other"), True),
    "with another result digest": (delta(text="other"), True),
    "truncated": (delta(edits=()), True),
    "out of range": (delta(edits=(LineEdit(3, 9, ()),)), True),
    "oversized": (delta(edits=(LineEdit(0, 0, ("#" * MAX_TEXT_BYTES,)),)), True),
}


@pytest.mark.parametrize("name", REFUSED_DELTAS)
def test_an_invalid_delta_is_refused_and_newer_rules_are_requested(name):
    refused, is_request_expected = REFUSED_DELTAS[name]
    node = node_holding()
    effects = node.tick(SECOND_US, refused)
    assert Event.RULES_DELTA_REFUSED in events(effects)
    assert node.part.rules.version == 5
    requests = of_type(effects, RulesRequest)
    assert [request.held_version for request in requests] == [5] * is_request_expected


def test_consecutive_deltas_of_one_tick_are_all_applied():
    node = node_holding()
    second = delta(6, 7, NEXT, TEXT, (LineEdit(1, 1, (LINE.format("b")[:-1],)),))
    node.tick(SECOND_US, delta(), second)
    assert node.part.rules.version == 7
    assert node.part.rules.in_force.rules.text == TEXT


def test_a_staged_version_waits_for_its_service_and_does_not_block_a_later_version():
    node = node_holding()
    late = TEXT + "route GET /late -> late # Mei: why\n"
    effects = node.tick(SECOND_US, TextOffered(RuleVersion(6), late))
    assert Event.RULES_WAITING in events(effects)
    assert node.part.rules.version == 5
    node.tick(2 * SECOND_US, TextOffered(RuleVersion(7), NEXT))
    assert node.part.rules.version == 7
    row = backend_row("new", "late")
    node.directory.put(row.node_id, row)
    node.tick(3 * SECOND_US, DirectoryChanged((row,)))
    assert node.part.rules.version == 7


def test_a_restarted_node_activates_no_version_below_its_floor():
    node = distribution_world("node")
    node.tree.parent = parent_row("parent")
    node.tree.floor_version = RuleVersion(6)
    effects = node.tick(0, *node.part.first_messages, TextOffered(RuleVersion(5), ""))
    assert Event.RULES_BELOW_FLOOR in events(effects)
    node.tick(60 * SECOND_US)
    assert node.part.rules.in_force is None
    node.tick(61 * SECOND_US, TextOffered(RuleVersion(6), ""))
    assert node.part.rules.version == 6


@pytest.mark.parametrize("version", [0, 4])
def test_an_older_version_read_from_the_store_is_refused_and_recorded(version):
    node = link_relay()
    accept(node, 5)
    node.tick(SECOND_US, ChildJoined(child_row("child")))
    older_rules = ObjectRead(RULES_KEY, version, "" if version else None)
    effects = node.tick(2 * SECOND_US, older_rules)
    effects += node.tick(5 * SECOND_US)
    assert Event.STORE_BEHIND in events(effects)
    assert node.part.rules.version == 5
    # The next watch starts after a pause and waits for a change from the
    # version that the store showed.
    watches = of_type(effects, WatchObject)
    assert [watch.after_version for watch in watches] in ([], [version])


def accept(node, version, text=TEXT):
    effects = node.tick(SECOND_US // 2, ObjectRead(RULES_KEY, version, text))
    while requests := of_type(effects, ReadObject) + of_type(effects, UpdateObject):
        effects = node.tick(SECOND_US // 2, *(answer(request) for request in requests))
    assert node.part.rules.version == version


def answer(request):
    if isinstance(request, ReadObject):
        return ObjectRead(request.key, 0, None, request.request_id)
    return ObjectUpdated(request.key, request.request_id, 1)


def test_a_lost_update_reply_makes_the_node_read_the_accepted_object():
    node = link_relay()
    (read,) = of_type(node.tick(1, ObjectRead(RULES_KEY, 5, TEXT)), ReadObject)
    (update,) = of_type(node.tick(2, answer(read)), UpdateObject)
    assert update.value == AcceptedRules(RuleVersion(5), TEXT)
    unknown_outcome = UpdateOutcomeUnknown(ACCEPTED_KEY, update.request_id, "no reply")
    assert node.tick(3, unknown_outcome) and node.part.rules.in_force is None
    (second_read,) = of_type(node.tick(2 * SECOND_US), ReadObject)
    seen = ObjectRead(ACCEPTED_KEY, 8, update.value, second_read.request_id)
    (confirm,) = of_type(node.tick(2 * SECOND_US, seen), UpdateObject)
    assert confirm.expected_version == 8
    node.tick(2 * SECOND_US, ObjectUpdated(ACCEPTED_KEY, confirm.request_id, 9))
    assert node.part.rules.version == 5


def test_a_node_without_rules_uses_the_accepted_rules_if_the_newest_are_invalid():
    node = link_relay()
    effects = node.tick(1, ObjectRead(RULES_KEY, 9, "nonsense\n"))
    assert Event.RULES_REJECTED in events(effects)
    (read,) = of_type(effects, ReadObject)
    record = AcceptedRules(RuleVersion(5), TEXT)
    effects = node.tick(2, ObjectRead(read.key, 7, record, read.request_id))
    while requests := of_type(effects, ReadObject) + of_type(effects, UpdateObject):
        replies = [
            ObjectRead(r.key, 7, record, r.request_id)
            if isinstance(r, ReadObject)
            else ObjectUpdated(r.key, r.request_id, 8)
            for r in requests
        ]
        effects = node.tick(3, *replies)
    assert node.part.rules.version == 5


def test_watches_of_a_store_that_is_down_back_off():
    node = link_relay()
    watch_count = 0
    now_us = 0
    effects = node.tick(1, StoreReadFailed(RULES_KEY, "down"))
    while now_us < 3_600 * SECOND_US:
        now_us = node.world.next_due_us()
        effects = node.tick(now_us)
        watches = of_type(effects, WatchObject)
        watch_count += len(watches)
        if watches:
            node.tick(now_us, StoreReadFailed(RULES_KEY, "down"))
    assert 3_600 / 8 <= watch_count < 3_600 / 3


def test_reads_by_nodes_without_parents_stay_below_the_store_capacity():
    reads_by_second = {}
    nodes = 1_200
    for seed in range(nodes):
        node = distribution_world("node", seed)
        node.tick(0, *node.part.first_messages)
        while (due_us := node.world.next_due_us()) < 60 * SECOND_US:
            for _ in of_type(node.tick(due_us), ReadObject):
                second = due_us // SECOND_US
                reads_by_second[second] = reads_by_second.get(second, 0) + 1
    # The store handles 2,000 reads/s. For 12,000 nodes without parents, the
    # share of the 1,200 nodes of this test is 200 reads/s.
    assert 0 < max(reads_by_second.values()) <= 200


def test_snapshot_transfers_are_admitted_a_few_at_a_time_at_a_bounded_rate():
    text = "".join(LINE.format(number) for number in range(4_000))
    node = node_holding(text)
    requests = [chunk_request(f"c{number}", node) for number in range(100)]
    effects = node.tick(SECOND_US, *requests)
    waits = [busy.retry_after_us for busy in of_type(effects, RulesBusy)]
    assert len(waits) == 92
    assert waits == sorted(set(waits))
    while due_us := node.world.next_due_us():
        assert due_us <= 2 * SECOND_US
        effects += node.tick(due_us)
    sent = sum(len(chunk.data) for chunk in of_type(effects, RulesChunk))
    assert 0 < sent <= 1 << 20


def test_a_child_without_rules_fetches_them_in_chunks_after_a_busy_answer():
    text = "".join(LINE.format(number) for number in range(4_000))
    parent = node_holding(text)
    child = distribution_world("child")
    child.tree.parent = parent_row("node")
    row = backend_row("other", "gusts")
    child.directory.put(row.node_id, row)
    size = len(text)
    notice = RulesNotice(NodeId("node"), RuleVersion(5), rules_digest(text), size)
    busy = RulesBusy(NodeId("node"), 3 * SECOND_US)
    child.tick(0, *child.part.first_messages, notice)
    assert not of_type(child.tick(1, busy), ChunkRequest)
    now_us = child.world.next_due_us()
    while child.part.rules.in_force is None:
        now_us += SECOND_US
        requests = of_type(child.tick(now_us), ChunkRequest)
        chunks = of_type(parent.tick(now_us, *requests), RulesChunk)
        requests = of_type(child.tick(now_us, *chunks), ChunkRequest)
        while requests:
            chunks = of_type(parent.tick(now_us, *requests), RulesChunk)
            requests = of_type(child.tick(now_us, *chunks), ChunkRequest)
    assert child.part.rules.in_force.rules.text == text


def test_the_status_report_names_laggards_with_reasons():
    node = link_relay()
    accept(node, 5)
    node.tick(SECOND_US, ChildJoined(child_row("child")))
    row = backend_row("child", None)
    node.directory.put(row.node_id, row)
    laggard = Laggard(NodeId("child"), RuleVersion(4), "does not know late")
    part = DataCentreProgress(
        row.data_centre, RuleVersion(5), 0, 1, 0, (laggard,), refused=()
    )
    progress = RulesProgress(NodeId("child"), RuleVersion(5), (part,))
    (read,) = of_type(node.tick(2 * SECOND_US, progress), ReadObject)
    (update,) = of_type(node.tick(3 * SECOND_US, answer(read)), UpdateObject)
    report = update.value
    assert (report.version, report.nodes_in_force, report.nodes_total) == (5, 1, 3)
    assert report.laggards == (laggard,)
