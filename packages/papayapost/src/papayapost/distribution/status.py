"""Status reports of the data centres about the rules, for the operators.

The store holds one `StatusReport` per data centre under `ObjectKind.STATUS`,
named after the data centre. Each report is complete and replaces the previous
one.
"""

from papayapost.define import define
from papayapost.findings import Finding
from papayapost.ids import DataCentreId, NodeId, RuleVersion
from papayapost.storage import ObjectKey, ObjectKind

__all__ = [
    "MAX_REPORTED_LAGGARDS",
    "Laggard",
    "RefusedVersion",
    "StatusReport",
    "status_key",
]

MAX_REPORTED_LAGGARDS = 100
"""Maximum number of laggards in a report.

The counts of a report cover every node, whatever this limit.
"""


@define(frozen=True)
class Laggard:
    """A node on which the reported version is not in force.

    Parameters
    ----------
    version
        The version in force on the node, or the last one that it reported;
        0 if there is none.
    reason
        Why the version is not in force, such as services that the node does
        not know yet.
    """

    node_id: NodeId
    version: RuleVersion
    reason: str


@define(frozen=True)
class RefusedVersion:
    """A refused version with the findings that caused the refusal."""

    version: RuleVersion
    findings: tuple[Finding, ...]


@define(frozen=True)
class StatusReport:
    """Progress of one data centre towards the newest rules version.

    Parameters
    ----------
    written_by
        Node id of the link relay that wrote the report.
    version
        The newest version that the data centre has accepted.
    nodes_in_force
        Number of nodes on which `version` is in force.
    nodes_total
        Number of nodes that are alive.
    laggards
        Nodes on which `version` is not in force, sorted by node id, at most
        `MAX_REPORTED_LAGGARDS` of them.
    refused
        The newest refused version; None if there is none.
    """

    data_centre: DataCentreId
    written_by: NodeId
    version: RuleVersion
    nodes_in_force: int
    nodes_total: int
    laggards: tuple[Laggard, ...]
    refused: RefusedVersion | None


def status_key(data_centre: DataCentreId) -> ObjectKey:
    """Return the key of a data centre's status report."""
    return ObjectKey(ObjectKind.STATUS, data_centre)
