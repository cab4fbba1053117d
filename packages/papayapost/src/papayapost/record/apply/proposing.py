"""Systems that run an apply up to its first update of the rules object."""

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, AcceptedRules
from papayapost.errors import RulesRefused
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.finishing import finish_apply
from papayapost.record.apply.messages import ApplyOutcome, ApplyReport, ApplyRequested
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.batch_read import (
    BatchReadDone,
    BatchReadId,
    BatchReadRequested,
    FetchedObject,
)
from papayapost.record.changeset import RulesText, changes_between, printable_changes
from papayapost.record.messages import (
    OperationDone,
    OperationFailed,
    OperationId,
    OperationRequested,
)
from papayapost.record.model import RECORD_KEY, Proposal, RecordPage
from papayapost.record.page_operations import ProposeVersion
from papayapost.rules import compile_rules, rules_digest
from papayapost.storage import StoreRequestId, UpdateObject

__all__ = ["UPDATE_REQUEST", "ProposeApply", "SendFirstUpdate", "StartApply"]

UPDATE_REQUEST = StoreRequestId("apply-update")

_BATCH_ID = BatchReadId("apply-read")
_PROPOSE_OPERATION = OperationId("apply-propose")


class StartApply(System):
    """Refuses a text that does not compile, else reads the current rules."""

    consumes = (ApplyRequested,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Start an apply, which replaces an earlier apply in the table.

        The rules object, the newest record page and the accepted rules are
        read from the store.
        """
        for request in tick.take(ApplyRequested):
            self._applies.row = ApplyRow(request)
            try:
                compile_rules(request.text)
            except RulesRefused as refused:
                no_version = NO_VERSION
                report = ApplyReport(
                    ApplyOutcome.REFUSED,
                    no_version,
                    no_version,
                    findings=refused.findings,
                )
                finish_apply(tick, self._applies.row, report)
                continue
            keys = (RULES_KEY, RECORD_KEY, ACCEPTED_KEY)
            tick.post(BatchReadRequested(_BATCH_ID, keys))


class ProposeApply(System):
    """Compares the text with the current version and writes a proposal."""

    consumes = (BatchReadDone,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Propose the text, or finish the apply if no update is needed.

        The apply is also finished if the rules or the record could not be
        read.
        """
        for batch in tick.take(BatchReadDone):
            row = self._applies.row_in_state(ApplyState.READING)
            if row is not None and batch.batch_id == _BATCH_ID:
                self._decide(tick, row, *batch.objects)

    def _decide(
        self,
        tick: Tick,
        row: ApplyRow,
        rules: FetchedObject,
        record: FetchedObject,
        accepted: FetchedObject,
    ) -> None:
        failure = rules.failure or record.failure
        if failure:
            finish_apply(
                tick, row, row.report(ApplyOutcome.UNAVAILABLE, reason=failure)
            )
            return
        if isinstance(rules.value, str):
            row.base = RulesText(RuleVersion(rules.version), rules.value)
        row.version = row.base_version
        base_text = row.base.text if row.base else ""
        row.changes = printable_changes(base_text, row.request.text)
        page = record.value if isinstance(record.value, RecordPage) else RecordPage()
        outcome = _outcome_without_update(row)
        if outcome is None:
            _propose(tick, row, _basis_of(row, accepted.value))
            return
        if outcome is ApplyOutcome.OVERTAKEN:
            row.competing = row.base
        earlier = page.entry_of(row.base_version)
        is_recorded = earlier is not None
        finish_apply(tick, row, row.report(outcome, earlier, is_recorded=is_recorded))


def _outcome_without_update(row: ApplyRow) -> ApplyOutcome | None:
    """Return the outcome if no update is to be sent, else None."""
    expected = row.request.base_version
    if row.base is not None and row.base.text == row.request.text:
        return ApplyOutcome.UNCHANGED
    if expected is not None and expected != row.base_version:
        return ApplyOutcome.OVERTAKEN
    return ApplyOutcome.PREVIEWED if row.request.is_preview else None


def _propose(tick: Tick, row: ApplyRow, basis: RulesText | None) -> None:
    request = row.request
    stored_changes = changes_between(basis, request.text)
    row.proposal = Proposal(
        request.proposal_id,
        request.operator,
        request.message,
        row.base_version,
        rules_digest(request.text),
        request.requested_at_us,
        stored_changes.changes,
    )
    row.state = ApplyState.PROPOSING
    current = row.observed_version(row.base) if row.base is not None else None
    tick.post(
        OperationRequested(
            _PROPOSE_OPERATION, ProposeVersion(row.proposal, stored_changes, current)
        )
    )


def _basis_of(row: ApplyRow, accepted: object) -> RulesText | None:
    """Return the last valid text, with which the record compares the new one.

    This is the base if it compiles, else the accepted text. The result is
    None if the base does not compile and no text has been accepted.
    """
    if row.base is None:
        return RulesText(NO_VERSION, "")
    try:
        compile_rules(row.base.text)
    except RulesRefused:
        if isinstance(accepted, AcceptedRules):
            return RulesText(accepted.version, accepted.text)
        return None
    return row.base


class SendFirstUpdate(System):
    """Updates the rules object once the record holds the proposal."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Send the conditional update, or finish the apply without it.

        The apply ends if its proposal could not be written: after a crash, a
        link relay needs the proposal to tell who wrote the version.
        """
        for done in tick.take(OperationDone):
            row = self._applies.row_in_state(ApplyState.PROPOSING)
            if row is not None and done.operation_id == _PROPOSE_OPERATION:
                send_update(tick, row)
        for failed in tick.take(OperationFailed):
            row = self._applies.row_in_state(ApplyState.PROPOSING)
            if row is not None and failed.operation_id == _PROPOSE_OPERATION:
                report = row.report(ApplyOutcome.UNAVAILABLE, reason=failed.reason)
                finish_apply(tick, row, report)


def send_update(tick: Tick, row: ApplyRow) -> None:
    """Send the update that replaces the base version with the text.

    The same update is sent again if the rules object, read back after an
    update without success, still has the base version.
    """
    row.state = ApplyState.UPDATING
    row.attempts += 1
    base_version = row.base_version
    text = row.request.text
    tick.emit(UpdateObject(RULES_KEY, UPDATE_REQUEST, base_version, text))
