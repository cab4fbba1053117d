"""Systems that decide which nodes watch the store for others.

Roles follow from the directory of each node and from the reports of contact
with the store. Nodes that disagree on them for a moment only send or ask more
than needed, because versions come from the store alone.
"""

from papayapost.define import define
from papayapost.distribution.direct import DirectWatchRow, PeerRulesVersionSeen
from papayapost.distribution.messages import (
    CoverDue,
    PeersListed,
    StoreAnswered,
    StoreRegained,
    WatchRoleChanged,
)
from papayapost.distribution.peer_messages import StoreContact
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.start import StartDue
from papayapost.distribution.watch_ranks import WatchRanks
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership import (
    BackendServerRow,
    Directory,
    DirectoryChanged,
)
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import WatchRole

__all__ = ["AssignWatchRole", "FollowRelays"]

_DEPUTY_SILENCE_US = 1_100_000
_SILENCE_US = 1_400_000
_SILENCE_STEP_US = 50_000
"""Time without a report of contact after which a node watches the store.

Deputies are first, the others follow by rank. As each reports contact in its
turn, few fall back unless the store answers none of them.
"""

_MIN_FALLBACK_US = 2_000_000

_SETTLE_US = 300_000
_MAX_SETTLE_US = 1_000_000
"""Time without a new peer after which a node that starts has met its peers,
and longest time that it waits for them."""

_MAX_LIST_US = 2_500_000
"""Longest time that it waits for the store to tell it of its peers."""

_MAX_START_US = 4_000_000
"""Time in which a node that starts leaves the store to relays that report."""

_TURN_US = 400_000
_TURN_STEP_US = 100_000
_MAX_TURNS = 30
"""Time for which a node that has started waits for rules of its peers. Nodes
read them from the store by rank, as one reader is enough for a region."""

_MIN_GAIN_US = 20_000
"""How much nearer to the store a region must be for others to rely on it."""


@define
class SettleDue:
    """Timer: a node that has started has met its peers."""


class AssignWatchRole(System):
    """Makes this node a relay or deputy if it ranks high in its region.

    A node that starts knows no other at first, and would take itself for a
    relay. It therefore waits until the store has told it of its peers and it
    has met them. A node that loses the role goes on reading: a text that is
    half read has used the link already.
    """

    consumes = (DirectoryChanged, PeersListed, SettleDue, StartDue)

    def __init__(
        self,
        me: SelfRow,
        ranks: WatchRanks,
        rules: RulesTable,
        contact: DirectWatchRow,
    ):
        self._me = me
        self._ranks = ranks
        self._rules = rules
        self._contact = contact
        self._is_settled = False
        self._is_listed = False
        self._settle_by_us = 0

    def run(self, tick: Tick) -> None:
        """Take or leave the role; a former relay watches until covered."""
        for changed in tick.take(DirectoryChanged):
            self._ranks.refresh(changed.rows)
        if tick.take(SettleDue):
            self._is_settled = True
            if self._contact.role is WatchRole.STARTING:
                self._await_turn(tick)
        if self._is_settled:
            self._assign(tick)
        else:
            self._settle(tick)

    def _settle(self, tick: Tick) -> None:
        """Wait until no more peers are met, but not for long."""
        contact = self._contact
        if tick.take(StartDue):
            contact.starting_until_us = Micros(tick.now_us + _MAX_START_US)
            self._settle_by_us = tick.now_us + _MAX_LIST_US
        if tick.take(PeersListed):
            self._is_listed = True
            settle_by_us = tick.now_us + _MAX_SETTLE_US
            self._settle_by_us = min(self._settle_by_us, settle_by_us)
        due_us = self._settle_by_us
        if self._is_listed:
            due_us = min(due_us, tick.now_us + _SETTLE_US)
        tick.set_timer(SettleDue, Micros(due_us), SettleDue())

    def _await_turn(self, tick: Tick) -> None:
        """Set when this node is to read the rules itself if it has none."""
        position = self._ranks.position(self._me.node_id)
        delay_us = _TURN_US + min(position, _MAX_TURNS) * _TURN_STEP_US
        tick.set_timer(CoverDue, Micros(tick.now_us + delay_us), CoverDue())

    def _assign(self, tick: Tick) -> None:
        contact, rank = self._contact, self._ranks.own
        is_relay = self._me.node_id in rank.relays
        contact.is_deputy = self._me.node_id in rank.deputies
        if is_relay == contact.is_relay:
            return
        was_watching = contact.is_watching
        if is_relay:
            contact.role = WatchRole.RELAY
            tick.cancel_timer(CoverDue)
        else:
            contact.role = WatchRole.FALLBACK
        if contact.is_watching != was_watching:
            tick.post(WatchRoleChanged())


