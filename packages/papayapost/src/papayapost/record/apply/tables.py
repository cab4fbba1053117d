"""Table of the apply in progress, with its row and states."""

from enum import Enum

from papayapost.define import define
from papayapost.ids import NO_VERSION, Micros, RuleVersion
from papayapost.record.apply.messages import ApplyOutcome, ApplyReport, ApplyRequested
from papayapost.record.changeset import RulesText, printable_changes
from papayapost.record.model import ChangeEntry, Proposal
from papayapost.record.page_operations import ObservedVersion
from papayapost.rules import RuleChange

__all__ = ["ApplyRow", "ApplyState", "ApplyTable"]


class ApplyState(Enum):
    """States of an apply, by the result that it waits for.

    Attributes
    ----------
    READING
        Waits for the store objects that are read at the start.
    PROPOSING
        Waits until the change record holds the proposal.
    UPDATING
        Waits for the store's answer to the update of the rules object.
    RESOLVING
        Waits for the rules object, which is read back since the update
        conflicted or was not answered.
    RECORDING
        Waits until the change record holds the entry of the version.
    COMPARING
        Waits for the newest record page, to compare the text with another
        version that is current.
    FINISHED
        The apply has ended and its report has been emitted.
    """

    READING = "reading"
    PROPOSING = "proposing"
    UPDATING = "updating"
    RESOLVING = "resolving"
    RECORDING = "recording"
    COMPARING = "comparing"
    FINISHED = "finished"


@define
class ApplyRow:
    """Progress of one apply.

    Parameters
    ----------
    request
        Input that started the apply.
    state
        State of the apply.
    base
        Version that the update replaces; None if the rules object did not
        exist when it was read.
    changes
        Rules that differ between the base and the text.
    proposal
        Proposal that the record holds before the update is sent; None until
        it is made.
    attempts
        Number of updates of the rules object that were sent.
    unanswered_updates
        Number of sent updates that the store did not answer.
    version
        Version to report: the version of the text once it is known, else the
        current version; 0 if neither is known.
    competing
        Version that was found in the store in place of the text; None if
        there was none.
    """

    request: ApplyRequested
    state: ApplyState = ApplyState.READING
    base: RulesText | None = None
    changes: tuple[RuleChange, ...] = ()
    proposal: Proposal | None = None
    attempts: int = 0
    unanswered_updates: int = 0
    version: RuleVersion = NO_VERSION
    competing: RulesText | None = None

    @property
    def base_version(self) -> RuleVersion:
        """Version that the update replaces; 0 if there was no rules object."""
        return self.base.version if self.base else NO_VERSION

    def observed_version(self, rules: RulesText) -> ObservedVersion:
        """Return a version as this apply observed it in the store.

        Parameters
        ----------
        rules
            Version and text of the rules to describe.
        """
        comparison_texts = (self.base,) if self.base is not None else ()
        operator, now_us = self.request.operator, self.request.requested_at_us
        return ObservedVersion(
            rules.version, rules.text, Micros(now_us), operator, comparison_texts
        )

    def report(
        self,
        outcome: ApplyOutcome,
        earlier: ChangeEntry | None = None,
        reason: str = "",
        is_recorded: bool = False,
    ) -> ApplyReport:
        """Return the report of the apply, filled in from the row.

        Parameters
        ----------
        outcome
            How the apply ended.
        earlier
            Record entry of the version that is current in place of the text.
        reason
            Explanation of the outcome for the operator.
        is_recorded
            Whether the record has an entry of the reported version.
        """
        competing = self.competing
        differing = (
            printable_changes(competing.text, self.request.text) if competing else ()
        )
        version = competing.version if competing else self.version
        return ApplyReport(
            outcome,
            version=self.version or version,
            base_version=self.base_version,
            changes=self.changes,
            is_recorded=is_recorded,
            earlier=earlier,
            differing=differing,
            reason=reason,
        )


class ApplyTable:
    """The apply in progress, if there is one."""

    def __init__(self):
        self.row: ApplyRow | None = None

    def row_in_state(self, state: ApplyState) -> ApplyRow | None:
        """Return the row if it is in `state`, else None."""
        row = self.row
        return row if row is not None and row.state is state else None
