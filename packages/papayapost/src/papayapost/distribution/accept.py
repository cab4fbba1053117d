"""The system that accepts compiled rules versions and stages them."""

from papayapost.distribution.line_edits import LineEdit
from papayapost.distribution.messages import (
    AcceptedRules,
    ObjectReconciled,
    ReconcileObject,
    RulesCompiled,
    RulesStaged,
    StoreBehind,
    TextOffered,
)
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.source import ACCEPTED_KEY
from papayapost.kernel import System, Tick
from papayapost.membership import RoleChanged, TreeTables
from papayapost.observe import Event, Noted

__all__ = ["AcceptRules"]


class AcceptRules(System):
    """Stages a compiled version once the store records it as accepted.

    A version read from the rules object of the store is first written to the
    accepted object by a conditional update. This guarantees that every later
    link relay can read back any version that some node holds, even if all
    nodes are replaced and the newest rules text does not compile. A stale
    store replica is detected because the conditional update is refused. A
    version that another node passed on is already recorded.
    """

    consumes = (RulesCompiled, ObjectReconciled, RoleChanged)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Request the update of the accepted object, or stage the version."""
        if tick.take(RoleChanged) and not self._tree.watches_store:
            self._rules.candidate = None
        for compiled in tick.take(RulesCompiled):
            if compiled.is_recorded:
                self._stage(tick, compiled.row, compiled.edits)
            elif self._tree.watches_store:
                self._write_accepted(tick, compiled.row)
        for reconciled in tick.take(ObjectReconciled):
            if isinstance(reconciled.value, AcceptedRules):
                self._resolve_candidate(tick, reconciled.value)

    def _write_accepted(self, tick: Tick, row: VersionRow) -> None:
        self._rules.candidate = row
        accepted = AcceptedRules(row.version, row.rules.text)
        tick.post(ReconcileObject(ACCEPTED_KEY, accepted))

    def _resolve_candidate(self, tick: Tick, accepted: AcceptedRules) -> None:
        candidate = self._rules.candidate
        if candidate is None or accepted.version < candidate.version:
            return
        self._rules.candidate = None
        if accepted.version > candidate.version:
            tick.post(TextOffered(accepted.version, accepted.text))
        elif accepted.text == candidate.rules.text:
            self._stage(tick, candidate, None)
        else:
            version = candidate.version
            reason = f"version {version} differs from the one accepted before"
            tick.emit(Noted(Event.STORE_DIVERGED, version=version, detail=reason))
            tick.post(StoreBehind(version, reason))

    def _stage(
        self, tick: Tick, row: VersionRow, edits: tuple[LineEdit, ...] | None
    ) -> None:
        rules = self._rules
        if row.version <= rules.held_version:
            return
        if rules.candidate is not None and rules.candidate.version <= row.version:
            rules.candidate = None
        before = rules.held
        rules.staged = row
        if rules.refused is not None and rules.refused.version < row.version:
            rules.refused = None
        self._tree.own_version = row.version
        self._tree.own_digest = int(row.rules.digest, 16)
        tick.post(RulesStaged(row.version, before, edits))
