"""Worlds of the distribution part alone, for tests and benchmarks."""

from dataclasses import dataclass
from random import Random

from papayapost.distribution import DistributionPart, build_distribution
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import World
from papayapost.membership import (
    BackendServerRow,
    ChildRow,
    Directory,
    ParentRow,
    TreeTables,
    directory_table,
)
from papayapost.place import Place, SelfRow
from papayapost.states import BackendServerState

__all__ = [
    "DistributionWorld",
    "backend_server",
    "child_row",
    "distribution_world",
    "parent_row",
]

_PLACE = Place(DataCentreId("north-1"), RegionId("north"))


@dataclass(slots=True)
class DistributionWorld:
    """The distribution part of one node, with tables that stand still."""

    me: SelfRow
    world: World
    part: DistributionPart
    directory: Directory
    tree: TreeTables

    def tick(self, now_us: int, *messages: object) -> list:
        """Run one tick and return its effects."""
        return self.world.tick(Micros(now_us), messages)


def distribution_world(name: str, seed: int = 1) -> DistributionWorld:
    """Return the world of a node with neither parent nor children.

    The node is reached at its own name in place of an address.
    """
    me = SelfRow(NodeId(name), Incarnation(seed), _PLACE, Address(name))
    directory, tree = directory_table(), TreeTables()
    part = build_distribution(me, directory, tree)
    world = World(part.systems, Random(seed))
    return DistributionWorld(me, world, part, directory, tree)


def parent_row(name: str) -> ParentRow:
    """Return the row of a parent reached at its own name."""
    return ParentRow(NodeId(name), Address(name))


def child_row(name: str, version: int = 0) -> ChildRow:
    """Return the row of a child reached at its own name."""
    return ChildRow(NodeId(name), Address(name), Incarnation(1), RuleVersion(version))


def backend_server(name: str, service: str) -> BackendServerRow:
    """Return a ready backend server with one slot."""
    return BackendServerRow(
        node_id=NodeId(name),
        incarnation=Incarnation(1),
        revision=1,
        service=ServiceName(service),
        data_centre=_PLACE.data_centre,
        region=_PLACE.region,
        peer_address=Address(name),
        slots=1,
        state=BackendServerState.READY,
    )
