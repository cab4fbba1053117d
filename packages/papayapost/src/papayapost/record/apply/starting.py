"""Systems that lead an apply up to its update."""

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, AcceptedRules
from papayapost.errors import RulesRefused
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.ending import finish_apply
from papayapost.record.apply.messages import ApplyAsked, ApplyOutcome, ApplyReport
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.changeset import RulesText, changes_between, printable_changes
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
from papayapost.record.model import RECORD_KEY, Proposal, RecordPage
from papayapost.record.steps import ProposeVersion
from papayapost.rules import compile_rules, digest_of
from papayapost.storage import RequestId, UpdateObject

__all__ = ["UPDATE_REQUEST", "ProposeApply", "SendFirstUpdate", "StartApply"]

UPDATE_REQUEST = RequestId("apply-update")

_BATCH_ID = BatchReadId("apply-read")
_PROPOSE_OPERATION = OperationId("apply-propose")


class StartApply(System):
    """Refuses a text that does not compile, and reads what is current."""

    consumes = (ApplyAsked,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Take the last question."""
        for request in tick.take(ApplyAsked):
            self._applies.row = ApplyRow(request)
            try:
                compile_rules(request.text)
            except RulesRefused as refused:
                none = NO_VERSION
                report = ApplyReport(
                    ApplyOutcome.REFUSED, none, none, findings=refused.findings
                )
                finish_apply(tick, self._applies.row, report)
                continue
            keys = (RULES_KEY, RECORD_KEY, ACCEPTED_KEY)
            tick.post(BatchReadRequested(_BATCH_ID, keys))


class ProposeApply(System):
    """Compares the text with the current version and proposes it."""

    consumes = (BatchReadDone,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """End here unless there is something to change."""
        for batch in tick.take(BatchReadDone):
            row = self._applies.in_state(ApplyState.READING)
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
    """Return how the apply ends without an update, or None."""
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
        digest_of(request.text),
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
    """Return the text that the record compares with: the last valid one."""
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
    """Updates the rules object once the proposal stands in the record."""

    consumes = (OperationDone, OperationFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Update on condition of the version that the proposal is based on."""
        for done in tick.take(OperationDone):
            row = self._applies.in_state(ApplyState.PROPOSING)
            if row is not None and done.operation_id == _PROPOSE_OPERATION:
                send_update(tick, row)
        for failed in tick.take(OperationFailed):
            row = self._applies.in_state(ApplyState.PROPOSING)
            if row is not None and failed.operation_id == _PROPOSE_OPERATION:
                report = row.report(ApplyOutcome.UNAVAILABLE, reason=failed.reason)
                finish_apply(tick, row, report)


def send_update(tick: Tick, row: ApplyRow) -> None:
    """Send the conditional update, for the first time or again."""
    row.state = ApplyState.UPDATING
    row.attempts += 1
    base_version = row.base_version
    text = row.request.text
    tick.emit(UpdateObject(RULES_KEY, UPDATE_REQUEST, base_version, text))
