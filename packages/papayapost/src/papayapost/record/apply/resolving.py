"""Systems that find out what became of an update and record it.

An update without a reply may have taken effect, may yet, or never will. The
object is read back: if it still has the base version, the same update is sent
again, which is harmless because at most one update of a base succeeds.
"""

from papayapost.distribution import RULES_KEY
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.ending import finish_apply
from papayapost.record.apply.messages import ApplyOutcome
from papayapost.record.apply.starting import UPDATE_REQUEST, send_update
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.changeset import RulesText
from papayapost.record.gather import (
    BatchReadDone,
    BatchReadId,
    BatchReadRequested,
    FetchedObject,
)
from papayapost.record.messages import (
    OperationDone,
    OperationFailed,
    OperationId,
    OperationRequested,
)
from papayapost.record.model import Attribution, ChangeEntry, RecordPage
from papayapost.record.steps import RecordVersion
from papayapost.storage import ObjectUpdated, UpdateConflicted, UpdateUnknown

__all__ = [
    "CheckUpdateOutcome",
    "FinishRecordedApply",
    "FinishSupersededApply",
    "HandleUpdateResult",
]

_BATCH_ID = BatchReadId("apply-resolve")
_RECORD_OPERATION = OperationId("apply-record")
_COMPARE_OPERATION = OperationId("apply-rival")
_MAX_ATTEMPTS = 3


class HandleUpdateResult(System):
    """Takes the store's answer to the update."""

    consumes = (ObjectUpdated, UpdateConflicted, UpdateUnknown)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Record what was accepted; read back what was not."""
        row = self._applies.in_state(ApplyState.UPDATING)
        if row is None:
            return
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == UPDATE_REQUEST:
                _record(tick, row, RuleVersion(updated.version))
        for conflicted in tick.take(UpdateConflicted):
            if conflicted.request_id == UPDATE_REQUEST:
                _read_back(tick, row)
        for unknown in tick.take(UpdateUnknown):
            if unknown.request_id == UPDATE_REQUEST:
                row.unanswered_updates += 1
                _read_back(tick, row)


class CheckUpdateOutcome(System):
    """Decides by what the store holds now."""

    consumes = (BatchReadDone,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Accept, send again, or look at the version that came first."""
        for batch in tick.take(BatchReadDone):
            row = self._applies.in_state(ApplyState.RESOLVING)
            if row is not None and batch.batch_id == _BATCH_ID:
                self._decide(tick, row, batch.objects[0])

    def _decide(self, tick: Tick, row: ApplyRow, fetched: FetchedObject) -> None:
        version = RuleVersion(fetched.version)
        if fetched.failure:
            _finish_undetermined(tick, row, fetched.failure)
        elif version <= row.base_version or not isinstance(fetched.value, str):
            self._update_again(tick, row)
        elif fetched.value == row.request.text and row.unanswered_updates:
            _record(tick, row, version)
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
            reason = f"no reply to {row.attempts} updates of version {row.base_version}"
            _finish_undetermined(tick, row, reason)


class FinishRecordedApply(System):
    """Ends an apply whose version is in the store."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Report the version, whether its entry could be written or not."""
        for done in tick.take(OperationDone):
            row = self._applies.in_state(ApplyState.RECORDING)
            if row is not None and done.operation_id == _RECORD_OPERATION:
                self._finish_recorded(tick, row, done.page)
        for failed in tick.take(OperationFailed):
            row = self._applies.in_state(ApplyState.RECORDING)
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
    """Ends an apply that found another version in place of its own."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Say who came first, or that the own version was replaced since."""
        for done in tick.take(OperationDone):
            row = self._applies.in_state(ApplyState.COMPARING)
            if row is not None and done.operation_id == _COMPARE_OPERATION:
                self._finish_compared(tick, row, done.page)
        for failed in tick.take(OperationFailed):
            row = self._applies.in_state(ApplyState.COMPARING)
            if row is not None and failed.operation_id == _COMPARE_OPERATION:
                _finish_undetermined(tick, row, failed.reason)

    def _finish_compared(self, tick: Tick, row: ApplyRow, page: RecordPage) -> None:
        assert row.competing is not None
        own = page.entry_of_proposal(row.request.proposal_id)
        entry = page.entry_of(row.competing.version)
        if own is not None:
            row.version = own.version
            reason = f"version {row.competing.version} has replaced it since"
            report = row.report(ApplyOutcome.ACCEPTED, entry, reason, is_recorded=True)
        elif row.competing.text == row.request.text:
            row.version = row.competing.version
            report = row.report(ApplyOutcome.UNCHANGED, entry, is_recorded=True)
        elif not row.unanswered_updates or _replaced_same_base(entry, row):
            row.version = row.competing.version
            report = row.report(ApplyOutcome.OVERTAKEN, entry)
        else:
            reason = "the store's reply was lost and another version followed"
            report = row.report(ApplyOutcome.UNKNOWN, entry, reason)
        finish_apply(tick, row, report)


def _replaced_same_base(entry: ChangeEntry | None, row: ApplyRow) -> bool:
    """Return whether a version is known to have replaced the row's base.

    Of a version that was edited in the store the base is not known.
    """
    if entry is None or entry.attribution is not Attribution.APPLIED:
        return False
    return entry.base_version == row.base_version


def _read_back(tick: Tick, row: ApplyRow) -> None:
    row.state = ApplyState.RESOLVING
    tick.post(BatchReadRequested(_BATCH_ID, (RULES_KEY,)))


def _record(tick: Tick, row: ApplyRow, version: RuleVersion) -> None:
    row.state = ApplyState.RECORDING
    row.version = version
    observed = row.observed_version(RulesText(version, row.request.text))
    operation = RecordVersion(observed, known_proposal=row.proposal)
    tick.post(OperationRequested(_RECORD_OPERATION, operation))


def _finish_undetermined(tick: Tick, row: ApplyRow, reason: str) -> None:
    """End an apply of which it is not known whose version is current."""
    outcome = ApplyOutcome.UNKNOWN if row.unanswered_updates else ApplyOutcome.OVERTAKEN
    finish_apply(tick, row, row.report(outcome, reason=reason))
