"""Worlds with the traffic part of one node, for tests and benchmarks."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from papayapost.distribution import RulesTable, VersionRow
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    NodeId,
    RegionId,
    RuleVersion,
    ServiceName,
)
from papayapost.kernel import World
from papayapost.membership import BackendServerRow, Directory, directory_table
from papayapost.place import Place, SelfRow
from papayapost.rules import compile_rules
from papayapost.states import BackendServerState, StagedState
from papayapost.traffic import (
    BalancingPolicy,
    RetryPolicy,
    TrafficOptions,
    TrafficPart,
    build_traffic,
)
from papayapost.traffic.owner.queues import QueueDiscipline

__all__ = [
    "FOUR_PLACES",
    "NORTH_1",
    "NORTH_2",
    "SOUTH_1",
    "SOUTH_2",
    "TrafficWorld",
    "backend_row",
    "traffic_world",
]

NORTH_1 = Place(DataCentreId("north-1"), RegionId("north"))
NORTH_2 = Place(DataCentreId("north-2"), RegionId("north"))
SOUTH_1 = Place(DataCentreId("south-1"), RegionId("south"))
SOUTH_2 = Place(DataCentreId("south-2"), RegionId("south"))
FOUR_PLACES = (NORTH_1, NORTH_2, SOUTH_1, SOUTH_2)

_INCARNATION = Incarnation(1_000_000)


def backend_row(
    node_id: str,
    service: str | None,
    place: Place = NORTH_1,
    slots: int = 9,
    state: BackendServerState = BackendServerState.READY,
) -> BackendServerRow:
    """Return the first directory row that a node announces for itself."""
    return BackendServerRow(
        node_id=NodeId(node_id),
        incarnation=_INCARNATION,
        revision=1,
        service=ServiceName(service) if service else None,
        data_centre=place.data_centre,
        region=place.region,
        peer_address=Address(f"{node_id}:1"),
        slots=slots,
        state=state,
    )


@dataclass(slots=True)
class TrafficWorld:
    """The traffic part of one node, with the world that runs its systems."""

    world: World
    traffic: TrafficPart
    directory: Directory
    rules: RulesTable


def traffic_world(
    own: BackendServerRow,
    others: Sequence[BackendServerRow] = (),
    rules: str = "",
    queue: QueueDiscipline | None = None,
    retries: RetryPolicy | None = None,
    balancing: BalancingPolicy | None = None,
    options: TrafficOptions | None = None,
) -> TrafficWorld:
    """Return the traffic part of a node whose directory lists other nodes.

    Parameters
    ----------
    own
        Directory row of the node itself.
    others
        Directory rows of the other nodes.
    rules
        Text of the active rules; empty for none.
    queue, retries, balancing
        Policies that replace the default ones.
    options
        Options of the traffic part that a deployment sets.
    """
    me = SelfRow(own.node_id, own.incarnation, own.place, own.peer_address)
    directory, table = directory_table(), RulesTable()
    for row in (own, *others):
        directory.put(row.node_id, row)
    if rules:
        table.in_force = _active_version(rules)
    part = build_traffic(
        me,
        directory,
        table,
        own.slots,
        retries=retries,
        queue=queue,
        balancing=balancing,
        options=options,
    )
    return TrafficWorld(World(part.systems, Random(1)), part, directory, table)


def _active_version(rules: str) -> VersionRow:
    compiled = compile_rules(rules)
    return VersionRow(RuleVersion(1), compiled, StagedState.IN_FORCE)
