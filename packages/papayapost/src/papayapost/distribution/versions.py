"""Systems that compile rules versions and put them into force."""

from papayapost.distribution.messages import (
    FloorWaitExpired,
    RulesCompiled,
    RulesInForce,
    RulesRejected,
    RulesStaged,
    TextOffered,
)
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.status import RefusedVersion
from papayapost.errors import RulesRefused
from papayapost.ids import RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    Directory,
    DirectoryChanged,
    ParentChanged,
    RoleChanged,
    TreeTables,
)
from papayapost.observe import Event, Noted
from papayapost.rules import compile_rules
from papayapost.states import StagedState

__all__ = ["ActivateStagedRules", "CompileRules"]


class CompileRules(System):
    """Compiles offered rules texts; a text with any error is refused whole."""

    consumes = (TextOffered,)

    def __init__(self, rules: RulesTable):
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Compile the offered texts, newest first, until one succeeds."""
        offers = tick.take(TextOffered)
        for offered in sorted(offers, key=lambda item: -item.version):
            if self._is_newer(offered) and self._compile(tick, offered):
                return

    def _is_newer(self, offered: TextOffered) -> bool:
        version = offered.version
        refused = self._rules.refused
        if refused is not None and refused.version == version:
            return False
        candidate = self._rules.candidate
        is_pending = candidate is not None and candidate.version >= version
        if is_pending and not offered.is_recorded:
            return False
        return version > self._rules.held_version

    def _compile(self, tick: Tick, offered: TextOffered) -> bool:
        rules = self._rules
        version = offered.version
        rules.newest_seen_version = max(rules.newest_seen_version, version)
        held = rules.held
        try:
            previous = held.rules if held else None
            compiled = compile_rules(offered.text, previous, rules.max_bytes)
        except RulesRefused as refused:
            self._refuse(tick, version, refused)
            return False
        state = StagedState.WAITING_FOR_SERVICES
        missing = set(compiled.services)
        row = VersionRow(version, compiled, state, missing, offered.position)
        is_based_on_held = rules.held_version == offered.base_version
        edits = offered.edits if is_based_on_held else None
        tick.post(RulesCompiled(row, edits, offered.is_recorded))
        return True

    def _refuse(self, tick: Tick, version: RuleVersion, error: RulesRefused) -> None:
        newest_refused = self._rules.refused
        if newest_refused is None or newest_refused.version < version:
            self._rules.refused = RefusedVersion(version, error.findings)
        tick.post(RulesRejected(version, error.findings))
        detail = "; ".join(str(finding) for finding in error.findings)
        tick.emit(Noted(Event.RULES_REJECTED, version=version, detail=detail))


class ActivateStagedRules(System):
    """Puts a staged version into force once all its services are known.

    A version below the node's version floor is not put into force. Before its
    first version, the node waits for a bounded time for a parent, which
    reports the floor. A node that watches the store does not wait, because
    the store records the accepted versions.
    """

    consumes = (
        RulesStaged,
        DirectoryChanged,
        ParentChanged,
        RoleChanged,
        FloorWaitExpired,
    )

    def __init__(self, rules: RulesTable, directory: Directory, tree: TreeTables):
        self._rules = rules
        self._directory = directory
        self._tree = tree
        self._is_floor_wait_over = False
        self._noted_version = RuleVersion(0)

    def run(self, tick: Tick) -> None:
        """Put the staged version into force if nothing holds it back.

        The swap is atomic for calls, because no call is routed during it.
        """
        if tick.take(FloorWaitExpired):
            self._is_floor_wait_over = True
        staged = self._rules.staged
        if staged is None:
            return
        if not self._knows_services(staged):
            detail = "waits for services: " + ", ".join(sorted(staged.missing))
            self._note_once(tick, Event.RULES_WAITING, staged.version, detail)
        elif staged.version < self._tree.floor_version:
            detail = f"the version floor is {self._tree.floor_version}"
            self._note_once(tick, Event.RULES_BELOW_FLOOR, staged.version, detail)
        elif self._knows_floor():
            self._swap(tick, staged)

    def _swap(self, tick: Tick, staged: VersionRow) -> None:
        staged.state = StagedState.IN_FORCE
        self._rules.in_force = staged
        self._rules.staged = None
        tick.post(RulesInForce(staged.version))
        tick.emit(Noted(Event.RULES_IN_FORCE, version=staged.version))

    def _knows_floor(self) -> bool:
        return (
            self._is_floor_wait_over
            or self._rules.in_force is not None
            or self._tree.parent is not None
            or self._tree.watches_store
        )

    def _knows_services(self, staged: VersionRow) -> bool:
        if staged.missing:
            staged.missing = self._unknown_services(staged.missing)
        if staged.missing:
            return False
        # A service that was known earlier may have left the directory while
        # others were still missing, so all services are checked again.
        staged.missing = self._unknown_services(staged.rules.services)
        return not staged.missing

    def _unknown_services(self, services) -> set:
        count = self._directory.count
        return {service for service in services if not count("service", service)}

    def _note_once(
        self, tick: Tick, event: Event, version: RuleVersion, detail: str
    ) -> None:
        if version != self._noted_version:
            self._noted_version = version
            tick.emit(Noted(event, version=version, detail=detail))
