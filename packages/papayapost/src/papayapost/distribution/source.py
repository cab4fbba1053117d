"""Systems that read the rules from the object store."""

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    AcceptedRules,
    FallbackDue,
    RulesRejected,
    StoreBehind,
    StoreCaughtUp,
    TextOffered,
    WatchDue,
)
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.tables import StoreWatchRow
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import ParentChanged, RoleChanged, TreeTables
from papayapost.observe import Event, Noted
from papayapost.rules import rules_digest
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UnwatchObject,
    WatchObject,
)

__all__ = [
    "ACCEPTED_KEY",
    "RULES_KEY",
    "OfferStoredRules",
    "PollAcceptedRules",
    "RecoverAcceptedRules",
    "WatchRules",
]

RULES_KEY = ObjectKey(ObjectKind.CONFIG, "rules")
ACCEPTED_KEY = ObjectKey(ObjectKind.ACCEPTED, "rules")

_RETRY_MIN_US = 250_000
_RETRY_MAX_US = 8_000_000
_STALE_STORE_PAUSE_US = 5_000_000

_FALLBACK_MIN_US = 1_000_000
_FIRST_FALLBACK_MAX_US = 9_000_000
_FALLBACK_PERIOD_US = 30_000_000
_FALLBACK_ID = StoreRequestId("rules-fallback")
_ACCEPTED_ID = StoreRequestId("rules-accepted")


class WatchRules(System):
    """On a link relay or a standby relay, watches the rules object."""

    consumes = (RoleChanged, ObjectRead, StoreReadFailed, WatchDue)

    def __init__(self, rules: RulesTable, store: StoreWatchRow, tree: TreeTables):
        self._rules = rules
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Watch again after each answer; after a failure, back off first."""
        if tick.take(RoleChanged):
            self._apply_role(tick)
        if not self._tree.watches_store:
            return
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY and seen.request_id is None:
                self._continue_watch(tick, seen)
        for failed in tick.take(StoreReadFailed):
            if failed.key == RULES_KEY and failed.request_id is None:
                self._retry_later(tick, failed.reason)
        if tick.take(WatchDue):
            self._watch(tick)

    def _apply_role(self, tick: Tick) -> None:
        store = self._store
        if self._tree.watches_store and not store.is_watching:
            store.is_watching = True
            # A version that the node saw when it last had this role may not
            # have been recorded as accepted. The watch therefore starts at
            # the held version, so that the store shows that version again.
            store.watched_after = self._rules.held_version
            store.reported_version = None
            tick.post(StoreCaughtUp())
            self._watch(tick)
        elif not self._tree.watches_store and store.is_watching:
            store.is_watching = False
            tick.cancel_timer(WatchDue)
            tick.emit(UnwatchObject(RULES_KEY))

    def _continue_watch(self, tick: Tick, seen: ObjectRead) -> None:
        # The next watch waits for a change from the version that the store
        # showed, even if the node refused it. Otherwise a stale replica would
        # answer every watch at once with that version.
        store = self._store
        store.failures = 0
        store.watched_after = seen.version
        if seen.version >= self._rules.newest_seen_version:
            self._watch(tick)
        else:
            pause_us = tick.random.randint(
                _STALE_STORE_PAUSE_US // 2, _STALE_STORE_PAUSE_US
            )
            tick.set_timer(WatchDue, Micros(tick.now_us + pause_us), WatchDue())

    def _watch(self, tick: Tick) -> None:
        tick.emit(WatchObject(RULES_KEY, self._store.watched_after))

    def _retry_later(self, tick: Tick, reason: str) -> None:
        store = self._store
        tick.emit(Noted(Event.STORE_FAILED, detail=reason))
        pause_us = jittered_backoff_us(
            tick.random, store.failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        store.failures += 1
        tick.set_timer(WatchDue, Micros(tick.now_us + pause_us), WatchDue())


class OfferStoredRules(System):
    """Compares the rules in the store with the version that the node holds."""

    consumes = (ObjectRead,)

    def __init__(self, rules: RulesTable, store: StoreWatchRow, tree: TreeTables):
        self._rules = rules
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Offer newer texts; report an older version or a conflicting text."""
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY:
                self._compare(tick, seen)
            elif seen.key == ACCEPTED_KEY and isinstance(seen.value, AcceptedRules):
                self._offer_accepted(tick, seen.value)

    def _offer_accepted(self, tick: Tick, accepted: AcceptedRules) -> None:
        # A read can return a stale value. A node that may write the accepted
        # object confirms the value by a conditional update; other nodes rely
        # on the read alone.
        is_recorded = not self._tree.watches_store
        version, text = accepted.version, accepted.text
        tick.post(TextOffered(version, text, is_recorded=is_recorded))

    def _compare(self, tick: Tick, seen: ObjectRead) -> None:
        held_version = self._rules.held_version
        version = RuleVersion(seen.version)
        if version < held_version:
            reason = f"the store shows version {version}, the node holds {held_version}"
            self._report(tick, Event.STORE_BEHIND, version, reason)
        elif not isinstance(seen.value, str):
            return
        elif version > held_version:
            self._clear_fault(tick)
            tick.post(TextOffered(version, seen.value, is_recorded=False))
        elif rules_digest(seen.value) == self._rules.held_digest:
            self._clear_fault(tick)
        else:
            reason = f"the store's text of version {version} differs from the held text"
            self._report(tick, Event.STORE_DIVERGED, version, reason)

    def _clear_fault(self, tick: Tick) -> None:
        if self._store.reported_version is not None:
            self._store.reported_version = None
            tick.post(StoreCaughtUp())

    def _report(
        self, tick: Tick, event: Event, version: RuleVersion, reason: str
    ) -> None:
        if self._store.reported_version != version:
            self._store.reported_version = version
            tick.emit(Noted(event, version=version, detail=reason))
            tick.post(StoreBehind(version, reason))