class FollowRelays(System):
    """Decides when this node relies on relays, and when on its own watch.

    A report counts only if the node holds the version that it names, so that
    a node which cannot fetch that version from its peers turns to the store.
    A relay relies on those of another region if they are clearly nearer to
    the store, so that the link between regions carries deltas alone.
    """

    consumes = (CoverDue, StoreContact)

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        ranks: WatchRanks,
        rules: RulesTable,
        contact: DirectWatchRow,
    ):
        self._me = me
        self._directory = directory
        self._ranks = ranks
        self._rules = rules
        self._contact = contact
        self._has_asked_above = False

    def run(self, tick: Tick) -> None:
        """Process the reports of relays, then fall back if there are none."""
        for report in tick.take(StoreContact):
            sender = self._directory.get(report.sender)
            if sender is None:
                continue
            is_near = sender.region == self._me.place.region
            if is_near and self._contact.watch_us is None:
                self._contact.watch_us = report.watch_us
            is_followed = self._outranks(report) if is_near else self._is_source(report)
            if is_followed and self._is_starting(tick):
                self._await_cover(tick)
            if report.version > self._rules.held_version:
                source = self._text_source(tick, sender) if is_near else sender
                version = report.version
                tick.post(PeerRulesVersionSeen.at(source, version, is_near))
            elif report.version and is_followed:
                self._record_cover(tick, is_near)
        if tick.take(CoverDue):
            self._end_cover(tick)

    def _is_starting(self, tick: Tick) -> bool:
        contact = self._contact
        is_early = tick.now_us < contact.starting_until_us
        return contact.role is WatchRole.STARTING and is_early

    def _text_source(self, tick: Tick, relay: BackendServerRow) -> BackendServerRow:
        """Return whom to ask for the rules that a relay has reported.

        A node that starts asks the one above it in a tree first, which may be
        about to get them itself: if all nodes of a region start, the link of a
        relay would take long to serve them all.
        """
        is_first = self._rules.held is None and not self._has_asked_above
        if not is_first or not self._is_starting(tick):
            return relay
        self._has_asked_above = True
        above = self._ranks.text_source(self._me.node_id)
        return (self._directory.get(above) if above else None) or relay

    def _outranks(self, report: StoreContact) -> bool:
        if self._contact.is_relay:
            return False
        own_position = self._ranks.position(self._me.node_id)
        return report.is_relay or self._ranks.position(report.sender) < own_position

    def _is_source(self, report: StoreContact) -> bool:
        """Return whether a relay of another region is nearer to the store."""
        contact = self._contact
        if not contact.is_relay or report.watch_us is None or contact.watch_us is None:
            return False
        return report.watch_us + _MIN_GAIN_US < contact.watch_us

    def _record_cover(self, tick: Tick, is_near: bool) -> None:
        contact = self._contact
        if contact.is_relay and not is_near:
            self._rely_on_source(tick)
        elif contact.role in (WatchRole.FALLBACK, WatchRole.STARTING):
            if tick.now_us >= contact.fallback_until_us:
                self._follow(tick)
        elif contact.role is WatchRole.FOLLOWER:
            if self._is_cover_late(tick):
                tick.post(StoreRegained())
            self._await_cover(tick)
        contact.covered_us = tick.now_us

    def _rely_on_source(self, tick: Tick) -> None:
        contact = self._contact
        if contact.role is WatchRole.RELAY:
            contact.role = WatchRole.REMOTE_RELAY
            contact.failures = 0
            tick.post(WatchRoleChanged())
        elif self._is_cover_late(tick):
            tick.post(StoreRegained())
        tick.post(StoreAnswered())
        due_us = Micros(tick.now_us + _DEPUTY_SILENCE_US)
        tick.set_timer(CoverDue, due_us, CoverDue())

    def _follow(self, tick: Tick) -> None:
        contact = self._contact
        contact.role = WatchRole.FOLLOWER
        if contact.failures:
            contact.failures = 0
            tick.post(StoreRegained())
        tick.post(WatchRoleChanged())
        self._await_cover(tick)

    def _is_cover_late(self, tick: Tick) -> bool:
        covered_us = self._contact.covered_us
        return covered_us is not None and tick.now_us - covered_us > _DEPUTY_SILENCE_US

    def _await_cover(self, tick: Tick) -> None:
        limit_us = _DEPUTY_SILENCE_US
        if not self._contact.is_deputy:
            position = self._ranks.position(self._me.node_id)
            limit_us = _SILENCE_US + min(position, _MAX_TURNS) * _SILENCE_STEP_US
        tick.set_timer(CoverDue, Micros(tick.now_us + limit_us), CoverDue())

    def _end_cover(self, tick: Tick) -> None:
        contact = self._contact
        if contact.role is WatchRole.REMOTE_RELAY:
            contact.role = WatchRole.RELAY
            detail = "no relay of the region nearer to the store reports contact"
        elif contact.role in (WatchRole.FOLLOWER, WatchRole.STARTING):
            contact.role = WatchRole.FALLBACK
            contact.fallback_until_us = Micros(tick.now_us + _MIN_FALLBACK_US)
            detail = "no relay of the region reports contact with the store"
        else:
            return
        tick.emit(Noted(Event.STORE_FALLBACK, detail=detail))
        tick.post(WatchRoleChanged())
