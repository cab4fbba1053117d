"""Operations on the newest page of the change record.

Each operation changes a draft in memory and is idempotent.
"""

from abc import ABC, abstractmethod
from dataclasses import replace

from papayapost.define import define
from papayapost.errors import RulesRefused
from papayapost.ids import NO_VERSION, Micros, RuleVersion
from papayapost.record.changeset import (
    UNKNOWN_CHANGES,
    RulesText,
    StoredChanges,
    changes_between,
    stored_size_bytes,
)
from papayapost.record.model import (
    Attribution,
    ChangeEntry,
    Operator,
    Proposal,
    ProposalId,
    RecordPage,
)
from papayapost.rules import compile_rules, rules_digest

__all__ = [
    "ObservedVersion",
    "PageDraft",
    "PageOperation",
    "ProposeVersion",
    "RecordVersion",
]

_MAX_PAGE_ENTRIES = 30
_MAX_PAGE_BYTES = 32_000
_MAX_PROPOSALS = 16
# Approximate size in JSON of an entry without its changes.
_ENTRY_OVERHEAD_BYTES = 600


class PageDraft:
    """A changed copy of a page, with the objects to be stored before it.

    Parameters
    ----------
    page
        Page as it was read from the store.

    Attributes
    ----------
    page
        Newest page after the changes.
    archived
        Pages that are full, to be stored under keys of their own.
    stored_changes
        Change sets that were added to the page, with their detail objects.
    """

    def __init__(self, page: RecordPage):
        self.page = page
        self.archived: list[RecordPage] = []
        self.stored_changes: list[StoredChanges] = []

    def append(self, entry: ChangeEntry) -> None:
        """Add an entry whose version is higher than all others.

        If the page is full, it is archived and the entry starts a new page.
        """
        page = self.page
        if _is_full(page):
            self.archived.append(replace(page, proposals=()))
            page = RecordPage(page.number + 1, (), page.proposals)
        self.page = replace(page, entries=(*page.entries, entry))

    def insert(self, entry: ChangeEntry) -> None:
        """Add an entry whose version is below the highest one.

        A full page is left unchanged and the entry is dropped: two nodes that
        archive the same page must write the same content.
        """
        if _is_full(self.page):
            return
        entries = [_remove_overtaken(e, entry.proposal_id) for e in self.page.entries]
        entries = sorted((*entries, entry), key=lambda e: e.version)
        self.page = replace(self.page, entries=tuple(entries))


class PageOperation(ABC):
    """An idempotent operation on the newest page.

    If another writer updates the page first, the operation is applied again
    to the page that this writer stored.
    """

    @abstractmethod
    def apply(self, draft: PageDraft) -> None:
        """Change the draft, unless the draft already holds the result."""


@define(frozen=True)
class ObservedVersion:
    """A version of the rules object, as an operator or a node observed it.

    Parameters
    ----------
    version
        Version that the store gave the rules object.
    text
        Rules text of the observed version.
    observed_at_us
        Wall-clock time of the observation, in µs since the Unix epoch.
    observed_by
        Operator or node that observed the version.
    comparison_texts
        Earlier texts that the observer has, with which the version may be
        compared.
    """

    version: RuleVersion
    text: str
    observed_at_us: Micros
    observed_by: str
    comparison_texts: tuple[RulesText, ...] = ()


