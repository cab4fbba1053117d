"""Builds the world of one node: its tables and its systems in order."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from papayapost.distribution import (
    RULES_KIND,
    RULES_NAME,
    AnnounceToSeeds,
    BackendServerRow,
    Directory,
    MergeAnnouncements,
    RefreshDue,
    RulesTable,
    StageRules,
    SwapRules,
    WatchObject,
    WatchRules,
    directory_table,
)
from papayapost.ids import Address
from papayapost.kernel import World
from papayapost.place import SelfRow
from papayapost.traffic import (
    AdmitAttempts,
    EndCalls,
    NearestLeastOutstanding,
    Offers,
    OwnerTables,
    RouteCalls,
    SettleRefusals,
    TrafficTables,
)

__all__ = ["NodeTables", "NodeWorld", "build_node_world"]


@dataclass(slots=True)
class NodeTables:
    """All tables of a node."""

    rules: RulesTable
    directory: Directory
    traffic: TrafficTables
    owner: OwnerTables


@dataclass(slots=True)
class NodeWorld:
    """A node's tables with the world that runs over them."""

    world: World
    tables: NodeTables

    def first_messages(self) -> list:
        """Return what the first tick needs to watch and announce."""
        return [WatchObject(RULES_KIND, RULES_NAME, 0), RefreshDue()]


def build_node_world(
    me: SelfRow,
    seeds: Sequence[Address],
    own: BackendServerRow | None,
    random: Random,
) -> NodeWorld:
    """Return the world of a node that knows nothing but itself.

    Parameters
    ----------
    seeds
        Peer addresses to announce to.
    own
        The backend server on the node's VM, or None on a node without.
    """
    tables = NodeTables(
        RulesTable(),
        directory_table(),
        TrafficTables(),
        OwnerTables(own.slots if own else 0),
    )
    if own is not None:
        tables.directory.put(own.node_id, own)
    policy = NearestLeastOutstanding(me, tables.traffic)
    offers = Offers(me, tables.directory, tables.traffic, policy)
    systems = [
        MergeAnnouncements(me, tables.directory),
        AnnounceToSeeds(me, seeds, tables.directory),
        WatchRules(tables.rules),
        StageRules(tables.rules),
        SwapRules(tables.rules, tables.directory),
        RouteCalls(tables.rules, tables.traffic, offers),
        AdmitAttempts(me, tables.owner),
        SettleRefusals(tables.traffic, offers),
        EndCalls(me, tables.traffic),
    ]
    return NodeWorld(World(systems, random), tables)
