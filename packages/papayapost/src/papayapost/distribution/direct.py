"""Systems that distribute the rules without a tree of relays.

A node watches the store directly, unless relays of its region do so for it.
A node that cannot reach the store fetches the rules from a peer whose
heartbeats show a newer version. A node without peers still receives the rules
from the store.
"""

from dataclasses import field

from papayapost.define import define
from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    RulesCompiled,
    RulesInForce,
    StoreAnswered,
    StoreEraBegun,
    StoreRegained,
    TextOffered,
    WatchDue,
    WatchRoleChanged,
)
from papayapost.distribution.peer_messages import StoreContact
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.source import RULES_KEY
from papayapost.ids import Address, Micros, NodeId, RuleVersion, StoreEra
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow
from papayapost.observe import Event, Noted
from papayapost.rules import rules_digest
from papayapost.states import StagedState, WatchRole
from papayapost.storage import (
    ObjectRead,
    ObjectUnchanged,
    StoreEraChanged,
    StoreEraDoubted,
    StoreReadFailed,
    StoreReading,
    StoreVersion,
    UnwatchObject,
    WatchObject,
    era_of,
)

__all__ = [
    "ActivateCompiledRules",
    "DirectWatchRow",
    "FollowStoreEras",
    "PeerRulesVersionSeen",
    "WatchCounters",
    "WatchStore",
]

_RETRY_MIN_US = 100_000
_RETRY_MAX_US = 1_000_000
"""Upper bound of the back-off between watches of the store.

It limits to about 1 s how late a node without peers sees a change.
"""

_FALLBACK_RETRY_MAX_US = 1_500_000
"""The same for nodes that others stand in for."""

_UNCHANGED_PAUSE_US = 100_000
"""Pause before the next watch if the store answered with a known version."""

_MAX_NOTED_FINDINGS = 10

_WATCH_DRIFT_US = 2_000
"""By how much a slower watch raises the time of the shortest one."""


@define
class WatchCounters:
    """Totals since the process started.

    Parameters
    ----------
    era_changes
        Times that this node learned of a newer era after it knew one.
    behind
        Versions that the store showed below the one that this node held;
        answers with the same two versions in a row count once.
    unreadable_rules
        Answers of the store with a configuration that does not decode.
    """

    era_changes: int = 0
    behind: int = 0
    unreadable_rules: int = 0


