"""Tests a mesh under random kills, restarts, pauses and partitions."""

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from papayapost.membership import rank_key
from papayapost.membership.ranking import MAX_CHILDREN
from papayapost.states import TreeState
from papayapost_testing.simulated_mesh import SimulatedMesh

NAMES = ["x0", "x1", "x2", "x3", "x4"]
names = st.sampled_from(NAMES)


class MeshMachine(RuleBasedStateMachine):
    """A mesh of 3 to 5 nodes with delayed, duplicated and lost messages."""

    @initialize(seed=st.integers(0, 1_000), count=st.integers(3, 5))
    def start_mesh(self, seed, count):
        self.mesh = SimulatedMesh(seed, NAMES[:2])
        self.names = NAMES[:count]
        self.mesh.drop_rate = self.mesh.duplicate_rate = 0.05
        self.mesh.max_delay_us = 300_000
        self.newest = {}
        for name in self.names:
            self.mesh.start(name)
        self.mesh.run(20)

    @rule(name=names)
    def kill(self, name):
        self.mesh.kill(name)

    @rule(name=names)
    def restart(self, name):
        if name in self.names:
            self.mesh.run(0.1)
            self.mesh.start(name)

    @rule(name=names, is_paused=st.booleans())
    def pause(self, name, is_paused):
        if name in self.mesh.nodes:
            self.mesh.pause(name, is_paused)

    @rule(name=names)
    def cut(self, name):
        self.mesh.partitions[f"{name}:1"] = 1

    @rule()
    def heal_cuts(self):
        self.mesh.partitions.clear()

    @rule(seconds=st.sampled_from([0.2, 2, 15, 80]))
    def wait(self, seconds):
        self.mesh.run(seconds)

    @precondition(lambda self: self.mesh.nodes)
    @rule()
    def heal_all(self):
        self.mesh.partitions.clear()
        self.mesh.drop_rate = 0
        for name, node in self.mesh.nodes.items():
            if node.is_paused:
                self.mesh.pause(name, is_paused=False)
        self.mesh.run(240)
        self.check_converged()
        self.mesh.drop_rate = 0.05

    def check_converged(self):
        parts = [node.part for node in self.mesh.nodes.values()]
        live = {part.members.me.node_id: part.members.own.stamp for part in parts}
        roots = [part for part in parts if part.tree.state is TreeState.ROOT]
        assert len(roots) == 1
        for part in parts:
            known = {row.node_id: row.stamp for row in part.directory}
            dead = set(known) - set(live)
            assert {n: known[n] for n in known if n in live} == live
            # Rows of dead nodes remain only if they are at least half of the
            # directory: a node then assumes that it is itself partitioned.
            assert not dead or 2 * len(dead) >= len(known)

    @invariant()
    def no_older_row_replaces_a_newer_one(self):
        for name, node in self.mesh.nodes.items():
            for row in node.part.directory:
                key = (name, node.part.members.me.incarnation, row.node_id)
                assert row.stamp >= self.newest.get(key, row.stamp)
                self.newest[key] = row.stamp
            for tombstone in node.part.members.tombstones:
                assert tombstone.row.node_id not in node.part.directory

    @invariant()
    def number_of_children_is_bounded_and_parents_rank_above(self):
        for node in self.mesh.nodes.values():
            tree, me = node.part.tree, node.part.members.me.node_id
            assert len(tree.children) <= MAX_CHILDREN
            if tree.parent is not None:
                assert rank_key(tree.parent.node_id) < rank_key(me)

    @invariant()
    def no_node_declares_a_live_majority_dead(self):
        for node in self.mesh.nodes.values():
            members = node.part.members
            falsely_dead = [
                tombstone
                for tombstone in members.tombstones
                if tombstone.row.node_id in self.mesh.nodes
            ]
            assert 2 * len(falsely_dead) <= len(members.directory) + len(falsely_dead)


MeshMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=14,
    suppress_health_check=list(HealthCheck),
)
TestAnyFailures = MeshMachine.TestCase
