"""Systems that take the rules from the object store."""

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.held import RulesTable
from papayapost.distribution.messages import (
    AcceptedRules,
    FallbackDue,
    RulesRejected,
    StoreBehind,
    StoreCaughtUp,
    TextOffered,
    WatchDue,
)
from papayapost.distribution.tables import StoreRow
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import ParentChanged, RoleChanged, TreeTables
from papayapost.observe import Event, Noted
from papayapost.rules import digest_of
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectSeen,
    ReadObject,
    RequestId,
    StoreFailed,
    UnwatchObject,
    WatchObject,
)

__all__ = [
    "ACCEPTED_KEY",
    "RULES_KEY",
    "OfferStoredRules",
    "ReadAccepted",
    "ReadWithoutParent",
    "WatchRules",
]

RULES_KEY = ObjectKey(ObjectKind.CONFIG, "rules")
ACCEPTED_KEY = ObjectKey(ObjectKind.ACCEPTED, "rules")

_RETRY_MIN_US = 250_000
_RETRY_MAX_US = 8_000_000
_BEHIND_PAUSE_US = 5_000_000

_FALLBACK_MIN_US = 1_000_000
_FIRST_FALLBACK_MAX_US = 9_000_000
_FALLBACK_PERIOD_US = 30_000_000
_FALLBACK_ID = RequestId("rules-fallback")
_ACCEPTED_ID = RequestId("rules-accepted")


class WatchRules(System):
    """Keeps one watch on the rules object on a link relay or its stand-by."""

    consumes = (RoleChanged, ObjectSeen, StoreFailed, WatchDue)

    def __init__(self, rules: RulesTable, store: StoreRow, tree: TreeTables):
        self._rules = rules
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Watch again after every answer, after a pause where it failed."""
        if tick.take(RoleChanged):
            self._follow_role(tick)
        if not self._tree.watches_store:
            return
        for seen in tick.take(ObjectSeen):
            if seen.key == RULES_KEY and seen.request_id is None:
                self._watch_on(tick, seen)
        for failed in tick.take(StoreFailed):
            if failed.key == RULES_KEY and failed.request_id is None:
                self._retry_later(tick, failed.reason)
        if tick.take(WatchDue):
            self._watch(tick)

    def _follow_role(self, tick: Tick) -> None:
        store = self._store
        if self._tree.watches_store and not store.is_watching:
            store.is_watching = True
            # What was seen in an earlier turn of the role may have been left
            # before it was recorded, so the watch starts at what is held.
            store.watched_after = self._rules.held_version
            store.refused_version = None
            tick.post(StoreCaughtUp())
            self._watch(tick)
        elif not self._tree.watches_store and store.is_watching:
            store.is_watching = False
            tick.cancel_timer(WatchDue)
            tick.emit(UnwatchObject(RULES_KEY))

    def _watch_on(self, tick: Tick, seen: ObjectSeen) -> None:
        # The watch waits for a change from what the store showed, even from a
        # version that was refused: else a stale replica would answer at once,
        # again and again.
        store = self._store
        store.failures = 0
        store.watched_after = seen.version
        if seen.version >= self._rules.newest_seen:
            self._watch(tick)
        else:
            pause_us = tick.random.randint(_BEHIND_PAUSE_US // 2, _BEHIND_PAUSE_US)
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
    """Judges what the store shows: news, known, or behind what is held."""

    consumes = (ObjectSeen,)

    def __init__(self, rules: RulesTable, store: StoreRow, tree: TreeTables):
        self._rules = rules
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Offer newer texts; report an older or a different one."""
        for seen in tick.take(ObjectSeen):
            if seen.key == RULES_KEY:
                self._judge(tick, seen)
            elif seen.key == ACCEPTED_KEY and isinstance(seen.value, AcceptedRules):
                self._offer_accepted(tick, seen.value)

    def _offer_accepted(self, tick: Tick, accepted: AcceptedRules) -> None:
        # A read can show the past. Who may write to the record confirms it by
        # an update; the others have only the read.
        is_recorded = not self._tree.watches_store
        version, text = accepted.version, accepted.text
        tick.post(TextOffered(version, text, is_recorded=is_recorded))

    def _judge(self, tick: Tick, seen: ObjectSeen) -> None:
        held_version = self._rules.held_version
        version = RuleVersion(seen.version)
        if version < held_version:
            reason = f"the store shows version {version}, but {held_version} is held"
            self._report(tick, Event.STORE_BEHIND, version, reason)
        elif not isinstance(seen.value, str):
            return
        elif version > held_version:
            self._recover(tick)
            tick.post(TextOffered(version, seen.value, is_recorded=False))
        elif digest_of(seen.value) == self._rules.held_digest:
            self._recover(tick)
        else:
            reason = f"the store's version {version} differs from the one held"
            self._report(tick, Event.STORE_DIVERGED, version, reason)

    def _recover(self, tick: Tick) -> None:
        if self._store.refused_version is not None:
            self._store.refused_version = None
            tick.post(StoreCaughtUp())

    def _report(
        self, tick: Tick, event: Event, version: RuleVersion, reason: str
    ) -> None:
        if self._store.refused_version != version:
            self._store.refused_version = version
            tick.emit(Noted(event, version=version, detail=reason))
            tick.post(StoreBehind(version, reason))


_PLACE_CHANGES: tuple[type, ...] = (ParentChanged, RoleChanged)


class ReadWithoutParent(System):
    """Reads the accepted rules now and then while no parent feeds this node.

    What is not recorded as accepted is left to the link relays. The reads of
    12,000 such nodes stay far below what the store takes: the first one is
    spread over 8 s, further ones over half a minute.
    """

    consumes = (FallbackDue, ParentChanged, RoleChanged, ObjectSeen)

    def __init__(self, store: StoreRow, tree: TreeTables):
        self._store = store
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Read once per period, at a random time in it."""
        for seen in tick.take(ObjectSeen):
            if seen.request_id == _FALLBACK_ID:
                self._store.accepted_at = seen.version
        if any(tick.take(kind) for kind in _PLACE_CHANGES):
            self._follow_tree(tick)
        if tick.take(FallbackDue) and self._is_alone():
            unless = self._store.accepted_at
            tick.emit(Noted(Event.STORE_FALLBACK))
            tick.emit(ReadObject(ACCEPTED_KEY, _FALLBACK_ID, unless))
            self._schedule(tick, _FALLBACK_PERIOD_US // 2, _FALLBACK_PERIOD_US * 3 // 2)

    def _follow_tree(self, tick: Tick) -> None:
        if self._is_alone():
            self._schedule(tick, _FALLBACK_MIN_US, _FIRST_FALLBACK_MAX_US)
        else:
            tick.cancel_timer(FallbackDue)

    def _is_alone(self) -> bool:
        return self._tree.parent is None and not self._tree.is_link_relay

    def _schedule(self, tick: Tick, least_us: int, most_us: int) -> None:
        pause_us = tick.random.randint(least_us, most_us)
        tick.set_timer(FallbackDue, Micros(tick.now_us + pause_us), FallbackDue())


class ReadAccepted(System):
    """Fetches the last accepted rules where the newest text is refused.

    Only a node that reads the store itself and holds nothing needs them.
    """

    consumes = (RulesRejected, StoreFailed)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree
        self._failures = 0

    def run(self, tick: Tick) -> None:
        """Read the accepted object while nothing is held."""
        for failed in tick.take(StoreFailed):
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
        again = RulesRejected(self._rules.newest_seen, ())
        tick.set_timer(_ACCEPTED_ID, Micros(tick.now_us + pause_us), again)
