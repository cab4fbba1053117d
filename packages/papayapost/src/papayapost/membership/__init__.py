"""Membership: who is there, and the tree that control messages take."""

from papayapost.membership.directory import AnnounceToSeeds, MergeAnnouncements
from papayapost.membership.messages import (
    Announcement,
    ChildJoined,
    ChildLeft,
    DirectoryChanged,
    OwnRowChanged,
    ParentChanged,
    RefreshDue,
    RoleChanged,
)
from papayapost.membership.part import MembershipPart, build_membership
from papayapost.membership.tables import (
    BackendServerRow,
    ChildRow,
    Directory,
    ParentRow,
    TreeTables,
    directory_table,
)

__all__ = [
    "AnnounceToSeeds",
    "Announcement",
    "BackendServerRow",
    "ChildJoined",
    "ChildLeft",
    "ChildRow",
    "Directory",
    "DirectoryChanged",
    "MembershipPart",
    "MergeAnnouncements",
    "OwnRowChanged",
    "ParentChanged",
    "ParentRow",
    "RefreshDue",
    "RoleChanged",
    "TreeTables",
    "build_membership",
    "directory_table",
]
