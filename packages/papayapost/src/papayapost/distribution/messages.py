"""Messages of the distribution of rules versions.

Types whose first field is ``sender`` travel between nodes.
"""

from dataclasses import dataclass

from papayapost.findings import Finding
from papayapost.ids import RuleVersion

__all__ = ["RulesInForce", "RulesRejected"]


@dataclass(slots=True)
class RulesInForce:
    """Internal: a version was swapped in."""

    version: RuleVersion


@dataclass(slots=True)
class RulesRejected:
    """Internal: a version was refused whole."""

    version: RuleVersion
    findings: tuple[Finding, ...]
