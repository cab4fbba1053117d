"""What a data centre reports to the operators about the rules.

One `StatusReport` per data centre stands in the store under
`ObjectKind.STATUS`, named after the data centre. It is a full state that
supersedes the earlier one.
"""

from dataclasses import dataclass

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
"""Laggards named in one report; the counts always cover every node."""


@dataclass(frozen=True, slots=True)
class Laggard:
    """A node on which the reported version is not in force.

    Parameters
    ----------
    version
        The version that the node holds; 0 while it holds none.
    reason
        Why it lags, such as the services that it does not know yet.
    """

    node_id: NodeId
    version: RuleVersion
    reason: str


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """A version that did not compile, with everything that was found."""

    version: RuleVersion
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class StatusReport:
    """How far one data centre has followed the rules.

    Parameters
    ----------
    written_by
        The relay that wrote the report.
    version
        The newest version that the data centre has accepted.
    nodes_in_force, nodes_total
        Nodes on which `version` is in force, of all that are alive.
    laggards
        The others, by node id, `MAX_REPORTED_LAGGARDS` at most.
    refused
        The newest version if it was refused, else None.
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
