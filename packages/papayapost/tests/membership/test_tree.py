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


def start_mesh(count, seed=1, seeds=("x0", "x1")):
    mesh = SimulatedMesh(seed, seeds)
    for number in range(count):
        mesh.start(f"x{number}")
    return mesh


def directories(mesh):
    return {
        frozenset((row.node_id, row.stamp) for row in node.part.directory)
        for node in mesh.nodes.values()
    }


def roots(mesh):
    return [n for n, node in mesh.nodes.items() if node.part.tree.is_link_relay]


def sent_effects(mesh, kind):
    effects = [effect for _, effect in mesh.effects if isinstance(effect, PeerSend)]
    return [effect for effect in effects if isinstance(effect.message, kind)]


def rejoin_time_s(mesh, node):
    for second in range(60):
        if node.part.tree.parent is not None:
            return second
        mesh.run(1)
    return None


def test_a_mesh_forms_one_tree_with_a_bounded_number_of_children():
    mesh = start_mesh(130)
    mesh.run(90)
    assert len(roots(mesh)) == 1
    assert len(directories(mesh)) == 1
    parts = [node.part for node in mesh.nodes.values()]
    assert max(len(part.tree.children) for part in parts) <= MAX_CHILDREN
    assert sum(part.tree.level is TreeLevel.PARENT for part in parts) == 4
    for part in parts:
        parent, me = part.tree.parent, part.members.me.node_id
        assert parent is None or rank_key(parent.node_id) < rank_key(me)


def test_a_late_join_request_of_a_dead_node_does_not_revive_it():
    mesh = start_mesh(6)
    mesh.run(30)
    failed = next(n for n in mesh.nodes if n not in roots(mesh))
    last_row = mesh.nodes[failed].part.members.own
    mesh.kill(failed)
    mesh.run(12)
    assert all(failed not in node.part.directory for node in mesh.nodes.values())
    request = JoinRequest(NodeId(failed), last_row, True, RuleVersion(0), 0)
    for node in mesh.nodes.values():
        mesh.post(node.part.members.me.peer_address, request)
    mesh.run(5)
    assert all(failed not in node.part.directory for node in mesh.nodes.values())


def test_the_relays_detect_the_failure_of_a_parent_with_its_children():
    mesh = start_mesh(60)
    mesh.run(90)
    trees = {name: node.part.tree for name, node in mesh.nodes.items()}
    parent = next(n for n, tree in trees.items() if tree.level is TreeLevel.PARENT)
    dead = [parent, *(child.node_id for child in trees[parent].children)][:25]
    for name in dead:
        mesh.kill(name)
    mesh.run(240)
    assert directories(mesh).pop().isdisjoint(dead)
    assert [len(n.part.directory) for n in mesh.nodes.values()] == [60 - len(dead)] * (
        60 - len(dead)
    )


def test_a_partitioned_node_keeps_its_directory_and_rejoins():
    mesh = start_mesh(7)
    mesh.run(30)
    mesh.partitions = {
        node.part.members.me.peer_address: 1 for node in [mesh.nodes["x3"]]
    }
    mesh.run(120)
    assert len(mesh.nodes["x3"].part.directory) == 7
    assert "x3" not in mesh.nodes["x4"].part.directory
    mesh.partitions.clear()
    mesh.run(40)
    assert [len(node.part.directory) for node in mesh.nodes.values()] == [7] * 7
    assert len(roots(mesh)) == 1


@pytest.mark.parametrize("name", ["x0", "x1", "x2", "x3", "x4"])
def test_a_paused_node_rejoins_after_it_resumes(name):
    mesh = start_mesh(5)
    mesh.run(30)
    mesh.pause(name)
    mesh.run(90)
    mesh.pause(name, is_paused=False)
    mesh.run(40)
    assert len(directories(mesh)) == 1
    assert len(mesh.nodes[name].part.directory) == 5
    assert len(roots(mesh)) == 1


def test_a_restarted_node_learns_the_version_its_former_process_acknowledged():
    mesh = start_mesh(6)
    mesh.run(30)
    name = next(n for n in mesh.nodes if n not in roots(mesh))
    mesh.nodes[name].part.tree.own_version = RuleVersion(41)
    mesh.run(3)
    mesh.kill(name)
    mesh.run(20)
    node = mesh.start(name)
    assert rejoin_time_s(mesh, node) is not None
    assert node.part.tree.floor_version == 41


def test_a_leave_and_a_drain_reach_every_node_within_two_seconds():
    mesh = start_mesh(40)
    mesh.run(60)
    leaving, draining = [n for n in ("x5", "x6", "x7") if n not in roots(mesh)][:2]
    members = mesh.nodes[draining].part.members
    own = replace(members.own, revision=2, state=BackendServerState.DRAINING)
    members.directory.put(own.node_id, own)
    mesh.post(own.peer_address, OwnRowChanged())
    mesh.post(mesh.nodes[leaving].part.members.me.peer_address, LeaveMesh())
    mesh.run(0.01)
    mesh.kill(leaving)
    mesh.run(2)
    for node in mesh.nodes.values():
        assert leaving not in node.part.directory
        row = node.part.directory.require(NodeId(draining))
        assert row.state is BackendServerState.DRAINING


