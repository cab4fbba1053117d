"""Builds the membership part of a node's world: its tables and systems."""

from collections.abc import Sequence

from papayapost.define import define
from papayapost.ids import Address
from papayapost.kernel import System
from papayapost.membership.children import AdmitChildren, MonitorChildren
from papayapost.membership.directory import (
    AnnounceOwnRow,
    MergeRows,
    TombstoneExpiryDue,
)
from papayapost.membership.dissemination import DisseminateRows
from papayapost.membership.failures import AnswerProbes, ConfirmFailures
from papayapost.membership.heartbeats import MonitorParent
from papayapost.membership.liveness_reports import (
    AuditMembers,
    LivenessReportDue,
    ReportLiveChildren,
)
from papayapost.membership.members import Members
from papayapost.membership.parent_search import FindParent, SeekDue
from papayapost.membership.publishing import PublishDirectory
from papayapost.membership.region_watch import WatchDirectories
from papayapost.membership.repair import RepairDirectory, ServeRepairs
from papayapost.membership.roles import AssignRoles
from papayapost.membership.tables import BackendServerRow, Directory, TreeTables
from papayapost.place import SelfRow

__all__ = ["MembershipPart", "build_membership"]


@define
class MembershipPart:
    """Tables and systems of membership, and messages for the first tick."""

    directory: Directory
    tree: TreeTables
    members: Members
    systems: list[System]
    first_messages: list[object]


def build_membership(
    me: SelfRow, seeds: Sequence[Address], own: BackendServerRow
) -> MembershipPart:
    """Return the membership part of a node that knows no other member yet.

    Parameters
    ----------
    me
        Identity and location of this node.
    seeds
        Peer addresses of the nodes to ask first for a parent.
    own
        This node's own row in the directory.
    """
    members = Members(me, own)
    tree = TreeTables()
    systems: list[System] = [
        AdmitChildren(members, tree),
        MergeRows(members),
        AnnounceOwnRow(members, tree),
        MonitorChildren(members, tree),
        FindParent(members, tree, seeds),
        MonitorParent(members, tree),
        RepairDirectory(members, tree),
        ServeRepairs(members),
        AssignRoles(members, tree),
        ReportLiveChildren(members, tree),
        AuditMembers(members, tree),
        AnswerProbes(members),
        ConfirmFailures(members, tree),
        PublishDirectory(members, tree),
        WatchDirectories(members, tree),
        DisseminateRows(members, tree),
    ]
    first: list[object] = [SeekDue(), LivenessReportDue(), TombstoneExpiryDue()]
    return MembershipPart(members.directory, tree, members, systems, first)
