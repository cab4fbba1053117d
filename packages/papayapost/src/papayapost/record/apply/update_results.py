"""Systems that find out whether an update took effect, and end the apply.

If the store does not answer an update, the update may have taken effect, may
still do so, or may be lost. The rules object is therefore read back. If it
still has the base version, the same update is sent again; that cannot write
the text twice, since at most one conditional update of a base version
succeeds.
"""

from papayapost.distribution import RULES_KEY
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.finishing import finish_apply
from papayapost.record.apply.messages import ApplyOutcome
from papayapost.record.apply.proposing import UPDATE_REQUEST, send_update
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.batch_read import (
    BatchReadDone,
    BatchReadId,
    BatchReadRequested,
    FetchedObject,
)
from papayapost.record.changeset import RulesText
from papayapost.record.messages import (
    OperationDone,
    OperationFailed,
    OperationId,
    OperationRequested,
)
from papayapost.record.model import Attribution, ChangeEntry, RecordPage
from papayapost.record.page_operations import RecordVersion
from papayapost.storage import ObjectUpdated, UpdateConflicted, UpdateOutcomeUnknown

__all__ = [
    "CheckUpdateOutcome",
    "FinishRecordedApply",
    "FinishSupersededApply",
    "HandleUpdateResult",
]

_BATCH_ID = BatchReadId("apply-resolve")
_RECORD_OPERATION = OperationId("apply-record")
_COMPARE_OPERATION = OperationId("apply-compare")
_MAX_ATTEMPTS = 3


class HandleUpdateResult(System):
    """Handles the store's answer to the update of the rules object."""

    consumes = (ObjectUpdated, UpdateConflicted, UpdateOutcomeUnknown)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Record a successful update; else read the rules object back."""
        row = self._applies.row_in_state(ApplyState.UPDATING)
        if row is None:
            return
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == UPDATE_REQUEST:
                _record_version(tick, row, RuleVersion(updated.version))
        for conflicted in tick.take(UpdateConflicted):
            if conflicted.request_id == UPDATE_REQUEST:
                _read_back(tick, row)
        for unknown in tick.take(UpdateOutcomeUnknown):
            if unknown.request_id == UPDATE_REQUEST:
                row.unanswered_updates += 1
                _read_back(tick, row)


class CheckUpdateOutcome(System):
    """Decides how an apply continues, from the rules object as read back."""

    consumes = (BatchReadDone,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Record the version, send the update again, or compare versions.

        The version is recorded if the store has the text of this apply after
        an unanswered update; the update is sent again if the store still has
        the base version; any other version is compared with the text.
        """
        for batch in tick.take(BatchReadDone):
            row = self._applies.row_in_state(ApplyState.RESOLVING)
            if row is not None and batch.batch_id == _BATCH_ID:
                self._decide(tick, row, batch.objects[0])

    def _decide(self, tick: Tick, row: ApplyRow, fetched: FetchedObject) -> None:
        version = RuleVersion(fetched.version)
        if fetched.failure:
            _finish_undetermined(tick, row, fetched.failure)
        elif version <= row.base_version or not isinstance(fetched.value, str):
            self._update_again(tick, row)
        elif fetched.value == row.request.text and row.unanswered_updates:
            _record_version(tick, row, version)
        else:
            row.competing = RulesText(version, fetched.value)
            row.state = ApplyState.COMPARING
            lost = None if row.unanswered_updates else row.request.proposal_id
            operation = RecordVersion(row.observed_version(row.competing), lost=lost)
            tick.post(OperationRequested(_COMPARE_OPERATION, operation))

    def _update_again(self, tick: Tick, row: ApplyRow) -> None:
        if row.attempts < _MAX_ATTEMPTS:
            send_update(tick, row)
        else:
            reason = (
                f"{row.attempts} updates of version {row.base_version} showed no effect"
            )
            _finish_undetermined(tick, row, reason)


