from dataclasses import replace
from random import Random

import pytest

from papayapost.ids import Address, Incarnation, Micros, NodeId, RuleVersion
from papayapost.kernel import World
from papayapost.membership import (
    BucketDigests,
    BucketRows,
    BucketsWanted,
    Contact,
    DirectoryDelta,
    Heartbeat,
    HeartbeatAnswer,
    JoinAccepted,
    JoinRedirected,
    LiveNode,
    Probe,
    ProbeRequest,
    Vouch,
    build_membership,
    rank_key,
)
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import BackendServerState
from papayapost_testing.traffic_worlds import NORTH_1, backend_row

NOW_US = Micros(5_000_000)
WALL_US = 1_700_000_000_000_000
DAY_US = 86_400 * 1_000_000


def node(name="x1"):
    own = replace(backend_row(name, "gusts"), incarnation=Incarnation(WALL_US))
    me = SelfRow(own.node_id, own.incarnation, NORTH_1, own.peer_address)
    part = build_membership(me, [], own)
    world = World(part.systems, Random(1))
    world.tick(NOW_US, part.first_messages)
    return world, part


def delta(*rows):
    return DirectoryDelta(NodeId("evil"), Address("evil:1"), rows)


@pytest.mark.parametrize(
    "fields",
    [
        {"incarnation": Incarnation(WALL_US + DAY_US)},
        {"incarnation": Incarnation(0)},
        {"revision": 1 << 62},
        {"revision": -1},
        {"slots": -1},
        {"node_id": NodeId("")},
        {"node_id": NodeId("n" * 1000)},
        {"peer_address": Address("a" * 1000)},
    ],
)
def test_a_row_with_a_field_out_of_bounds_is_refused(fields):
    world, part = node()
    row = replace(backend_row("x2", "gusts"), incarnation=Incarnation(WALL_US))
    world.tick(NOW_US, [delta(replace(row, **fields))])
    assert [row.node_id for row in part.directory] == ["x1"]


def test_the_number_of_data_centres_learnt_from_one_message_is_bounded():
    world, part = node()
    base = replace(backend_row("x", "gusts"), incarnation=Incarnation(WALL_US))
    rows = [
        replace(base, node_id=NodeId(f"y{n}"), data_centre=f"dc{n}")
        for n in range(5_000)
    ]
    world.tick(NOW_US, [delta(*rows)])
    assert len(part.members.digests.data_centres()) == 64


def test_a_false_report_of_this_nodes_death_is_refuted_by_a_higher_revision():
    world, part = node()
    own = part.members.own
    dead = replace(own, state=BackendServerState.GONE, revision=7)
    effects = world.tick(NOW_US, [delta(dead)])
    assert part.members.own.state is BackendServerState.READY
    assert part.members.own.revision == 8
    assert not any(isinstance(effect, PeerSend) for effect in effects)


def test_a_row_superseded_by_a_tombstone_is_answered_with_the_tombstone():
    world, _ = node()
    row = replace(backend_row("x2", "gusts"), incarnation=Incarnation(WALL_US))
    gone = replace(row, state=BackendServerState.GONE)
    world.tick(NOW_US, [delta(gone)])
    effects = world.tick(NOW_US, [delta(row)])
    sent = [effect.message for effect in effects if isinstance(effect, PeerSend)]
    assert [message.rows for message in sent] == [(gone,)]


def test_malformed_messages_in_any_order_leave_the_directory_intact():
    ids = [NodeId(name) for name in ("x1", "x2", "x3", "nobody")]
    address, version = Address("x2:1"), RuleVersion(1 << 40)
    messages = [
        Heartbeat(ids[3], Incarnation(-5), version, 1 << 64),
        HeartbeatAnswer(ids[3], True, version, 0, 0),
        JoinAccepted(ids[1], address, RuleVersion(0), version, 0),
        JoinRedirected(
            ids[1], address, (Contact(ids[2], address),) * 999, version, 1 << 50
        ),
        BucketDigests(ids[1], address, NORTH_1.data_centre, (1, 2, 3)),
        BucketDigests(ids[1], address, NORTH_1.data_centre, (9,) * 64),
        BucketsWanted(ids[1], address, NORTH_1.data_centre, (-1, 99) * 999),
        BucketRows(ids[1], address, NORTH_1.data_centre, (-7, 1 << 40), ()),
        Vouch(ids[3], (LiveNode(ids[3], version),) * 9_999),
        Probe(ids[3], address, ids[3]),
        *(
            ProbeRequest(ids[1], address, Contact(NodeId(f"t{n}"), address))
            for n in range(500)
        ),
    ]
    random = Random(3)
    world, part = node()
    for step in range(40):
        random.shuffle(messages)
        effects = world.tick(Micros(NOW_US + step * 1_000_000), messages)
        assert len(effects) < 800
    parent = part.tree.parent
    assert parent is None or rank_key(parent.node_id) < rank_key(ids[0])
    assert [row.node_id for row in part.directory] == ["x1"]
