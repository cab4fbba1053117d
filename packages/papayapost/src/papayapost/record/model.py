"""Data of the change record, as the object store holds it.

The record has an entry for each version of the rules object. The entries are
kept on pages: the newest page is updated, and full pages are archived under
keys of their own. Change sets that are too large for an entry are stored as
details.
"""

from enum import Enum
from typing import NewType

from papayapost.define import define
from papayapost.ids import Micros, RuleVersion
from papayapost.rules import RuleChange
from papayapost.storage import ObjectKey, ObjectKind

__all__ = [
    "RECORD_KEY",
    "Attribution",
    "ChangeDetail",
    "ChangeEntry",
    "ChangeSet",
    "DetailName",
    "Operator",
    "Proposal",
    "ProposalId",
    "RecordPage",
    "detail_key",
    "page_key",
]

Operator = NewType("Operator", str)
"""The person who ran the operators' tool.

The owner of a rule is somebody else: the person named in the rule's comment.
"""

ProposalId = NewType("ProposalId", str)
"""Id of one apply and of its proposal, unique in the mesh."""

DetailName = NewType("DetailName", str)
"""Name of a `ChangeDetail` object, derived from its content."""

RECORD_KEY = ObjectKey(ObjectKind.RECORD, "rules")
"""Key of the newest page, the only page that is still updated."""


class Attribution(Enum):
    """How a version came into the store, as far as the record can tell.

    Attributes
    ----------
    APPLIED
        An operator applied it with the operators' tool.
    EDITED
        It was edited directly in the store, and it compiles.
    REFUSED
        It was edited directly in the store, and it does not compile.
    """

    APPLIED = "applied"
    EDITED = "edited"
    REFUSED = "refused"


@define(frozen=True)
class ChangeDetail:
    """Value of a detail object: changes that are too large for an entry."""

    changes: tuple[RuleChange, ...]


@define(frozen=True)
class ChangeSet:
    """Differences between a version and the valid version before it.

    Parameters
    ----------
    basis_version
        Valid version that the text is compared with; 0 for an empty text.
    is_known
        Whether the text of the basis was available. If False, the other
        fields are empty.
    added, changed, moved, removed
        Number of rules with each kind of change.
    changes
        The changed rules; empty if they are stored in `details`.
    details
        Names of the detail objects that hold the changed rules; empty if
        `changes` holds them.
    """

    basis_version: RuleVersion
    is_known: bool
    added: int = 0
    changed: int = 0
    moved: int = 0
    removed: int = 0
    changes: tuple[RuleChange, ...] = ()
    details: tuple[DetailName, ...] = ()


@define(frozen=True)
class Proposal:
    """A text that an operator is about to write as the next version.

    It is stored in the record before the rules object is updated. If the
    operators' tool crashes after the update, a link relay that adds the
    missing entry can tell from the proposal who wrote the version.

    Parameters
    ----------
    proposal_id
        Id of the apply that made the proposal.
    operator
        Name of the person who runs the apply.
    message
        The operator's note on the change.
    base_version
        Version that the conditional update replaces.
    digest
        Digest of the proposed text.
    proposed_at_us
        Wall-clock time of the operator's machine, in µs since the Unix epoch.
    changes
        Rules that the proposal changes.
    """

    proposal_id: ProposalId
    operator: Operator
    message: str
    base_version: RuleVersion
    digest: str
    proposed_at_us: Micros
    changes: ChangeSet


@define(frozen=True)
class ChangeEntry:
    """Record entry of one version of the rules object.

    Parameters
    ----------
    version
        Version that the store gave the rules text.
    base_version
        Version that this one replaced; 0 if there was none or it is unknown.
    digest
        Digest of the rules text.
    attribution
        How the version came into the store.
    proposal_id, operator, message
        Fields of the proposal that became this version; empty if the version
        was edited directly in the store.
    at_us
        Time when the version was proposed or, without a proposal, first
        observed; wall-clock time in µs since the Unix epoch.
    recorded_by
        Operator or node that wrote the entry.
    changes
        Rules that the version changed.
    overtaken
        Proposals that did not become this version. For an applied version,
        these are other proposals of the same text on the same base version.
        For an edited version, these are proposals that may have been in force
        briefly before it.
    """

    version: RuleVersion
    base_version: RuleVersion
    digest: str
    attribution: Attribution
    proposal_id: ProposalId
    operator: Operator
    message: str
    at_us: Micros
    recorded_by: str
    changes: ChangeSet
    overtaken: tuple[Proposal, ...] = ()


@define(frozen=True)
class RecordPage:
    """A page of the record, with a bounded number of entries.

    Parameters
    ----------
    number
        Number of the page, counted from 1. The newest page is stored under
        `RECORD_KEY`, an archived page under its `page_key`.
    entries
        Entries in the order of their versions, oldest first.
    proposals
        Proposals of which it is not yet known whether they took effect;
        always empty in an archived page.
    """

    number: int = 1
    entries: tuple[ChangeEntry, ...] = ()
    proposals: tuple[Proposal, ...] = ()

    @property
    def newest_entry(self) -> ChangeEntry | None:
        """Entry of the highest version; None if the page has no entry."""
        return self.entries[-1] if self.entries else None

    def entry_of(self, version: RuleVersion) -> ChangeEntry | None:
        """Return the entry of a version, or None if there is none."""
        return next((e for e in self.entries if e.version == version), None)

    def entry_of_proposal(self, proposal_id: ProposalId) -> ChangeEntry | None:
        """Return the entry of the version that a proposal became, or None."""
        return next((e for e in self.entries if e.proposal_id == proposal_id), None)


def page_key(number: int) -> ObjectKey:
    """Return the store key of the archived page with this number.

    Examples
    --------
    >>> page_key(7).name
    'rules-7'
    """
    return ObjectKey(ObjectKind.RECORD, f"rules-{number}")


def detail_key(name: DetailName) -> ObjectKey:
    """Return the store key of a detail object."""
    return ObjectKey(ObjectKind.RECORD_DETAIL, name)
