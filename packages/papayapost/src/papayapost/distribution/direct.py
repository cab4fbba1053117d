"""Systems that distribute the rules without a tree of relays.

A node watches the store directly, unless relays of its region do so for it.
A node that cannot reach the store fetches the rules from a peer whose
heartbeats show a newer version. A node without peers still receives the rules
from the store.
"""

from papayapost.define import define
from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.change_history import ChangeHistory
from papayapost.distribution.messages import (
    RequestDue,
    RulesCompiled,
    RulesInForce,
    StoreAnswered,
    StoreRegained,
    TextOffered,
    WatchDue,
    WatchRoleChanged,
)
from papayapost.distribution.peer_messages import RulesBusy, RulesShared, RulesWanted
from papayapost.distribution.rules_table import RulesTable, VersionRow
from papayapost.distribution.source import RULES_KEY
from papayapost.ids import Address, Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import StagedState, WatchRole
from papayapost.storage import (
    ObjectRead,
    ObjectUnchanged,
    StoreReadFailed,
    StoreReading,
    UnwatchObject,
    WatchObject,
)

__all__ = [
    "ActivateCompiledRules",
    "DirectWatchRow",
    "PeerRulesVersionSeen",
    "ShareRules",
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

_REQUEST_DELAY_US = 150_000
"""Time for a version that a peer shows to arrive from a relay or the store."""

_FAR_REQUEST_DELAY_US = 1_500_000
"""The same for a peer in another region, which only those ask who read the
rules for others: the link between regions must not carry them for each."""

_REQUEST_INTERVAL_US = 400_000
_FIRST_REQUEST_INTERVAL_US = 600_000
"""Shortest time between two requests for the rules to peers.

Several heartbeats show a new version before the answer to the first request
can arrive. A node without rules is sent the whole text, which takes longer.
"""

_MAX_TEXT_BACKLOG_US = 400_000
_TEXT_COMPRESSION = 3
_DEFAULT_LINK_MBPS = 100.0
"""Whole texts are sent for at most this time ahead of a node's link, with what
they compress to at least, and the rate of a link that the settings lack."""

_WATCH_DRIFT_US = 2_000
"""By how much a slower watch raises the time of the shortest one."""


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
        Store version of the rules object in the last answer; 0 before any.
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
    link_mbps: float = 0.0
    role: WatchRole = WatchRole.STARTING
    is_deputy: bool = False
    watch_us: Micros | None = None
    unchanged_us: Micros | None = None
    covered_us: Micros | None = None
    starting_until_us: Micros = Micros(0)
    fallback_until_us: Micros = Micros(0)

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

    def run(self, tick: Tick) -> None:
        """Watch again after each answer; after a failure, back off first."""
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY:
                self._handle_answer(tick, seen)
        for unchanged in tick.take(ObjectUnchanged):
            if unchanged.key == RULES_KEY:
                self._record_contact(tick)
                self._contact.record_unchanged(tick.now_us)
        if any(reading.key == RULES_KEY for reading in tick.take(StoreReading)):
            # A large text on a slow link must not look like silence.
            tick.post(StoreAnswered())
        for failed in tick.take(StoreReadFailed):
            if failed.key == RULES_KEY and self._contact.is_watching:
                self._retry_later(tick, failed.reason)
        is_due, is_changed = tick.take(WatchDue), tick.take(WatchRoleChanged)
        if is_changed and not self._contact.is_watching:
            tick.cancel_timer(WatchDue)
            tick.emit(UnwatchObject(RULES_KEY))
        elif is_due or is_changed:
            self._watch(tick)

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
        contact.version = RuleVersion(seen.version)
        if isinstance(seen.value, str) and seen.version > self._rules.held_version:
            tick.post(TextOffered(RuleVersion(seen.version), seen.value))
        if not contact.is_watching:
            return
        if is_new_version:
            self._watch(tick)
        else:
            # Without this pause, the node would poll in a busy loop a store
            # that answers at once with a known version.
            due_us = Micros(tick.now_us + _UNCHANGED_PAUSE_US)
            tick.set_timer(WatchDue, due_us, WatchDue())

    def _watch(self, tick: Tick) -> None:
        # A follower holds rules that its own watch has not read.
        contact = self._contact
        contact.version = max(contact.version, self._rules.held_version)
        contact.unchanged_us = None
        tick.emit(WatchObject(RULES_KEY, contact.version))

    def _retry_later(self, tick: Tick, reason: str) -> None:
        contact = self._contact
        if not contact.failures:
            tick.emit(Noted(Event.STORE_FAILED, detail=reason))
        is_head = contact.is_relay or contact.is_deputy
        limit_us = _RETRY_MAX_US if is_head else _FALLBACK_RETRY_MAX_US
        pause_us = jittered_backoff_us(
            tick.random, contact.failures, _RETRY_MIN_US, limit_us
        )
        contact.failures += 1
        tick.set_timer(WatchDue, Micros(tick.now_us + pause_us), WatchDue())


class ShareRules(System):
    """Requests newer rules from peers, and answers such requests of peers.

    A node that holds rules leaves a version that a peer shows some time to
    arrive by itself. Otherwise each change would cause needless requests,
    because heartbeats of all peers show it within the time of its delivery.
    """

    consumes = (PeerRulesVersionSeen, RequestDue, RulesBusy, RulesWanted, RulesShared)

    def __init__(
        self,
        me: SelfRow,
        rules: RulesTable,
        contact: DirectWatchRow,
        history: ChangeHistory,
    ):
        self._me = me
        self._rules = rules
        self._contact = contact
        self._history = history
        self._awaited: PeerRulesVersionSeen | None = None
        self._busy_until_us: dict[NodeId, int] = {}
        self._text_free_us = 0
        self._requested_us: Micros | None = None

    def run(self, tick: Tick) -> None:
        """Offer received rules, answer requests and send one if needed."""
        for busy in tick.take(RulesBusy):
            self._requested_us = None
            self._busy_until_us[busy.sender] = tick.now_us + busy.retry_after_us
        for shared in tick.take(RulesShared):
            self._requested_us = None
            self._busy_until_us.clear()
            if shared.version > self._rules.held_version:
                tick.post(TextOffered(shared.version, shared.text))
        for wanted in tick.take(RulesWanted):
            self._answer(tick, wanted)
        for seen in tick.take(PeerRulesVersionSeen):
            self._await(tick, seen)
        if tick.take(RequestDue) and self._awaited is not None:
            awaited, self._awaited = self._awaited, None
            self._request(tick, awaited)

    def _await(self, tick: Tick, seen: PeerRulesVersionSeen) -> None:
        contact, is_near = self._contact, seen.is_same_region
        if not is_near and not contact.is_announcing:
            return
        if self._rules.held is None and is_near:
            self._request(tick, seen)
        elif self._is_missing(seen) and (
            self._awaited is None or (is_near and not self._awaited.is_same_region)
        ):
            self._awaited = seen
            is_soon = is_near or contact.is_relay
            delay_us = _REQUEST_DELAY_US if is_soon else _FAR_REQUEST_DELAY_US
            due_us = Micros(tick.now_us + delay_us)
            tick.set_timer(RequestDue, due_us, RequestDue())

    def _is_missing(self, seen: PeerRulesVersionSeen) -> bool:
        rules = self._rules
        return seen.version > max(rules.held_version, rules.newest_seen_version)

    def _request(self, tick: Tick, seen: PeerRulesVersionSeen) -> None:
        requested_us = self._requested_us
        is_first = self._rules.held is None
        interval_us = _FIRST_REQUEST_INTERVAL_US if is_first else _REQUEST_INTERVAL_US
        is_request_recent = (
            requested_us is not None and tick.now_us - requested_us < interval_us
        )
        is_busy = tick.now_us < self._busy_until_us.get(seen.node_id, 0)
        if self._is_missing(seen) and not is_request_recent and not is_busy:
            self._requested_us = tick.now_us
            me, rules = self._me, self._rules
            wanted = RulesWanted(
                me.node_id,
                me.peer_address,
                max(rules.held_version, rules.newest_seen_version),
                rules.held_version,
                rules.held_digest,
            )
            tick.emit(PeerSend(seen.address, wanted))

    def _answer(self, tick: Tick, wanted: RulesWanted) -> None:
        held = self._rules.held
        if held is None or held.version <= wanted.known_version:
            return
        sender = self._me.node_id
        delta = self._history.delta_from(
            sender, wanted.held_version, wanted.held_digest, held
        )
        if delta is not None:
            tick.emit(PeerSend(wanted.reply_to, delta))
        else:
            tick.emit(PeerSend(wanted.reply_to, self._text_or_busy(tick, held)))

    def _text_or_busy(self, tick: Tick, held: VersionRow) -> RulesShared | RulesBusy:
        """Return the whole text if this node's link has room for it.

        Whoever gets none asks the next peer that has received the text by
        then. So the whole of a mesh gets it in a few rounds.
        """
        sender, text = self._me.node_id, held.rules.text
        rate_mbps = self._contact.link_mbps or _DEFAULT_LINK_MBPS
        self._text_free_us = max(self._text_free_us, tick.now_us)
        backlog_us = self._text_free_us - tick.now_us
        if backlog_us > _MAX_TEXT_BACKLOG_US:
            return RulesBusy(sender, Micros(backlog_us))
        sent_bytes = len(text) // _TEXT_COMPRESSION
        self._text_free_us += int(sent_bytes * 8 / rate_mbps)
        return RulesShared(sender, held.version, text)


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
