from random import Random

import pytest

from papayapost.distribution import RULES_KEY
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
)
from papayapost.membership import BackendServerRow
from papayapost.node import build_node_world
from papayapost.place import Place, SelfRow
from papayapost.record import (
    Attribution,
)
from papayapost.record.apply import (
    build_apply,
)
from papayapost.states import BackendServerState

from .stores import (
    START_US,
    FakeStore,
    apply,
    apply_request,
    current_rules,
    relay,
    rule,
    run_until_idle,
)


def test_a_link_relay_records_the_version_of_an_interrupted_apply():
    store = FakeStore()
    stopped = build_apply(Random(1))
    inputs: list = [apply_request(rule("a"), "mei")]
    while RULES_KEY not in store.objects:
        answers = [store.answer(effect) for effect in stopped.tick(Micros(0), inputs)]
        inputs = [answer for answer in answers if answer is not None]
    assert store.page.entries == ()
    (noted,) = relay(store)[1]()
    entry = store.page.newest_entry
    assert (entry.operator, entry.recorded_by) == ("mei", "r1")
    assert noted.version == entry.version
    assert entry.changes.added == 1
    assert relay(store)[1]() == []


@pytest.mark.parametrize(
    ("text", "attribution", "is_known"),
    [
        (rule("b"), Attribution.EDITED, True),
        ("not a rule \x1b\udcff", Attribution.REFUSED, False),
    ],
)
def test_a_link_relay_records_a_text_that_was_edited_in_the_store(
    text, attribution, is_known
):
    store = FakeStore()
    apply(store, apply_request(rule("a"), "mei"))
    world, become_link_relay = relay(store)
    become_link_relay()
    store.put(RULES_KEY, text)
    run_until_idle(world, store, current_rules(store), now_us=60_000_000)
    entry = store.page.newest_entry
    assert (entry.attribution, entry.operator) == (attribution, "")
    assert entry.changes.is_known is is_known
    assert entry.at_us >= START_US + 60_000_000
    assert [c.kind.value for c in entry.changes.changes] == (
        ["added", "removed"] if is_known else []
    )


def test_two_link_relays_write_one_entry_and_an_apply_records_its_base():
    store = FakeStore()
    relays = [relay(store) for _ in range(2)]
    store.put(RULES_KEY, rule("a"))
    worlds = [world for world, _ in relays]
    for _, become_link_relay in relays:
        become_link_relay()
    assert len(store.page.entries) == 1
    store.put(RULES_KEY, rule("b"))
    apply(store, apply_request(rule("c"), "mei"))
    for world in worlds:
        run_until_idle(world, store, current_rules(store))
    assert [e.attribution for e in store.page.entries] == [
        Attribution.EDITED,
        Attribution.EDITED,
        Attribution.APPLIED,
    ]


def test_the_only_node_of_a_mesh_adds_missing_entries():
    store = FakeStore()
    version = store.put(RULES_KEY, rule("a"))
    place = Place(DataCentreId("n1"), RegionId("north"))
    me = SelfRow(NodeId("r1"), Incarnation(START_US), place, Address("127.0.0.1:1"))
    own = BackendServerRow(
        me.node_id,
        me.incarnation,
        1,
        None,
        place.data_centre,
        place.region,
        me.peer_address,
        0,
        BackendServerState.READY,
    )
    node = build_node_world(me, [], own, Random(3))
    run_until_idle(node.world, store, *node.first_messages(), until_us=60_000_000)
    entry = store.page.newest_entry
    assert (entry.version, entry.attribution) == (version, Attribution.EDITED)
    assert (entry.recorded_by, entry.changes.added) == ("r1", 1)
