"""Worlds of single nodes, driven by ticks alone."""

from collections.abc import Sequence
from random import Random

from papayapost.distribution import VersionRow, build_distribution
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
from papayapost.membership import BackendServerRow, build_membership
from papayapost.node import NodeWorld, build_node_world
from papayapost.place import Place, SelfRow
from papayapost.rules import compile_rules
from papayapost.states import BackendServerState, StagedState
from papayapost.traffic import build_traffic
from papayapost.traffic.queues import QueueDiscipline

__all__ = ["NORTH_1", "NORTH_2", "SOUTH_1", "backend_row", "node_world", "owner_world"]

NORTH_1 = Place(DataCentreId("north-1"), RegionId("north"))
NORTH_2 = Place(DataCentreId("north-2"), RegionId("north"))
SOUTH_1 = Place(DataCentreId("south-1"), RegionId("south"))

_INCARNATION = Incarnation(1_000_000)


def backend_row(
    node_id: str,
    service: str | None,
    place: Place = NORTH_1,
    slots: int = 9,
    state: BackendServerState = BackendServerState.READY,
) -> BackendServerRow:
    """Return a node's row as it announces itself first."""
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


def node_world(
    own: BackendServerRow,
    others: Sequence[BackendServerRow] = (),
    rules: str = "",
    seed: int = 1,
    incarnation: int = _INCARNATION,
) -> NodeWorld:
    """Return a node's world that knows other nodes and has rules in force.

    Parameters
    ----------
    rules
        Text of the rules; empty for none in force.
    """
    own.incarnation = Incarnation(incarnation)
    me = SelfRow(own.node_id, own.incarnation, own.place, own.peer_address)
    node = build_node_world(me, [], own, Random(seed))
    for row in others:
        node.membership.directory.put(row.node_id, row)
    if rules:
        compiled = compile_rules(rules)
        node.distribution.rules.in_force = VersionRow(
            RuleVersion(1), compiled, StagedState.IN_FORCE
        )
    return node


def owner_world(own: BackendServerRow, queue: QueueDiscipline | None = None) -> World:
    """Return a world of traffic alone, with another queue if one is given."""
    me = SelfRow(own.node_id, own.incarnation, own.place, own.peer_address)
    membership = build_membership(me, [], own)
    distribution = build_distribution(membership)
    traffic = build_traffic(me, membership, distribution, own.slots, queue=queue)
    return World(traffic.systems, Random(1))