@define(frozen=True)
class RecordVersion(PageOperation):
    """Adds the entry of a version that was observed in the store.

    Parameters
    ----------
    observed
        Version that gets an entry in the record.
    known_proposal
        Proposal that is known to have become the version; None to find it
        among the proposals of the page.
    lost
        Id of a proposal that is known not to have taken effect; None if
        there is none.
    """

    observed: ObservedVersion
    known_proposal: Proposal | None = None
    lost: ProposalId | None = None

    def apply(self, draft: PageDraft) -> None:
        """Add the entry, and remove the proposals that are settled by it.

        A proposal is settled if its base version is lower than the recorded
        version: its conditional update can no longer take effect. Nothing is
        added if the version has an entry or would belong on an archived page.
        """
        self._drop_failed_proposal(draft)
        page, version = draft.page, self.observed.version
        if version == 0 or page.entry_of(version) is not None:
            return
        if page.number > 1 and version < page.entries[0].version:
            return
        entry = self._build_entry(draft)
        unsettled = tuple(p for p in page.proposals if p.base_version >= version)
        draft.page = replace(page, proposals=unsettled)
        if page.newest_entry is None or version > page.newest_entry.version:
            draft.append(entry)
        else:
            draft.insert(entry)

    def _drop_failed_proposal(self, draft: PageDraft) -> None:
        page = draft.page
        remaining = tuple(p for p in page.proposals if p.proposal_id != self.lost)
        if remaining != page.proposals:
            draft.page = replace(page, proposals=remaining)

    def _build_entry(self, draft: PageDraft) -> ChangeEntry:
        page, observed = draft.page, self.observed
        digest = rules_digest(observed.text)
        proposal = self._find_proposal(page, digest)
        if proposal is not None:
            return ChangeEntry(
                observed.version,
                proposal.base_version,
                digest,
                Attribution.APPLIED,
                proposal.proposal_id,
                proposal.operator,
                proposal.message,
                proposal.proposed_at_us,
                observed.observed_by,
                proposal.changes,
                _same_text_proposals(page, digest, proposal),
            )
        is_valid = _compiles(observed.text)
        stored_changes = (
            self._compute_changes(page)
            if is_valid
            else StoredChanges(UNKNOWN_CHANGES, {})
        )
        draft.stored_changes.append(stored_changes)
        return ChangeEntry(
            observed.version,
            NO_VERSION,
            digest,
            Attribution.EDITED if is_valid else Attribution.REFUSED,
            ProposalId(""),
            Operator(""),
            "",
            observed.observed_at_us,
            observed.observed_by,
            stored_changes.changes,
            _undecided_proposals(page, observed.version),
        )

    def _find_proposal(self, page: RecordPage, digest: str) -> Proposal | None:
        """Return the proposal that became this version, or None.

        A proposal is ruled out if a recorded version below this one has
        replaced the proposal's base: its update was conditional on that base,
        so it cannot have taken effect afterwards.
        """
        if self.known_proposal is not None:
            return self.known_proposal
        version = self.observed.version
        earlier = [e.version for e in page.entries if e.version < version]
        later = [e for e in page.entries if e.version > version]
        newest_version = earlier[-1] if earlier else NO_VERSION
        overtaken = [proposal for e in later for proposal in e.overtaken]
        for proposal in (*page.proposals, *overtaken):
            may_have_succeeded = newest_version <= proposal.base_version < version
            if may_have_succeeded and proposal.digest == digest:
                return proposal
        return None

    def _compute_changes(self, page: RecordPage) -> StoredChanges:
        valid = [e for e in page.entries if e.attribution is not Attribution.REFUSED]
        earlier = [e.version for e in valid if e.version < self.observed.version]
        if not page.entries and page.number == 1:
            basis: RulesText | None = RulesText(NO_VERSION, "")
        else:
            basis_version = earlier[-1] if earlier else None
            basis = next(
                (
                    text
                    for text in self.observed.comparison_texts
                    if text.version == basis_version
                ),
                None,
            )
        return changes_between(basis, self.observed.text)


@define(frozen=True)
class ProposeVersion(PageOperation):
    """Adds a proposal, after the entry of the version that it replaces.

    Parameters
    ----------
    proposal
        Proposal to add to the page.
    stored_changes
        Change set of the proposal, with its detail objects.
    current
        Version that the proposal is based on; None if the rules object does
        not exist.
    """

    proposal: Proposal
    stored_changes: StoredChanges
    current: ObservedVersion | None

    def apply(self, draft: PageDraft) -> None:
        """Add the missing entry of the base version, then the proposal.

        The entry comes first, so that no version is replaced before the
        record has an entry of it.
        """
        if self.current is not None:
            RecordVersion(self.current).apply(draft)
        page, proposal = draft.page, self.proposal
        if any(p.proposal_id == proposal.proposal_id for p in page.proposals):
            return
        draft.stored_changes.append(self.stored_changes)
        newest = (*page.proposals, proposal)[-_MAX_PROPOSALS:]
        draft.page = replace(page, proposals=newest)


def _is_full(page: RecordPage) -> bool:
    if len(page.entries) >= _MAX_PAGE_ENTRIES:
        return True
    changes_bytes = sum(
        stored_size_bytes(entry.changes.changes) for entry in page.entries
    )
    return changes_bytes + len(page.entries) * _ENTRY_OVERHEAD_BYTES >= _MAX_PAGE_BYTES


def _remove_overtaken(entry: ChangeEntry, proposal_id: ProposalId) -> ChangeEntry:
    """Return an entry without one of its overtaken proposals.

    A proposal is removed once it is known to have become another version.
    """
    remaining = tuple(p for p in entry.overtaken if p.proposal_id != proposal_id)
    return (
        entry if remaining == entry.overtaken else replace(entry, overtaken=remaining)
    )


def _same_text_proposals(
    page: RecordPage, digest: str, chosen: Proposal
) -> tuple[Proposal, ...]:
    """Return the other proposals of the same text on the same base version."""
    return tuple(
        proposal
        for proposal in page.proposals
        if proposal.proposal_id != chosen.proposal_id
        and proposal.digest == digest
        and proposal.base_version == chosen.base_version
    )


def _undecided_proposals(
    page: RecordPage, version: RuleVersion
) -> tuple[Proposal, ...]:
    """Return the proposals that may have been in force before `version`."""
    return tuple(p for p in page.proposals if p.base_version < version)


def _compiles(text: str) -> bool:
    try:
        compile_rules(text)
    except RulesRefused:
        return False
    return True
