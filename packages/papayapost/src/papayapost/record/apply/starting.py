"""Systems that lead an apply up to its update."""

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, AcceptedRules
from papayapost.errors import RulesRefused
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.ending import finish
from papayapost.record.apply.messages import ApplyAsked, ApplyOutcome, ApplyReport
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.changeset import RulesText, changes_between, printable_changes
from papayapost.record.gather import GatherAsked, Gathered, GatheredObject, GatherId
from papayapost.record.messages import StepDone, StepFailed, StepId, StepWanted
from papayapost.record.model import RECORD_KEY, Proposal, RecordPage
from papayapost.record.steps import ProposeVersion
from papayapost.rules import compile_rules, digest_of
from papayapost.storage import RequestId, UpdateObject

__all__ = ["UPDATE_REQUEST", "BeginUpdate", "ProposeApply", "StartApply"]

UPDATE_REQUEST = RequestId("apply-update")

_GATHER = GatherId("apply-read")
_STEP = StepId("apply-propose")


class StartApply(System):
    """Refuses a text that does not compile, and reads what is current."""

    consumes = (ApplyAsked,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Take the last question."""
        for asked in tick.take(ApplyAsked):
            self._applies.row = ApplyRow(asked)
            try:
                compile_rules(asked.text)
            except RulesRefused as refused:
                none = NO_VERSION
                report = ApplyReport(
                    ApplyOutcome.REFUSED, none, none, findings=refused.findings
                )
                finish(tick, self._applies.row, report)
                continue
            keys = (RULES_KEY, RECORD_KEY, ACCEPTED_KEY)
            tick.post(GatherAsked(_GATHER, keys))


class ProposeApply(System):
    """Compares the text with the current version and proposes it."""

    consumes = (Gathered,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """End here unless there is something to change."""
        for gathered in tick.take(Gathered):
            row = self._applies.in_state(ApplyState.READING)
            if row is not None and gathered.gather_id == _GATHER:
                self._decide(tick, row, *gathered.objects)

    def _decide(
        self,
        tick: Tick,
        row: ApplyRow,
        rules: GatheredObject,
        record: GatheredObject,
        accepted: GatheredObject,
    ) -> None:
        failure = rules.failure or record.failure
        if failure:
            finish(tick, row, row.report(ApplyOutcome.UNAVAILABLE, reason=failure))
            return
        if isinstance(rules.value, str):
            row.base = RulesText(RuleVersion(rules.version), rules.value)
        row.version = row.base_version
        base_text = row.base.text if row.base else ""
        row.changes = printable_changes(base_text, row.asked.text)
        page = record.value if isinstance(record.value, RecordPage) else RecordPage()
        early = _early_outcome(row)
        if early is None:
            _propose(tick, row, _basis_of(row, accepted.value))
            return
        if early is ApplyOutcome.OVERTAKEN:
            row.rival = row.base
        earlier = page.entry_of(row.base_version)
        is_recorded = earlier is not None
        finish(tick, row, row.report(early, earlier, is_recorded=is_recorded))


def _early_outcome(row: ApplyRow) -> ApplyOutcome | None:
    """Return how the apply ends without an update, or None."""
    wanted = row.asked.base_version
    if row.base is not None and row.base.text == row.asked.text:
        return ApplyOutcome.UNCHANGED
    if wanted is not None and wanted != row.base_version:
        return ApplyOutcome.OVERTAKEN
    return ApplyOutcome.PREVIEWED if row.asked.is_preview else None


def _propose(tick: Tick, row: ApplyRow, basis: RulesText | None) -> None:
    asked = row.asked
    sized = changes_between(basis, asked.text)
    row.proposal = Proposal(
        asked.proposal_id,
        asked.operator,
        asked.message,
        row.base_version,
        digest_of(asked.text),
        asked.asked_at_us,
        sized.changes,
    )
    row.state = ApplyState.PROPOSING
    current = row.seen(row.base) if row.base is not None else None
    tick.post(StepWanted(_STEP, ProposeVersion(row.proposal, sized, current)))


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


class BeginUpdate(System):
    """Updates the rules object once the proposal stands in the record."""

    consumes = (StepDone, StepFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Update on condition of the version that the proposal is based on."""
        for done in tick.take(StepDone):
            row = self._applies.in_state(ApplyState.PROPOSING)
            if row is not None and done.step_id == _STEP:
                send_update(tick, row)
        for failed in tick.take(StepFailed):
            row = self._applies.in_state(ApplyState.PROPOSING)
            if row is not None and failed.step_id == _STEP:
                report = row.report(ApplyOutcome.UNAVAILABLE, reason=failed.reason)
                finish(tick, row, report)


def send_update(tick: Tick, row: ApplyRow) -> None:
    """Send the conditional update, for the first time or again."""
    row.state = ApplyState.UPDATING
    row.attempts += 1
    base_version = row.base_version
    text = row.asked.text
    tick.emit(UpdateObject(RULES_KEY, UPDATE_REQUEST, base_version, text))