_TREE_CHANGES: tuple[type, ...] = (ParentChanged, RoleChanged)


class PollAcceptedRules(System):
    """Reads the accepted object periodically while the node has no parent.

    Versions that are not yet recorded as accepted are handled by the link
    relays alone. The first read is jittered over 8 s and further reads over
    30 s, which keeps the reads of 12,000 nodes without parents far below the
    read capacity of the store.
    """

    consumes = (FallbackDue, ParentChanged, RoleChanged, ObjectRead)

    def __init__(self, store: StoreWatchRow, tree: TreeTables):
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Read the accepted object once per period, at a random time."""
        for seen in tick.take(ObjectRead):
            if seen.request_id == _FALLBACK_ID:
                self._store.accepted_object_version = seen.version
        if any(tick.take(kind) for kind in _TREE_CHANGES):
            self._apply_tree_change(tick)
        if tick.take(FallbackDue) and self._lacks_parent():
            known_version = self._store.accepted_object_version
            tick.emit(Noted(Event.STORE_FALLBACK))
            tick.emit(ReadObject(ACCEPTED_KEY, _FALLBACK_ID, known_version))
            self._schedule(tick, _FALLBACK_PERIOD_US // 2, _FALLBACK_PERIOD_US * 3 // 2)

    def _apply_tree_change(self, tick: Tick) -> None:
        if self._lacks_parent():
            self._schedule(tick, _FALLBACK_MIN_US, _FIRST_FALLBACK_MAX_US)
        else:
            tick.cancel_timer(FallbackDue)

    def _lacks_parent(self) -> bool:
        return self._tree.parent is None and not self._tree.is_link_relay

    def _schedule(self, tick: Tick, least_us: int, most_us: int) -> None:
        pause_us = tick.random.randint(least_us, most_us)
        tick.set_timer(FallbackDue, Micros(tick.now_us + pause_us), FallbackDue())


class RecoverAcceptedRules(System):
    """Reads the last accepted rules if the newest text does not compile.

    Only a node that has no parent and holds no rules reads them.
    """

    consumes = (RulesRejected, StoreReadFailed)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree
        self._failures = 0

    def run(self, tick: Tick) -> None:
        """Read the accepted object while the node holds no rules."""
        for failed in tick.take(StoreReadFailed):
            if failed.request_id == _ACCEPTED_ID:
                self._retry_later(tick)
        if tick.take(RulesRejected) and self._is_needed():
            tick.emit(ReadObject(ACCEPTED_KEY, _ACCEPTED_ID))

    def _is_needed(self) -> bool:
        rules = self._rules
        is_empty = rules.held is None and rules.candidate is None
        return is_empty and self._tree.parent is None

    def _retry_later(self, tick: Tick) -> None:
        pause_us = jittered_backoff_us(
            tick.random, self._failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        self._failures += 1
        retry = RulesRejected(self._rules.newest_seen_version, ())
        tick.set_timer(_ACCEPTED_ID, Micros(tick.now_us + pause_us), retry)
