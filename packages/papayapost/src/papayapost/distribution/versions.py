"""Systems that bring rules versions into force."""

from papayapost.distribution.messages import RulesInForce, RulesRejected
from papayapost.distribution.tables import RulesTable, VersionRow
from papayapost.errors import RulesRefused
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.rules import compile_rules
from papayapost.states import StagedState
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectSeen,
    StoreFailed,
    WatchObject,
)

__all__ = ["RULES_KEY", "StageRules", "SwapRules", "WatchRules"]

RULES_KEY = ObjectKey(ObjectKind.CONFIG, "rules")

_RETRY_MIN_US = 200_000
_RETRY_MAX_US = 2_000_000


class WatchRules(System):
    """Keeps a watch on the rules object."""

    consumes = (ObjectSeen, StoreFailed, WatchObject)

    def __init__(self, rules: RulesTable):
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Watch again after every answer, after a pause where it failed."""
        for request in tick.take(WatchObject):
            tick.emit(request)
        for seen in tick.take(ObjectSeen):
            if seen.key == RULES_KEY:
                after = max(seen.version, self._rules.newest_seen)
                tick.emit(WatchObject(RULES_KEY, after))
        for failed in tick.take(StoreFailed):
            if failed.key == RULES_KEY:
                self._retry_later(tick, failed.reason)

    def _retry_later(self, tick: Tick, reason: str) -> None:
        tick.emit(Noted(Event.STORE_FAILED, detail=reason))
        pause_us = tick.random.randrange(_RETRY_MIN_US, _RETRY_MAX_US)
        again = WatchObject(RULES_KEY, self._rules.newest_seen)
        tick.set_timer("watch rules", Micros(tick.now_us + pause_us), again)


class StageRules(System):
    """Compiles each newer version, whole or not at all."""

    consumes = (ObjectSeen,)

    def __init__(self, rules: RulesTable):
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Stage the versions that are newer than all seen before."""
        for seen in tick.take(ObjectSeen):
            if seen.key != RULES_KEY or not isinstance(seen.value, str):
                continue
            if seen.version > self._rules.newest_seen:
                self._rules.newest_seen = RuleVersion(seen.version)
                self._stage(tick, RuleVersion(seen.version), seen.value)

    def _stage(self, tick: Tick, version: RuleVersion, text: str) -> None:
        try:
            rules = compile_rules(text)
        except RulesRefused as refused:
            tick.post(RulesRejected(version, refused.findings))
            detail = "; ".join(str(finding) for finding in refused.findings)
            tick.emit(Noted(Event.RULES_REJECTED, version=version, detail=detail))
            return
        self._rules.staged = VersionRow(
            version, rules, StagedState.WAITING_FOR_SERVICES
        )


class SwapRules(System):
    """Swaps a staged version in once all its services are known."""

    consumes = (ObjectSeen, DirectoryChanged)

    def __init__(self, rules: RulesTable, directory: Directory):
        self._rules = rules
        self._directory = directory

    def run(self, tick: Tick) -> None:
        """Swap between two calls: no other system sees half a version."""
        staged = self._rules.staged
        if staged is None or not self._knows_services(staged):
            return
        staged.state = StagedState.IN_FORCE
        self._rules.in_force = staged
        self._rules.staged = None
        tick.post(RulesInForce(staged.version))
        tick.emit(Noted(Event.RULES_IN_FORCE, version=staged.version))

    def _knows_services(self, staged: VersionRow) -> bool:
        return all(
            self._directory.count("service", service)
            for service in staged.rules.services
        )
