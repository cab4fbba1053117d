"""The row of an apply under way."""

from dataclasses import dataclass
from enum import Enum

from papayapost.ids import NO_VERSION, Micros, RuleVersion
from papayapost.record.apply.messages import ApplyAsked, ApplyOutcome, ApplyReport
from papayapost.record.changeset import RulesText, printable_changes
from papayapost.record.model import ChangeEntry, Proposal
from papayapost.record.steps import ObservedVersion
from papayapost.rules import RuleChange

__all__ = ["ApplyRow", "ApplyState", "ApplyTable"]


class ApplyState(Enum):
    """Where an apply stands."""

    READING = "reading"
    PROPOSING = "proposing"
    UPDATING = "updating"
    RESOLVING = "resolving"
    RECORDING = "recording"
    COMPARING = "comparing"
    FINISHED = "finished"


@dataclass(slots=True)
class ApplyRow:
    """One apply.

    Parameters
    ----------
    base
        The version to be replaced, None where there is none.
    proposal
        What stands in the record before the update; None until then.
    attempts
        Updates of the rules object that were sent.
    unknowns
        Those of them without a reply.
    rival
        Another version that is current instead.
    """

    request: ApplyAsked
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
        """The version to be replaced, 0 where there is none."""
        return self.base.version if self.base else NO_VERSION

    def observed_version(self, rules: RulesText) -> ObservedVersion:
        """Return a version as this operator sees it now."""
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
        """Return the report with what the row knows."""
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
    """The apply under way, if there is one."""

    def __init__(self):
        self.row: ApplyRow | None = None

    def in_state(self, state: ApplyState) -> ApplyRow | None:
        """Return the row if it is in that state."""
        row = self.row
        return row if row is not None and row.state is state else None
