"""Builds the world of a node: its tables and its systems in order."""

from collections.abc import Mapping, Sequence
from random import Random

from papayapost.define import define
from papayapost.distribution import (
    DirectWatchRow,
    EvidenceRow,
    RulesTable,
    build_direct_distribution,
    build_distribution,
)
from papayapost.ids import Address, DataCentreId, RegionId
from papayapost.kernel import World
from papayapost.membership import (
    BackendServerRow,
    Directory,
    TreeTables,
    build_membership,
)
from papayapost.place import SelfRow
from papayapost.quota import QuotaTables, build_quota
from papayapost.record import build_record
from papayapost.rollout import (
    OrderedVersions,
    RolloutLimits,
    RolloutPart,
    RolloutTables,
    build_rollout,
)
from papayapost.roster import build_roster
from papayapost.rules import MAX_TEXT_BYTES
from papayapost.traffic import TrafficOptions, TrafficPart, build_traffic
from papayapost.traffic.owner.queues import QueueDiscipline

__all__ = ["NodeWorld", "build_node_world", "build_roster_world"]


@define
class NodeWorld:
    """The world of a node, and the tables that code outside it reads.

    Parameters
    ----------
    tree
        This node's position in the tree of relays, or None if the mesh has
        no tree.
    first
        Messages for the first tick.
    quotas
        Leases, buckets and requests for tokens, or None if the mesh keeps no
        quotas.
    rollout
        Roll-outs of service versions, or None if the mesh has none.
    contact
        What the store shows this node, or None if the mesh has a tree.
    """

    world: World
    directory: Directory
    rules: RulesTable
    traffic: TrafficPart
    tree: TreeTables | None
    first: list[object]
    quotas: QuotaTables | None = None
    rollout: RolloutPart | None = None
    contact: DirectWatchRow | None = None

    def first_messages(self) -> list[object]:
        """Return the messages to pass to the first tick."""
        return self.first


def build_node_world(
    me: SelfRow,
    seeds: Sequence[Address],
    own: BackendServerRow,
    random: Random,
    queue: QueueDiscipline | None = None,
    options: TrafficOptions | None = None,
) -> NodeWorld:
    """Return the world of a node that joins a tree of relays.

    Parameters
    ----------
    me
        Identity and location of this node.
    seeds
        Peer addresses of the nodes to contact first.
    own
        This node's own row in the directory.
    random
        Seeded random source of the world.
    queue
        Queue discipline of the owner node; `RankedQueues` if None.
    options
        Options of the traffic part; the defaults if None.
    """
    membership = build_membership(me, seeds, own)
    directory, tree = membership.directory, membership.tree
    distribution = build_distribution(me, directory, tree)
    rules = distribution.rules
    traffic = build_traffic(
        me, directory, rules, own.slots, queue=queue, options=options
    )
    record = build_record(me, tree, rules)
    systems = [
        *membership.systems,
        *distribution.systems,
        *traffic.systems,
        *record.systems,
    ]
    first = [
        *membership.first_messages,
        *distribution.first_messages,
        *traffic.first_messages,
    ]
    world = World(systems, random)
    return NodeWorld(world, directory, rules, traffic, tree, first)


def build_roster_world(
    me: SelfRow,
    own: BackendServerRow,
    random: Random,
    queue: QueueDiscipline | None = None,
    options: TrafficOptions | None = None,
    max_rules_bytes: int = MAX_TEXT_BYTES,
    evidence: EvidenceRow | None = None,
    data_centres: Mapping[DataCentreId, RegionId] | None = None,
    limits: RolloutLimits | None = None,
) -> NodeWorld:
    """Return the world of a node that reads the other nodes from the store.

    Such a node joins no tree of relays. `build_node_world` describes the
    other parameters.

    Parameters
    ----------
    max_rules_bytes
        Size limit of a rules text in bytes of UTF-8.
    evidence
        Evidence that no newer rules exist, with the largest age at which it
        counts; None if the deployment sets no bound on the removal of a key.
    data_centres
        Region of each data centre of the mesh, between which the quotas of
        accounts are divided; if there are none, no quota is enforced.
    limits
        Bounds on roll-outs; None if the mesh has none.
    """
    rules = RulesTable(max_rules_bytes)
    roster = build_roster(me, own, rules)
    distribution = build_direct_distribution(me, roster.directory, rules, evidence)
    rollout_tables = RolloutTables(roster.directory, me.node_id)
    versions = OrderedVersions(rollout_tables) if limits is not None else None
    traffic = build_traffic(
        me,
        roster.directory,
        rules,
        own.slots,
        queue=queue,
        options=options,
        evidence=evidence,
        has_lenders=bool(data_centres),
        versions=versions,
    )
    quota = None
    if data_centres:
        contact, ranks = distribution.contact, distribution.ranks
        quota = build_quota(me, roster.directory, ranks, rules, contact, data_centres)
    rollout = None
    if limits is not None and versions is not None:
        rollout = build_rollout(
            me, roster.directory, limits, rollout_tables, versions, traffic
        )
    systems = [
        *roster.systems,
        *distribution.systems,
        *(quota.systems if quota is not None else ()),
        *(rollout.systems if rollout is not None else ()),
        *traffic.systems,
    ]
    first = [
        *roster.first_messages,
        *(rollout.first_messages if rollout is not None else ()),
        *distribution.first_messages,
        *traffic.first_messages,
    ]
    world = World(systems, random)
    tables = quota.tables if quota is not None else None
    return NodeWorld(
        world,
        roster.directory,
        rules,
        traffic,
        None,
        first,
        tables,
        rollout,
        distribution.contact,
    )
