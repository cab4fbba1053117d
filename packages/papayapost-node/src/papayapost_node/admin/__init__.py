"""The admin listener of a node and the pages that it serves to operators."""

from papayapost_node.admin.pages import (
    AdminPage,
    MetricsPage,
    NodeStatus,
    StatusPage,
    TimelinePage,
    TimelineReport,
)
from papayapost_node.admin.server import AdminServer

__all__ = [
    "AdminPage",
    "AdminServer",
    "MetricsPage",
    "NodeStatus",
    "StatusPage",
    "TimelinePage",
    "TimelineReport",
]
