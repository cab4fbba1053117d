"""Builds the membership part of a node's world."""

from collections.abc import Sequence
from dataclasses import dataclass

from papayapost.ids import Address
from papayapost.kernel import System
from papayapost.membership.directory import AnnounceToSeeds, MergeAnnouncements
from papayapost.membership.messages import RefreshDue
from papayapost.membership.tables import (
    BackendServerRow,
    Directory,
    TreeTables,
    directory_table,
)
from papayapost.place import SelfRow

__all__ = ["MembershipPart", "build_membership"]


@dataclass(slots=True)
class MembershipPart:
    """Tables and systems of membership, and what its first tick takes."""

    directory: Directory
    tree: TreeTables
    systems: list[System]
    first_messages: list[object]


def build_membership(
    me: SelfRow, seeds: Sequence[Address], own: BackendServerRow
) -> MembershipPart:
    """Return the membership part of a node that knows only itself.

    Parameters
    ----------
    seeds
        Peer addresses to announce to.
    own
        The node's own row.
    """
    directory = directory_table()
    directory.put(own.node_id, own)
    systems: list[System] = [
        MergeAnnouncements(me, directory),
        AnnounceToSeeds(me, seeds, directory),
    ]
    return MembershipPart(directory, TreeTables(), systems, [RefreshDue()])
