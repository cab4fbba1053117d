"""The system that accepts compiled versions."""

from papayapost.distribution.held import RulesTable, VersionRow
from papayapost.distribution.lines import LineEdit
from papayapost.distribution.messages import (
    AcceptedRules,
    KeepObject,
    ObjectKept,
    RulesCompiled,
    RulesHeld,
    StoreBehind,
    TextOffered,
)
from papayapost.distribution.source import ACCEPTED_KEY
from papayapost.kernel import System, Tick
from papayapost.membership import RoleChanged, TreeTables
from papayapost.observe import Event, Noted

__all__ = ["AcceptRules"]


class AcceptRules(System):
    """Stages a compiled version once it is recorded as accepted.

    What came from the store is recorded there first, on condition of the
    record's version. So a version that any node holds is one that every later
    link relay finds, also if all nodes are replaced and the newest text is
    bad, and a store that answers from the past is told by the refused
    condition. What comes from another node is recorded already.
    """

    consumes = (RulesCompiled, ObjectKept, RoleChanged)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Ask for the record, or stage what is recorded."""
        if tick.take(RoleChanged) and not self._tree.watches_store:
            self._rules.candidate = None
        for compiled in tick.take(RulesCompiled):
            if compiled.is_recorded:
                self._hold(tick, compiled.row, compiled.edits)
            elif self._tree.watches_store:
                self._record(tick, compiled.row)
        for kept in tick.take(ObjectKept):
            if isinstance(kept.value, AcceptedRules):
                self._settle(tick, kept.value)

    def _record(self, tick: Tick, row: VersionRow) -> None:
        self._rules.candidate = row
        accepted = AcceptedRules(row.version, row.rules.text)
        tick.post(KeepObject(ACCEPTED_KEY, accepted))

    def _settle(self, tick: Tick, accepted: AcceptedRules) -> None:
        candidate = self._rules.candidate
        if candidate is None or accepted.version < candidate.version:
            return
        self._rules.candidate = None
        if accepted.version > candidate.version:
            tick.post(TextOffered(accepted.version, accepted.text))
        elif accepted.text == candidate.rules.text:
            self._hold(tick, candidate, None)
        else:
            version = candidate.version
            reason = f"version {version} differs from the one accepted before"
            tick.emit(Noted(Event.STORE_DIVERGED, version=version, detail=reason))
            tick.post(StoreBehind(version, reason))

    def _hold(
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
        tick.post(RulesHeld(row.version, before, edits))