@define
class DirectWatchRow:
    """State of this node's watch on the rules object of the store.

    Parameters
    ----------
    failures
        Number of consecutive watches that failed.
    answered_us
        Time of the store's last answer in µs, or None before the first one.
    version
        Version of the rules in the store's last answer; 0 before any.
    unchanged_version
        Version that the last watch without a change was waiting with. A new
        watch may raise `version` in the tick of that answer.
    is_behind
        Whether that version is older than the one that this node holds.
    shown_version
        Version of the rules that the store itself last showed this node; 0
        before any. Unlike `version`, it does not follow the rules of relays.
    entries_left_out
        Number of faulty entries in the version that this node last read.
    era
        Newest era of the store that this node has heard of; 0 before any.
    link_mbps
        Rate of this VM's link in Mbit/s; 0 if it is not known.
    role
        Why this node watches the store, or does not.
    is_deputy
        Whether the node stands in for the relays of its region.
    watch_us
        Shortest time in µs of a recent watch that ended without a change, by
        this node or a relay of its region, or None before one. It tells how
        far away the store is.
    unchanged_us
        Time in µs of the last answer, if it was that of such a watch.
    covered_us
        Time in µs at which a relay last reported that it reaches the store
        and holds no newer rules than this node, or None before that.
    starting_until_us
        Time in µs until which a node that starts waits for its peers.
    fallback_until_us
        Earliest time in µs at which a node that fell back follows again.
    """

    failures: int = 0
    answered_us: Micros | None = None
    version: RuleVersion = RuleVersion(0)
    unchanged_version: RuleVersion = RuleVersion(0)
    is_behind: bool = False
    shown_version: RuleVersion = RuleVersion(0)
    entries_left_out: int = 0
    era: StoreEra = StoreEra(0)
    link_mbps: float = 0.0
    role: WatchRole = WatchRole.STARTING
    is_deputy: bool = False
    watch_us: Micros | None = None
    unchanged_us: Micros | None = None
    covered_us: Micros | None = None
    starting_until_us: Micros = Micros(0)
    fallback_until_us: Micros = Micros(0)
    counters: WatchCounters = field(default_factory=WatchCounters)

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store itself."""
        return self.role in (WatchRole.RELAY, WatchRole.FALLBACK)

    @property
    def is_relay(self) -> bool:
        """Whether this node is one of the relays of its region."""
        return self.role in (WatchRole.RELAY, WatchRole.REMOTE_RELAY)

    @property
    def is_announcing(self) -> bool:
        """Whether this node passes the rules on to its region."""
        return self.is_watching or self.role is WatchRole.REMOTE_RELAY

    def record_unchanged(self, now_us: Micros) -> None:
        """Measure a watch that has ended without a change."""
        if self.unchanged_us is not None:
            span_us = now_us - self.unchanged_us
            slower_us = (self.watch_us or span_us) + _WATCH_DRIFT_US
            self.watch_us = Micros(min(span_us, slower_us))
        self.unchanged_us = now_us


@define
class PeerRulesVersionSeen:
    """Internal: a heartbeat showed that a peer holds this rules version.

    Parameters
    ----------
    is_same_region
        Whether the peer is in the region of this node.
    """

    node_id: NodeId
    address: Address
    version: RuleVersion
    is_same_region: bool = True

    @classmethod
    def at(
        cls, row: BackendServerRow, version: RuleVersion, is_same_region: bool = True
    ) -> "PeerRulesVersionSeen":
        """Return that the node of a directory row holds a version."""
        return cls(row.node_id, row.peer_address, version, is_same_region)


class FollowStoreEras(System):
    """Watches anew when the store has come back from an older copy.

    A watch that goes on over that moment waits for changes since a revision
    that the store gives out again.

    Nodes that rely on relays learn of the era by their reports: what such a
    node has written to the store may be lost as well.
    """

    consumes = (ObjectRead, StoreContact, StoreEraChanged, StoreEraDoubted)

    def __init__(self, contact: DirectWatchRow):
        self._contact = contact
        self._begun_era = StoreEra(0)
        self._has_heard = False

    def run(self, tick: Tick) -> None:
        """Log what the store tells of its era, and watch in the new one."""
        for changed in tick.take(StoreEraChanged):
            detail = f"era {changed.era} after {changed.before}"
            tick.emit(Noted(Event.STORE_ERA_CHANGED, detail=detail))
            if self._contact.is_watching:
                tick.post(WatchDue())
            self._reach(tick, changed.before)
            self._reach(tick, changed.era)
            # A relay may have told of this era as the first that this node
            # heard of. Its own calls show that it wrote in an earlier one.
            self._begin(tick, changed.era)
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY and seen.position:
                self._reach(tick, era_of(seen.position))
        for report in tick.take(StoreContact):
            self._reach(tick, report.era)
        for doubted in tick.take(StoreEraDoubted):
            detail = f"an answer shows {doubted.shown} in era {doubted.era}"
            tick.emit(Noted(Event.STORE_ERA_DOUBTED, detail=detail))

    def _reach(self, tick: Tick, era: StoreEra) -> None:
        """Record an era that an answer or a report of a relay shows."""
        is_first, self._has_heard = not self._has_heard, True
        if era > self._contact.era:
            self._contact.era = era
            if not is_first:
                self._begin(tick, era)

    def _begin(self, tick: Tick, era: StoreEra) -> None:
        """Tell the other systems of an era once."""
        if era > self._begun_era:
            self._begun_era = era
            self._contact.counters.era_changes += 1
            tick.post(StoreEraBegun(era))


class WatchStore(System):
    """Keeps one watch on the rules object and offers each newer text.

    A follower has no watch.
    """

    consumes = (
        ObjectRead,
        ObjectUnchanged,
        StoreReadFailed,
        StoreReading,
        WatchDue,
        WatchRoleChanged,
    )

    def __init__(self, rules: RulesTable, contact: DirectWatchRow):
        self._rules = rules
        self._contact = contact
        self._noted_behind: tuple[RuleVersion, RuleVersion] | None = None
        self._noted_diverged = RuleVersion(0)
        self._noted_failure = ""

    def run(self, tick: Tick) -> None:
        """Watch again after each answer; after a failure, back off first."""
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY:
                self._handle_answer(tick, seen)
        for unchanged in tick.take(ObjectUnchanged):
            if unchanged.key == RULES_KEY:
                self._record_contact(tick)
                self._contact.record_unchanged(tick.now_us)
                self._contact.shown_version = self._contact.version
                self._contact.unchanged_version = self._contact.version
        if any(reading.key == RULES_KEY for reading in tick.take(StoreReading)):
            # A large text on a slow link must not look like silence.
            tick.post(StoreAnswered())
        for failed in tick.take(StoreReadFailed):
            if failed.key == RULES_KEY and self._contact.is_watching:
                self._retry_later(tick, failed)
        if tick.take(WatchRoleChanged):
            self._apply_role(tick)
        elif tick.take(WatchDue):
            self._watch(tick)

    def _apply_role(self, tick: Tick) -> None:
        if self._contact.is_watching:
            self._contact.is_behind = False
            self._watch(tick)
        else:
            tick.cancel_timer(WatchDue)
            tick.emit(UnwatchObject(RULES_KEY))

    def _record_contact(self, tick: Tick) -> None:
        contact = self._contact
        if contact.failures:
            detail = f"after {contact.failures} failures"
            tick.emit(Noted(Event.STORE_REGAINED, detail=detail))
            tick.post(StoreRegained())
        contact.failures = 0
        contact.answered_us = tick.now_us
        tick.post(StoreAnswered())

    def _handle_answer(self, tick: Tick, seen: ObjectRead) -> None:
        contact = self._contact
        self._record_contact(tick)
        is_new_version = seen.version != contact.version
        if is_new_version:
            _note_findings(tick, seen)
        contact.version = version = RuleVersion(seen.version)
        contact.shown_version = version
        contact.entries_left_out = len(seen.findings)
        held = self._rules.held
        contact.is_behind = held is not None and version < held.version
        if held is not None and contact.is_behind:
            self._note_behind(tick, version, held.version)
        elif held is not None and version == held.version:
            held.position = max(held.position, seen.position)
            self._compare_text(tick, seen, held)
        elif isinstance(seen.value, str):
            tick.post(TextOffered(version, seen.value, position=seen.position))
        if not contact.is_watching:
            return
        if is_new_version:
            self._watch(tick)
        else:
            # Without this pause, the node would poll in a busy loop a store
            # that answers at once with a known version.
            due_us = Micros(tick.now_us + _UNCHANGED_PAUSE_US)
            tick.set_timer(WatchDue, due_us, WatchDue())

    def _compare_text(self, tick: Tick, seen: ObjectRead, held: VersionRow) -> None:
        """Log once for each version that the store has another text of it."""
        if not isinstance(seen.value, str) or held.version == self._noted_diverged:
            return
        if rules_digest(seen.value) != held.rules.digest:
            self._noted_diverged = version = held.version
            detail = f"the store's text of version {version} differs from the held text"
            tick.emit(Noted(Event.STORE_DIVERGED, version=version, detail=detail))

    def _note_behind(
        self, tick: Tick, version: RuleVersion, held_version: RuleVersion
    ) -> None:
        """Log once for each pair of versions that the store's one is older."""
        behind = (version, held_version)
        if behind != self._noted_behind:
            self._noted_behind = behind
            self._contact.counters.behind += 1
            detail = f"the store shows version {version}, the node holds {held_version}"
            tick.emit(Noted(Event.STORE_BEHIND, version=version, detail=detail))

    def _watch(self, tick: Tick) -> None:
        contact, held = self._contact, self._rules.held
        contact.unchanged_us = None
        position = StoreVersion(0)
        if held is not None and not contact.is_behind:
            # A follower holds rules that its own watch has not read.
            contact.version = max(contact.version, held.version)
            if contact.version == held.version:
                position = held.position
        tick.emit(WatchObject(RULES_KEY, contact.version, position))

    def _retry_later(self, tick: Tick, failed: StoreReadFailed) -> None:
        contact = self._contact
        contact.counters.unreadable_rules += failed.is_unreadable
        self._note_failure(tick, failed)
        is_head = contact.is_relay or contact.is_deputy
        limit_us = _RETRY_MAX_US if is_head else _FALLBACK_RETRY_MAX_US
        pause_us = jittered_backoff_us(
            tick.random, contact.failures, _RETRY_MIN_US, limit_us
        )
        contact.failures += 1
        tick.set_timer(WatchDue, Micros(tick.now_us + pause_us), WatchDue())

    def _note_failure(self, tick: Tick, failed: StoreReadFailed) -> None:
        """Log the first failure of a row, and each other one of its kind.

        A store without an answer is told once, whatever the reasons are.
        """
        shown = failed.reason if failed.is_unreadable else ""
        if self._contact.failures and shown == self._noted_failure:
            return
        self._noted_failure = shown
        event = Event.RULES_UNREADABLE if shown else Event.STORE_FAILED
        tick.emit(Noted(event, detail=failed.reason))


