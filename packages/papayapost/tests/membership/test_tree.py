from dataclasses import replace

import pytest

from papayapost.ids import Incarnation, Micros, NodeId, RuleVersion
from papayapost.membership import (
    Heartbeat,
    JoinRedirected,
    JoinRequest,
    LeaveMesh,
    OwnRowChanged,
    rank_key,
)
from papayapost.membership.ranking import MAX_CHILDREN
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState, TreeLevel
from papayapost_testing.simulated_mesh import SimulatedMesh

# 8 KB/s of control traffic, divided by 40 bytes for the smallest answer.
ANSWERS_PER_SECOND = 200


def mesh(count, seed=1, seeds=("x0", "x1")):
    loop = SimulatedMesh(seed, seeds)
    for number in range(count):
        loop.start(f"x{number}")
    return loop


def directories(loop):
    return {
        frozenset((row.node_id, row.stamp) for row in node.part.directory)
        for node in loop.nodes.values()
    }


def roots(loop):
    return [n for n, node in loop.nodes.items() if node.part.tree.is_link_relay]


def sent_effects(loop, kind):
    effects = [effect for _, effect in loop.effects if isinstance(effect, PeerSend)]
    return [effect for effect in effects if isinstance(effect.message, kind)]


def rejoin_time_s(loop, node):
    for second in range(60):
        if node.part.tree.parent is not None:
            return second
        loop.run(1)
    return None


def test_a_mesh_forms_one_tree_with_a_bounded_number_of_children():
    loop = mesh(130)
    loop.run(90)
    assert len(roots(loop)) == 1
    assert len(directories(loop)) == 1
    parts = [node.part for node in loop.nodes.values()]
    assert max(len(part.tree.children) for part in parts) <= MAX_CHILDREN
    assert sum(part.tree.level is TreeLevel.PARENT for part in parts) == 4
    for part in parts:
        parent, me = part.tree.parent, part.members.me.node_id
        assert parent is None or rank_key(parent.node_id) < rank_key(me)


def test_a_late_join_request_of_a_dead_node_does_not_revive_it():
    loop = mesh(6)
    loop.run(30)
    failed = next(n for n in loop.nodes if n not in roots(loop))
    last_row = loop.nodes[failed].part.members.own
    loop.kill(failed)
    loop.run(12)
    assert all(failed not in node.part.directory for node in loop.nodes.values())
    request = JoinRequest(NodeId(failed), last_row, True, RuleVersion(0), 0)
    for node in loop.nodes.values():
        loop.post(node.part.members.me.peer_address, request)
    loop.run(5)
    assert all(failed not in node.part.directory for node in loop.nodes.values())


def test_the_relays_detect_the_failure_of_a_parent_with_its_children():
    loop = mesh(60)
    loop.run(90)
    trees = {name: node.part.tree for name, node in loop.nodes.items()}
    parent = next(n for n, tree in trees.items() if tree.level is TreeLevel.PARENT)
    dead = [parent, *(child.node_id for child in trees[parent].children)][:25]
    for name in dead:
        loop.kill(name)
    loop.run(240)
    assert directories(loop).pop().isdisjoint(dead)
    assert [len(n.part.directory) for n in loop.nodes.values()] == [60 - len(dead)] * (
        60 - len(dead)
    )


def test_a_partitioned_node_keeps_its_directory_and_rejoins():
    loop = mesh(7)
    loop.run(30)
    loop.partitions = {
        node.part.members.me.peer_address: 1 for node in [loop.nodes["x3"]]
    }
    loop.run(120)
    assert len(loop.nodes["x3"].part.directory) == 7
    assert "x3" not in loop.nodes["x4"].part.directory
    loop.partitions.clear()
    loop.run(40)
    assert [len(node.part.directory) for node in loop.nodes.values()] == [7] * 7
    assert len(roots(loop)) == 1


@pytest.mark.parametrize("name", ["x0", "x1", "x2", "x3", "x4"])
def test_a_paused_node_rejoins_after_it_resumes(name):
    loop = mesh(5)
    loop.run(30)
    loop.pause(name)
    loop.run(90)
    loop.pause(name, is_paused=False)
    loop.run(40)
    assert len(directories(loop)) == 1
    assert len(loop.nodes[name].part.directory) == 5
    assert len(roots(loop)) == 1


def test_a_restarted_node_learns_the_version_its_former_process_acknowledged():
    loop = mesh(6)
    loop.run(30)
    name = next(n for n in loop.nodes if n not in roots(loop))
    loop.nodes[name].part.tree.own_version = RuleVersion(41)
    loop.run(3)
    loop.kill(name)
    loop.run(20)
    node = loop.start(name)
    assert rejoin_time_s(loop, node) is not None
    assert node.part.tree.floor_version == 41


