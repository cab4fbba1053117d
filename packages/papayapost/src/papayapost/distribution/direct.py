"""Systems that distribute the rules without a tree of relays.

Every node watches the store directly. A node that cannot reach the store
fetches the rules from a peer whose heartbeats show a newer version. A node
without peers still receives the rules from the store.
"""

from dataclasses import dataclass

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    RulesCompiled,
    RulesInForce,
    StoreRegained,
    TextOffered,
    WatchDue,
)
from papayapost.distribution.peer_messages import RulesShared, RulesWanted
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.source import RULES_KEY
from papayapost.distribution.start import StartDue
from papayapost.ids import Address, Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import StagedState
from papayapost.storage import ObjectRead, StoreReadFailed, WatchObject

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

_UNCHANGED_PAUSE_US = 100_000
"""Pause before the next watch if the store answered with a known version."""

_REQUEST_INTERVAL_US = 400_000
"""Shortest time between two requests for the rules to peers.

Several heartbeats show a new version before the answer to the first request
can arrive.
"""


@dataclass(slots=True)
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
    """

    failures: int = 0
    answered_us: Micros | None = None
    version: RuleVersion = RuleVersion(0)  # noqa: RUF009


@dataclass(slots=True)
class PeerRulesVersionSeen:
    """Internal: a heartbeat showed that a peer holds this rules version."""

    node_id: NodeId
    address: Address
    version: RuleVersion


class WatchStore(System):
    """Keeps one watch on the rules object and offers each newer text."""

    consumes = (StartDue, ObjectRead, StoreReadFailed, WatchDue)

    def __init__(self, rules: RulesTable, contact: DirectWatchRow):
        self._rules = rules
        self._contact = contact

    def run(self, tick: Tick) -> None:
        """Watch again after each answer; after a failure, back off first."""
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY:
                self._handle_answer(tick, seen)
        for failed in tick.take(StoreReadFailed):
            if failed.key == RULES_KEY:
                self._retry_later(tick, failed.reason)
        is_due, is_start = tick.take(WatchDue), tick.take(StartDue)
        if is_due or is_start:
            self._watch(tick)

    def _handle_answer(self, tick: Tick, seen: ObjectRead) -> None:
        contact = self._contact
        if contact.failures:
            detail = f"after {contact.failures} failures"
            tick.emit(Noted(Event.STORE_REGAINED, detail=detail))
            tick.post(StoreRegained())
        contact.failures = 0
        contact.answered_us = tick.now_us
        is_new_version = seen.version != contact.version
        contact.version = RuleVersion(seen.version)
        if isinstance(seen.value, str) and seen.version > self._rules.held_version:
            tick.post(TextOffered(RuleVersion(seen.version), seen.value))
        if is_new_version:
            self._watch(tick)
        else:
            # Without this pause, the node would poll in a busy loop a store
            # that answers at once with a known version.
            due_us = Micros(tick.now_us + _UNCHANGED_PAUSE_US)
            tick.set_timer(WatchDue, due_us, WatchDue())

    def _watch(self, tick: Tick) -> None:
        tick.emit(WatchObject(RULES_KEY, self._contact.version))

    def _retry_later(self, tick: Tick, reason: str) -> None:
        contact = self._contact
        if not contact.failures:
            tick.emit(Noted(Event.STORE_FAILED, detail=reason))
        pause_us = jittered_backoff_us(
            tick.random, contact.failures, _RETRY_MIN_US, _RETRY_MAX_US
        )
        contact.failures += 1
        tick.set_timer(WatchDue, Micros(tick.now_us + pause_us), WatchDue())


class ShareRules(System):
    """Requests newer rules from peers, and answers such requests of peers."""

    consumes = (PeerRulesVersionSeen, RulesWanted, RulesShared)

    def __init__(self, me: SelfRow, rules: RulesTable):
        self._me = me
        self._rules = rules
        self._requested_us: Micros | None = None

    def run(self, tick: Tick) -> None:
        """Offer received rules, answer requests and send one if needed."""
        for shared in tick.take(RulesShared):
            self._requested_us = None
            if shared.version > self._rules.held_version:
                tick.post(TextOffered(shared.version, shared.text))
        for wanted in tick.take(RulesWanted):
            self._answer(tick, wanted)
        for seen in tick.take(PeerRulesVersionSeen):
            self._request(tick, seen)

    def _request(self, tick: Tick, seen: PeerRulesVersionSeen) -> None:
        known_version = max(self._rules.held_version, self._rules.newest_seen_version)
        requested_us = self._requested_us
        is_request_recent = (
            requested_us is not None
            and tick.now_us - requested_us < _REQUEST_INTERVAL_US
        )
        if seen.version > known_version and not is_request_recent:
            self._requested_us = tick.now_us
            me = self._me
            wanted = RulesWanted(me.node_id, me.peer_address, known_version)
            tick.emit(PeerSend(seen.address, wanted))

    def _answer(self, tick: Tick, wanted: RulesWanted) -> None:
        held = self._rules.held
        if held is not None and held.version > wanted.known_version:
            shared = RulesShared(self._me.node_id, held.version, held.rules.text)
            tick.emit(PeerSend(wanted.reply_to, shared))


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
