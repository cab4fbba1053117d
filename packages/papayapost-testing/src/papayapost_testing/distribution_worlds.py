"""Worlds with only the distribution part, for tests and benchmarks."""

from dataclasses import dataclass
from random import Random

from papayapost.distribution import DistributionPart, build_distribution
from papayapost.ids import (
    Address,
    Incarnation,
    Micros,
    NodeId,
    RuleVersion,
)
from papayapost.kernel import World
from papayapost.membership import (
    ChildRow,
    Directory,
    ParentRow,
    TreeTables,
    directory_table,
)
from papayapost.place import SelfRow
from papayapost_testing.traffic_worlds import NORTH_1

__all__ = [
    "DistributionWorld",
    "child_row",
    "distribution_world",
    "parent_row",
]


@dataclass(slots=True)
class DistributionWorld:
    """The distribution part of one node, in a world of its own.

    No membership systems run, so that only the test changes the directory and
    the tree.
    """

    me: SelfRow
    world: World
    part: DistributionPart
    directory: Directory
    tree: TreeTables

    def tick(self, now_us: int, *messages: object) -> list:
        """Run one tick at `now_us` and return its effects."""
        return self.world.tick(Micros(now_us), messages)


def distribution_world(name: str, seed: int = 1) -> DistributionWorld:
    """Return the world of a node with neither parent nor children.

    The peer address of the node is its name.
    """
    me = SelfRow(NodeId(name), Incarnation(seed), NORTH_1, Address(name))
    directory, tree = directory_table(), TreeTables()
    part = build_distribution(me, directory, tree)
    world = World(part.systems, Random(seed))
    return DistributionWorld(me, world, part, directory, tree)


def parent_row(name: str) -> ParentRow:
    """Return the row of a parent whose peer address is its name."""
    return ParentRow(NodeId(name), Address(name))


def child_row(name: str, version: int = 0) -> ChildRow:
    """Return the row of a child whose peer address is its name."""
    return ChildRow(NodeId(name), Address(name), Incarnation(1), RuleVersion(version))