def test_many_simultaneous_joins_stay_within_the_answer_budget_and_all_succeed():
    mesh = start_mesh(3)
    mesh.run(10)
    mesh.effects.clear()
    for number in range(3, 150):
        mesh.start(f"x{number}")
    for _ in range(10):
        mesh.run(1)
        answers = sent_effects(mesh, JoinRedirected)
        by_node = [effect.message.sender for effect in answers]
        assert max(map(by_node.count, by_node), default=0) <= ANSWERS_PER_SECOND
        mesh.effects.clear()
    assert mesh.store.writes <= 2
    mesh.run(80)
    assert all(
        node.part.tree.parent or node.part.tree.is_link_relay
        for node in mesh.nodes.values()
    )


def test_a_data_centre_restarts_from_its_seeds_while_the_store_is_unreachable():
    mesh = start_mesh(12)
    mesh.run(40)
    mesh.store.unreachable = {
        node.part.members.me.peer_address for node in mesh.nodes.values()
    }
    for name in list(mesh.nodes):
        mesh.start(name)
    mesh.run(60)
    assert len(roots(mesh)) == 1
    assert [len(node.part.directory) for node in mesh.nodes.values()] == [12] * 12


def test_a_node_joins_through_the_stored_directory_if_all_seeds_are_dead():
    mesh = start_mesh(8)
    mesh.run(40)
    mesh.kill("x0")
    mesh.kill("x1")
    mesh.run(30)
    mesh.start("y1")
    mesh.run(90)
    assert len(roots(mesh)) == 1
    assert [len(node.part.directory) for node in mesh.nodes.values()] == [7] * 7


def test_a_node_refuses_a_join_request_from_a_higher_ranked_node():
    mesh = start_mesh(2)
    mesh.run(10)
    (root,) = roots(mesh)
    other = next(name for name in mesh.nodes if name != root)
    row = mesh.nodes[root].part.members.own
    request = JoinRequest(row.node_id, row, True, RuleVersion(0), 0)
    effects = mesh.nodes[other].world.tick(mesh.now_us, [request])
    answers = [e.message for e in effects if isinstance(e, PeerSend)]
    assert [type(answer) for answer in answers] == [JoinRedirected]
    assert row.node_id not in mesh.nodes[other].part.tree.children


def test_a_heartbeat_of_an_earlier_process_does_not_refresh_a_child():
    mesh = start_mesh(3)
    mesh.run(10)
    (root,) = roots(mesh)
    part = mesh.nodes[root].part
    child = next(iter(part.tree.children))
    last_heard_us = child.last_heard_us
    stale_heartbeat = Heartbeat(child.node_id, Incarnation(1), RuleVersion(9), 0)
    mesh.nodes[root].world.tick(Micros(mesh.now_us + 1), [stale_heartbeat])
    assert child.version == 0
    assert child.last_heard_us == last_heard_us


def test_a_restart_with_the_clock_set_back_replaces_the_earlier_process():
    mesh = start_mesh(6)
    mesh.run(30)
    name = next(n for n in mesh.nodes if n not in roots(mesh))
    mesh.kill(name)
    mesh.run(15)
    mesh.started_wall_us -= 3_600 * 1_000_000
    mesh.start(name)
    mesh.run(30)
    assert len(directories(mesh)) == 1
    assert [len(node.part.directory) for node in mesh.nodes.values()] == [6] * 6


def test_two_data_centres_partitioned_for_an_hour_converge_without_dead_nodes():
    mesh = SimulatedMesh(3, ["a0", "b0"])
    for number in range(5):
        mesh.start(f"a{number}", "a")
        mesh.start(f"b{number}", "b")
    mesh.run(40)
    mesh.partitions = {f"a{number}:1": 1 for number in range(5)}
    mesh.run(10)
    assert sorted(name[0] for name in roots(mesh)) == ["a", "b"]
    failed = next(name for name in ("a3", "a4") if name not in roots(mesh))
    mesh.kill(failed)
    mesh.run(3_600)
    directory_of = {n: node.part.directory for n, node in mesh.nodes.items()}
    assert all(
        (failed in directory_of[name]) == (name[0] == "b") for name in directory_of
    )
    mesh.partitions.clear()
    mesh.run(60)
    assert len(roots(mesh)) == 1
    assert len(directories(mesh)) == 1
    assert all(failed not in node.part.directory for node in mesh.nodes.values())


def test_anti_entropy_repairs_a_change_that_was_not_disseminated():
    mesh = start_mesh(8)
    mesh.run(40)
    name = next(n for n in mesh.nodes if n not in roots(mesh))
    members = mesh.nodes[name].part.members
    own = replace(members.own, revision=2, slots=77)
    # The row is changed without a message to the systems that disseminate it.
    members.put_own(own)
    mesh.run(30)
    for node in mesh.nodes.values():
        assert node.part.directory.require(NodeId(name)).slots == 77
