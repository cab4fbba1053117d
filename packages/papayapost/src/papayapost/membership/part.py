"""Builds the membership part of a node's world."""

from collections.abc import Sequence
from dataclasses import dataclass

from papayapost.ids import Address
from papayapost.kernel import System
from papayapost.membership.children import AdmitChildren, WatchChildren
from papayapost.membership.directory import AnnounceOwnRow, MergeRows, TombstonesDue
from papayapost.membership.failures import AnswerProbes, ConfirmFailures
from papayapost.membership.heartbeats import KeepParent
from papayapost.membership.members import Members
from papayapost.membership.publishing import PublishDirectory
from papayapost.membership.repair import RepairDirectory, ServeRepairs
from papayapost.membership.roles import AssignRoles
from papayapost.membership.seeking import SeekDue, SeekParent
from papayapost.membership.spreading import SpreadRows
from papayapost.membership.tables import BackendServerRow, Directory, TreeTables
from papayapost.membership.vouching import AuditMembers, VouchDue, VouchForChildren
from papayapost.membership.watching import WatchDirectories
from papayapost.place import SelfRow

__all__ = ["MembershipPart", "build_membership"]


@dataclass(slots=True)
class MembershipPart:
    """Tables and systems of membership, and what its first tick takes."""

    directory: Directory
    tree: TreeTables
    members: Members
    systems: list[System]
    first_messages: list[object]


def build_membership(
    me: SelfRow, seeds: Sequence[Address], own: BackendServerRow
) -> MembershipPart:
    """Return the membership part of a node that knows only itself.

    Parameters
    ----------
    seeds
        Peer addresses to ask for a parent first.
    own
        The node's own row.
    """
    members = Members(me, own)
    tree = TreeTables()
    systems: list[System] = [
        AdmitChildren(members, tree),
        MergeRows(members),
        AnnounceOwnRow(members, tree),
        WatchChildren(members, tree),
        SeekParent(members, tree, seeds),
        KeepParent(members, tree),
        RepairDirectory(members, tree),
        ServeRepairs(members),
        AssignRoles(members, tree),
        VouchForChildren(members, tree),
        AuditMembers(members, tree),
        AnswerProbes(members),
        ConfirmFailures(members, tree),
        PublishDirectory(members, tree),
        WatchDirectories(members, tree),
        SpreadRows(members, tree),
    ]
    first: list[object] = [SeekDue(), VouchDue(), TombstonesDue()]
    return MembershipPart(members.directory, tree, members, systems, first)
