"""Builds the world of one node from its parts."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from papayapost.distribution import DistributionPart, build_distribution
from papayapost.ids import Address
from papayapost.kernel import World
from papayapost.membership import (
    BackendServerRow,
    MembershipPart,
    build_membership,
)
from papayapost.place import SelfRow
from papayapost.record import RecordPart, build_record
from papayapost.traffic import TrafficPart, build_traffic
from papayapost.traffic.owner.queues import QueueDiscipline

__all__ = ["NodeWorld", "build_node_world"]


@dataclass(slots=True)
class NodeWorld:
    """The parts of a node with the world that runs over their tables."""

    world: World
    membership: MembershipPart
    distribution: DistributionPart
    traffic: TrafficPart
    record: RecordPart

    def first_messages(self) -> list:
        """Return what the first tick takes."""
        return [
            *self.membership.first_messages,
            *self.distribution.first_messages,
            *self.traffic.first_messages,
        ]


def build_node_world(
    me: SelfRow,
    seeds: Sequence[Address],
    own: BackendServerRow,
    random: Random,
    queue: QueueDiscipline | None = None,
) -> NodeWorld:
    """Return the world of a node that knows nothing but itself.

    Parameters
    ----------
    seeds
        Peer addresses to announce to.
    own
        The node's own row.
    queue
        In place of `RankedQueues`.
    """
    membership = build_membership(me, seeds, own)
    distribution = build_distribution(me, membership.directory, membership.tree)
    traffic = build_traffic(
        me, membership.directory, distribution.rules, own.slots, queue=queue
    )
    record = build_record(me, membership.tree, distribution.rules)
    systems = [
        *membership.systems,
        *distribution.systems,
        *traffic.systems,
        *record.systems,
    ]
    world = World(systems, random)
    return NodeWorld(world, membership, distribution, traffic, record)
