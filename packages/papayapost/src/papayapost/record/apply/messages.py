"""What an apply is asked and what it reports."""

from dataclasses import dataclass
from enum import Enum

from papayapost.findings import Finding
from papayapost.ids import Micros, RuleVersion
from papayapost.record.model import ChangeEntry, Operator, ProposalId
from papayapost.rules import RuleChange

__all__ = ["ApplyAsked", "ApplyFinished", "ApplyOutcome", "ApplyReport"]


class ApplyOutcome(Enum):
    """How an apply ended.

    Only ``ACCEPTED`` has changed the rules object. ``UNKNOWN`` may have, or
    may still: the store's reply was lost and reading back did not tell.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    PREVIEWED = "previewed"
    REFUSED = "refused"
    OVERTAKEN = "overtaken"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ApplyAsked:
    """Input: make this text the current version.

    Parameters
    ----------
    proposal_id
        Unique in the mesh.
    base_version
        The version that the text was edited from, or None for whichever is
        current.
    is_preview
        Only report what would change.
    requested_at_us
        Wall-clock time in µs since the Unix epoch.
    """

    proposal_id: ProposalId
    text: str
    operator: Operator
    message: str
    base_version: RuleVersion | None
    is_preview: bool
    requested_at_us: Micros


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """How an apply ended, and what it changes.

    Parameters
    ----------
    version
        The text's own version if it was accepted, else the current one; 0
        where that is unknown.
    base_version
        The version that was, or was to be, replaced.
    changes
        From the base to the text.
    is_recorded
        Whether the record holds the version; a link relay completes it.
    findings
        Why the text was refused.
    earlier
        Whose version is current in place of this text, or with the same text.
    differing
        From the version that came first to the text.
    reason
        What the store said, where that matters.
    """

    outcome: ApplyOutcome
    version: RuleVersion
    base_version: RuleVersion
    changes: tuple[RuleChange, ...] = ()
    is_recorded: bool = False
    findings: tuple[Finding, ...] = ()
    earlier: ChangeEntry | None = None
    differing: tuple[RuleChange, ...] = ()
    reason: str = ""


@dataclass(slots=True)
class ApplyFinished:
    """Effect: the apply has ended."""

    report: ApplyReport