def _note_findings(tick: Tick, seen: ObjectRead) -> None:
    """Log the entries that the translation of a configuration left out."""
    if not seen.findings:
        return
    shown = "; ".join(str(finding) for finding in seen.findings[:_MAX_NOTED_FINDINGS])
    hidden_count = len(seen.findings) - _MAX_NOTED_FINDINGS
    detail = f"{shown}; and {hidden_count} more" if hidden_count > 0 else shown
    version = RuleVersion(seen.version)
    tick.emit(Noted(Event.ENTRIES_LEFT_OUT, version=version, detail=detail))


class ActivateCompiledRules(System):
    """Puts a compiled version into force without waiting for its services.

    A route may name a service without a live backend server. Calls on such a
    route are refused as not run until a backend server is known.
    """

    consumes = (RulesCompiled,)

    def __init__(self, rules: RulesTable):
        self._rules = rules

    def run(self, tick: Tick) -> None:
        """Put each newer version into force; ignore older ones."""
        rules = self._rules
        for compiled in tick.take(RulesCompiled):
            row = compiled.row
            if row.version <= rules.version:
                continue
            row.state = StagedState.IN_FORCE
            rules.in_force = row
            if rules.refused is not None and rules.refused.version < row.version:
                rules.refused = None
            tick.post(RulesInForce(row.version))
            tick.emit(Noted(Event.RULES_IN_FORCE, version=row.version))
