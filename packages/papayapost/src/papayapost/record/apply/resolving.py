"""Systems that find out what became of an update and record it.

An update without a reply may have taken effect, may yet, or never will. The
object is read back: if it still has the base version, the same update is sent
again, which is harmless because at most one update of a base succeeds.
"""

from papayapost.distribution import RULES_KEY
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.record.apply.ending import finish
from papayapost.record.apply.messages import ApplyOutcome
from papayapost.record.apply.starting import UPDATE_REQUEST, send_update
from papayapost.record.apply.tables import ApplyRow, ApplyState, ApplyTable
from papayapost.record.changeset import RulesText
from papayapost.record.gather import GatherAsked, Gathered, GatheredObject, GatherId
from papayapost.record.messages import StepDone, StepFailed, StepId, StepWanted
from papayapost.record.model import Attribution, ChangeEntry, RecordPage
from papayapost.record.steps import RecordVersion
from papayapost.storage import ObjectUpdated, UpdateConflicted, UpdateUnknown

__all__ = ["CompareRival", "FollowUpdate", "RecordApply", "ResolveUpdate"]

_GATHER = GatherId("apply-resolve")
_RECORD_STEP = StepId("apply-record")
_RIVAL_STEP = StepId("apply-rival")
_MAX_ATTEMPTS = 3


class FollowUpdate(System):
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
                _resolve(tick, row)
        for unknown in tick.take(UpdateUnknown):
            if unknown.request_id == UPDATE_REQUEST:
                row.unknowns += 1
                _resolve(tick, row)


class ResolveUpdate(System):
    """Decides by what the store holds now."""

    consumes = (Gathered,)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Accept, send again, or look at the version that came first."""
        for gathered in tick.take(Gathered):
            row = self._applies.in_state(ApplyState.RESOLVING)
            if row is not None and gathered.gather_id == _GATHER:
                self._decide(tick, row, gathered.objects[0])

    def _decide(self, tick: Tick, row: ApplyRow, found: GatheredObject) -> None:
        version = RuleVersion(found.version)
        if found.failure:
            _end_without_rival(tick, row, found.failure)
        elif version <= row.base_version or not isinstance(found.value, str):
            self._still_base(tick, row)
        elif found.value == row.asked.text and row.unknowns:
            _record(tick, row, version)
        else:
            row.rival = RulesText(version, found.value)
            row.state = ApplyState.COMPARING
            lost = None if row.unknowns else row.asked.proposal_id
            step = RecordVersion(row.seen(row.rival), lost=lost)
            tick.post(StepWanted(_RIVAL_STEP, step))

    def _still_base(self, tick: Tick, row: ApplyRow) -> None:
        if row.attempts < _MAX_ATTEMPTS:
            send_update(tick, row)
        else:
            reason = f"no reply to {row.attempts} updates of version {row.base_version}"
            _end_without_rival(tick, row, reason)


class RecordApply(System):
    """Ends an apply whose version is in the store."""

    consumes = (StepDone, StepFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Report the version, whether its entry could be written or not."""
        for done in tick.take(StepDone):
            row = self._applies.in_state(ApplyState.RECORDING)
            if row is not None and done.step_id == _RECORD_STEP:
                self._recorded(tick, row, done.page)
        for failed in tick.take(StepFailed):
            row = self._applies.in_state(ApplyState.RECORDING)
            if row is not None and failed.step_id == _RECORD_STEP:
                report = row.report(ApplyOutcome.ACCEPTED, reason=failed.reason)
                finish(tick, row, report)

    def _recorded(self, tick: Tick, row: ApplyRow, page: RecordPage) -> None:
        entry = page.entry_of(row.version)
        is_own = entry is None or entry.proposal_id == row.asked.proposal_id
        outcome = ApplyOutcome.ACCEPTED if is_own else ApplyOutcome.UNCHANGED
        earlier = None if is_own else entry
        is_recorded = entry is not None
        finish(tick, row, row.report(outcome, earlier, is_recorded=is_recorded))


class CompareRival(System):
    """Ends an apply that found another version in place of its own."""

    consumes = (StepDone, StepFailed)

    def __init__(self, applies: ApplyTable):
        self._applies = applies

    def run(self, tick: Tick) -> None:
        """Say who came first, or that the own version was replaced since."""
        for done in tick.take(StepDone):
            row = self._applies.in_state(ApplyState.COMPARING)
            if row is not None and done.step_id == _RIVAL_STEP:
                self._compare(tick, row, done.page)
        for failed in tick.take(StepFailed):
            row = self._applies.in_state(ApplyState.COMPARING)
            if row is not None and failed.step_id == _RIVAL_STEP:
                _end_without_rival(tick, row, failed.reason)

    def _compare(self, tick: Tick, row: ApplyRow, page: RecordPage) -> None:
        assert row.rival is not None
        own = page.entry_from(row.asked.proposal_id)
        entry = page.entry_of(row.rival.version)
        if own is not None:
            row.version = own.version
            reason = f"version {row.rival.version} has replaced it since"
            report = row.report(ApplyOutcome.ACCEPTED, entry, reason, is_recorded=True)
        elif row.rival.text == row.asked.text:
            row.version = row.rival.version
            report = row.report(ApplyOutcome.UNCHANGED, entry, is_recorded=True)
        elif not row.unknowns or _has_same_base(entry, row):
            row.version = row.rival.version
            report = row.report(ApplyOutcome.OVERTAKEN, entry)
        else:
            reason = "the store's reply was lost and another version followed"
            report = row.report(ApplyOutcome.UNKNOWN, entry, reason)
        finish(tick, row, report)


def _has_same_base(entry: ChangeEntry | None, row: ApplyRow) -> bool:
    """Return whether a version is known to have replaced the row's base.

    Of a version that was edited in the store the base is not known.
    """
    if entry is None or entry.attribution is not Attribution.APPLIED:
        return False
    return entry.base_version == row.base_version


def _resolve(tick: Tick, row: ApplyRow) -> None:
    row.state = ApplyState.RESOLVING
    tick.post(GatherAsked(_GATHER, (RULES_KEY,)))


def _record(tick: Tick, row: ApplyRow, version: RuleVersion) -> None:
    row.state = ApplyState.RECORDING
    row.version = version
    seen = row.seen(RulesText(version, row.asked.text))
    step = RecordVersion(seen, claimed=row.proposal)
    tick.post(StepWanted(_RECORD_STEP, step))


def _end_without_rival(tick: Tick, row: ApplyRow, reason: str) -> None:
    """End an apply of which it is not known whose version is current."""
    outcome = ApplyOutcome.UNKNOWN if row.unknowns else ApplyOutcome.OVERTAKEN
    finish(tick, row, row.report(outcome, reason=reason))