class FinishRecordedApply(System):
    """Ends an apply once the entry of its version has been written."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Report the version as accepted.

        A failure to write the record entry does not change the outcome: the
        version is in the store, and a link relay adds its entry.
        """
        for done in tick.take(OperationDone):
            row = self._applies.row_in_state(ApplyState.RECORDING)
            if row is not None and done.operation_id == _RECORD_OPERATION:
                self._finish_recorded(tick, row, done.page)
        for failed in tick.take(OperationFailed):
            row = self._applies.row_in_state(ApplyState.RECORDING)
            if row is not None and failed.operation_id == _RECORD_OPERATION:
                report = row.report(ApplyOutcome.ACCEPTED, reason=failed.reason)
                finish_apply(tick, row, report)

    def _finish_recorded(self, tick: Tick, row: ApplyRow, page: RecordPage) -> None:
        entry = page.entry_of(row.version)
        is_own = entry is None or entry.proposal_id == row.request.proposal_id
        outcome = ApplyOutcome.ACCEPTED if is_own else ApplyOutcome.UNCHANGED
        earlier = None if is_own else entry
        is_recorded = entry is not None
        finish_apply(tick, row, row.report(outcome, earlier, is_recorded=is_recorded))


class FinishSupersededApply(System):
    """Ends an apply after it found another version in the store."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Report the outcome that the record and the competing version show.

        If the record has an entry of this apply's proposal, the text was
        current for a while before the competing version replaced it.
        """
        for done in tick.take(OperationDone):
            row = self._applies.row_in_state(ApplyState.COMPARING)
            if row is not None and done.operation_id == _COMPARE_OPERATION:
                self._finish_compared(tick, row, done.page)
        for failed in tick.take(OperationFailed):
            row = self._applies.row_in_state(ApplyState.COMPARING)
            if row is not None and failed.operation_id == _COMPARE_OPERATION:
                _finish_undetermined(tick, row, failed.reason)

    def _finish_compared(self, tick: Tick, row: ApplyRow, page: RecordPage) -> None:
        assert row.competing is not None
        own = page.entry_of_proposal(row.request.proposal_id)
        entry = page.entry_of(row.competing.version)
        if own is not None:
            row.version = own.version
            reason = f"version {row.competing.version} replaced it afterwards"
            report = row.report(ApplyOutcome.ACCEPTED, entry, reason, is_recorded=True)
        elif row.competing.text == row.request.text:
            row.version = row.competing.version
            report = row.report(ApplyOutcome.UNCHANGED, entry, is_recorded=True)
        elif not row.unanswered_updates or _replaced_same_base(entry, row):
            row.version = row.competing.version
            report = row.report(ApplyOutcome.OVERTAKEN, entry)
        else:
            reason = (
                "the store did not answer an update, and another version is current"
            )
            report = row.report(ApplyOutcome.UNKNOWN, entry, reason)
        finish_apply(tick, row, report)


def _replaced_same_base(entry: ChangeEntry | None, row: ApplyRow) -> bool:
    """Return whether a version is known to have replaced the apply's base.

    The base is known only for a version that was applied; a version that was
    edited directly in the store has no known base.
    """
    if entry is None or entry.attribution is not Attribution.APPLIED:
        return False
    return entry.base_version == row.base_version


def _read_back(tick: Tick, row: ApplyRow) -> None:
    row.state = ApplyState.RESOLVING
    tick.post(BatchReadRequested(_BATCH_ID, (RULES_KEY,)))


def _record_version(tick: Tick, row: ApplyRow, version: RuleVersion) -> None:
    row.state = ApplyState.RECORDING
    row.version = version
    observed = row.observed_version(RulesText(version, row.request.text))
    operation = RecordVersion(observed, known_proposal=row.proposal)
    tick.post(OperationRequested(_RECORD_OPERATION, operation))


def _finish_undetermined(tick: Tick, row: ApplyRow, reason: str) -> None:
    """Finish an apply for which the store did not show what became of it.

    The outcome is UNKNOWN if the store left an update unanswered, and
    OVERTAKEN if it answered each update with a conflict.
    """
    outcome = ApplyOutcome.UNKNOWN if row.unanswered_updates else ApplyOutcome.OVERTAKEN
    finish_apply(tick, row, row.report(outcome, reason=reason))
