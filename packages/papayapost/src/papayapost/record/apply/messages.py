"""Input and effect of an apply: its request and its report."""

from enum import Enum

from papayapost.define import define
from papayapost.findings import Finding
from papayapost.ids import Micros, RuleVersion
from papayapost.record.model import ChangeEntry, Operator, ProposalId
from papayapost.rules import RuleChange

__all__ = ["ApplyFinished", "ApplyOutcome", "ApplyReport", "ApplyRequested"]


class ApplyOutcome(Enum):
    """How an apply ended.

    The text became a version of the rules object only if the outcome is
    ``ACCEPTED``.

    Attributes
    ----------
    ACCEPTED
        The conditional update took effect.
    UNCHANGED
        The current version already has the same text.
    PREVIEWED
        The changes were reported and nothing was written, as requested.
    REFUSED
        The text does not compile.
    OVERTAKEN
        The text was not written, since another version is current than the
        one that the update was to replace.
    UNAVAILABLE
        The store failed before the update was sent.
    UNKNOWN
        The store did not answer an update, and reading the rules object back
        did not show what became of it. The update may have taken effect, or
        may still do so.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    PREVIEWED = "previewed"
    REFUSED = "refused"
    OVERTAKEN = "overtaken"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@define
class ApplyRequested:
    """Input: request to make a text the current version of the rules.

    Parameters
    ----------
    proposal_id
        Id of this apply, unique in the mesh.
    text
        Whole rules text, as it is in the operator's file.
    operator
        Name of the person who runs the apply.
    message
        The operator's note on the change, kept in the change record.
    base_version
        Version that the text was edited from. If another version is current
        and its text differs, the outcome is ``OVERTAKEN``. None stands for
        whichever version is current.
    is_preview
        Whether to report the changes without writing anything.
    requested_at_us
        Wall-clock time of the request, in µs since the Unix epoch.
    """

    proposal_id: ProposalId
    text: str
    operator: Operator
    message: str
    base_version: RuleVersion | None
    is_preview: bool
    requested_at_us: Micros


@define(frozen=True)
class ApplyReport:
    """How an apply ended, and which rules its text changes.

    Parameters
    ----------
    outcome
        How the apply ended.
    version
        Version that the store gave the text if the text was accepted, else
        the current version; 0 if that version is unknown.
    base_version
        Version that the update replaced, or would have replaced; 0 if the
        rules object did not exist.
    changes
        Rules that differ between the base version and the text.
    is_recorded
        Whether the change record has an entry of `version`. If it has none,
        a link relay adds the entry later.
    findings
        Faults of a text that does not compile; empty otherwise.
    earlier
        Record entry of the version that is current in place of this text or
        that already has the same text; None if there is no such entry.
    differing
        Rules that differ between that current version and the text.
    reason
        Explanation for the operator, such as a failure of the store; empty
        if the outcome needs none.
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


@define
class ApplyFinished:
    """Effect: the apply has ended with this report."""

    report: ApplyReport