def test_a_leave_and_a_drain_reach_every_node_within_two_seconds():
    loop = mesh(40)
    loop.run(60)
    leaving, draining = [n for n in ("x5", "x6", "x7") if n not in roots(loop)][:2]
    members = loop.nodes[draining].part.members
    own = replace(members.own, revision=2, state=BackendServerState.DRAINING)
    members.directory.put(own.node_id, own)
    loop.post(own.peer_address, OwnRowChanged())
    loop.post(loop.nodes[leaving].part.members.me.peer_address, LeaveMesh())
    loop.run(0.01)
    loop.kill(leaving)
    loop.run(2)
    for node in loop.nodes.values():
        assert leaving not in node.part.directory
        row = node.part.directory.require(NodeId(draining))
        assert row.state is BackendServerState.DRAINING


def test_many_simultaneous_joins_stay_within_the_answer_budget_and_all_succeed():
    loop = mesh(3)
    loop.run(10)
    loop.effects.clear()
    for number in range(3, 150):
        loop.start(f"x{number}")
    for _ in range(10):
        loop.run(1)
        answers = sent_effects(loop, JoinRedirected)
        by_node = [effect.message.sender for effect in answers]
        assert max(map(by_node.count, by_node), default=0) <= ANSWERS_PER_SECOND
        loop.effects.clear()
    assert loop.store.writes <= 2
    loop.run(80)
    assert all(
        node.part.tree.parent or node.part.tree.is_link_relay
        for node in loop.nodes.values()
    )


def test_a_data_centre_restarts_from_its_seeds_while_the_store_is_unreachable():
    loop = mesh(12)
    loop.run(40)
    loop.store.unreachable = {
        node.part.members.me.peer_address for node in loop.nodes.values()
    }
    for name in list(loop.nodes):
        loop.start(name)
    loop.run(60)
    assert len(roots(loop)) == 1
    assert [len(node.part.directory) for node in loop.nodes.values()] == [12] * 12


def test_a_node_joins_through_the_stored_directory_if_all_seeds_are_dead():
    loop = mesh(8)
    loop.run(40)
    loop.kill("x0")
    loop.kill("x1")
    loop.run(30)
    loop.start("y1")
    loop.run(90)
    assert len(roots(loop)) == 1
    assert [len(node.part.directory) for node in loop.nodes.values()] == [7] * 7


def test_a_node_refuses_a_join_request_from_a_higher_ranked_node():
    loop = mesh(2)
    loop.run(10)
    (root,) = roots(loop)
    other = next(name for name in loop.nodes if name != root)
    row = loop.nodes[root].part.members.own
    request = JoinRequest(row.node_id, row, True, RuleVersion(0), 0)
    effects = loop.nodes[other].world.tick(loop.now_us, [request])
    answers = [e.message for e in effects if isinstance(e, PeerSend)]
    assert [type(answer) for answer in answers] == [JoinRedirected]
    assert row.node_id not in loop.nodes[other].part.tree.children


def test_a_heartbeat_of_an_earlier_process_does_not_refresh_a_child():
    loop = mesh(3)
    loop.run(10)
    (root,) = roots(loop)
    part = loop.nodes[root].part
    child = next(iter(part.tree.children))
    heard_us = child.heard_us
    stale_heartbeat = Heartbeat(child.node_id, Incarnation(1), RuleVersion(9), 0)
    loop.nodes[root].world.tick(Micros(loop.now_us + 1), [stale_heartbeat])
    assert child.version == 0
    assert child.heard_us == heard_us


def test_a_restart_with_the_clock_set_back_replaces_the_earlier_process():
    loop = mesh(6)
    loop.run(30)
    name = next(n for n in loop.nodes if n not in roots(loop))
    loop.kill(name)
    loop.run(15)
    loop.started_wall_us -= 3_600 * 1_000_000
    loop.start(name)
    loop.run(30)
    assert len(directories(loop)) == 1
    assert [len(node.part.directory) for node in loop.nodes.values()] == [6] * 6


def test_two_data_centres_partitioned_for_an_hour_converge_without_dead_nodes():
    loop = SimulatedMesh(3, ["a0", "b0"])
    for number in range(5):
        loop.start(f"a{number}", "a")
        loop.start(f"b{number}", "b")
    loop.run(40)
    loop.partitions = {f"a{number}:1": 1 for number in range(5)}
    loop.run(10)
    assert sorted(name[0] for name in roots(loop)) == ["a", "b"]
    failed = next(name for name in ("a3", "a4") if name not in roots(loop))
    loop.kill(failed)
    loop.run(3_600)
    directory_of = {n: node.part.directory for n, node in loop.nodes.items()}
    assert all(
        (failed in directory_of[name]) == (name[0] == "b") for name in directory_of
    )
    loop.partitions.clear()
    loop.run(60)
    assert len(roots(loop)) == 1
    assert len(directories(loop)) == 1
    assert all(failed not in node.part.directory for node in loop.nodes.values())


def test_anti_entropy_repairs_a_change_that_was_not_disseminated():
    loop = mesh(8)
    loop.run(40)
    name = next(n for n in loop.nodes if n not in roots(loop))
    members = loop.nodes[name].part.members
    own = replace(members.own, revision=2, slots=77)
    # The row is changed without a message to the systems that disseminate it.
    members.put_own(own)
    loop.run(30)
    for node in loop.nodes.values():
        assert node.part.directory.require(NodeId(name)).slots == 77
