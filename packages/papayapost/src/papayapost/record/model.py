"""The record of changes: what its objects in the store hold."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

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
"""Who ran the operators' tool; not the owner that a rule's comment names."""

ProposalId = NewType("ProposalId", str)
"""One run of an apply, unique in the mesh."""

DetailName = NewType("DetailName", str)
"""Name of a `ChangeDetail`, derived from its content."""

RECORD_KEY = ObjectKey(ObjectKind.RECORD, "rules")
"""The newest page, the only one that still changes."""


class Attribution(Enum):
    """How a version came into the store, as far as the record knows."""

    APPLIED = "applied"
    EDITED = "edited"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class ChangeDetail:
    """Changes of a version that are too many to stand in its entry."""

    changes: tuple[RuleChange, ...]


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """What a version changed.

    Parameters
    ----------
    basis_version
        The valid version that it is compared with, 0 for an empty file.
    is_known
        Whether the basis was at hand; False leaves all else empty.
    added, changed, moved, removed
        Numbers of rules.
    changes
        The rules themselves, unless `details` name where they stand.
    """

    basis_version: RuleVersion
    is_known: bool
    added: int = 0
    changed: int = 0
    moved: int = 0
    removed: int = 0
    changes: tuple[RuleChange, ...] = ()
    details: tuple[DetailName, ...] = ()


@dataclass(frozen=True, slots=True)
class Proposal:
    """A version that an operator is about to write.

    It stands in the record before the rules object changes, so that whoever
    completes the record after a crash knows whose version it was.

    Parameters
    ----------
    base_version
        The version that the conditional update replaces.
    digest
        Of the proposed text.
    proposed_at_us
        Wall-clock time at the operator, in µs since the Unix epoch.
    """

    proposal_id: ProposalId
    operator: Operator
    message: str
    base_version: RuleVersion
    digest: str
    proposed_at_us: Micros
    changes: ChangeSet


@dataclass(frozen=True, slots=True)
class ChangeEntry:
    """One version of the rules object.

    Parameters
    ----------
    base_version
        The version that it replaced; 0 for none, and where that is unknown.
    proposal_id, operator, message
        Of the proposal that became this version; empty where none did.
    at_us
        When it was proposed, else when it was first seen; wall-clock time in
        µs since the Unix epoch.
    recorded_by
        The operator or node that wrote the entry.
    overtaken
        Of an applied version, proposals of the same text; of an edited one,
        proposals that may or may not have been in force for a moment before.
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


@dataclass(frozen=True, slots=True)
class RecordPage:
    """A bounded stretch of the record.

    Parameters
    ----------
    number
        From 1; each page but the newest stands under `page_key`.
    entries
        By version, oldest first.
    proposals
        Not yet seen in force; always empty in an archived page.
    """

    number: int = 1
    entries: tuple[ChangeEntry, ...] = ()
    proposals: tuple[Proposal, ...] = ()

    @property
    def newest_entry(self) -> ChangeEntry | None:
        """The entry of the highest version."""
        return self.entries[-1] if self.entries else None

    def entry_of(self, version: RuleVersion) -> ChangeEntry | None:
        """Return the entry of a version, or None."""
        return next((e for e in self.entries if e.version == version), None)

    def entry_of_proposal(self, proposal_id: ProposalId) -> ChangeEntry | None:
        """Return the entry that a proposal became, or None."""
        return next((e for e in self.entries if e.proposal_id == proposal_id), None)


def page_key(number: int) -> ObjectKey:
    """Return the key of an archived page.

    Examples
    --------
    >>> page_key(7).name
    'rules-7'
    """
    return ObjectKey(ObjectKind.RECORD, f"rules-{number}")


def detail_key(name: DetailName) -> ObjectKey:
    """Return the key of a detail."""
    return ObjectKey(ObjectKind.RECORD_DETAIL, name)
