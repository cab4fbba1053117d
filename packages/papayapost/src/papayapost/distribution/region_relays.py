"""Systems by which a few relays of a region watch the store for all its nodes.

The relays pass each change on and report each answer of the store. A node that
hears of no contact with the store watches the store itself. Roles follow from
the directory of each node. Nodes that disagree on them for a moment only send
or ask more than needed, because versions come from the store alone.
"""

from xxhash import xxh64_intdigest

from papayapost.define import define
from papayapost.distribution.change_history import ChangeHistory
from papayapost.distribution.deltas import DeltaChain
from papayapost.distribution.direct import DirectWatchRow, PeerRulesVersionSeen
from papayapost.distribution.line_edits import diff_lines
from papayapost.distribution.messages import (
    RulesCompiled,
    RulesInForce,
    StoreAnswered,
    StoreRegained,
    WatchRoleChanged,
)
from papayapost.distribution.peer_messages import RulesDelta, StoreContact
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.start import StartDue
from papayapost.errors import DeltaRefused
from papayapost.ids import Micros, NodeId, RegionId
from papayapost.kernel import System, Tick
from papayapost.membership import (
    BackendServerRow,
    Directory,
    DirectoryChanged,
    rank_key,
)
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import BackendServerState, WatchRole

__all__ = [
    "ApplyRelayedDeltas",
    "AssignWatchRole",
    "FollowRelays",
    "PushToRegion",
    "RecordChanges",
    "rank_region",
]

_RELAYS = 2
_DEPUTIES = 2

_DEPUTY_SILENCE_US = 1_100_000
_SILENCE_US = 1_400_000
_SILENCE_JITTER_US = 200_000
"""Time without a report of contact after which a node watches the store.

Deputies are first. As they report contact in their turn, the other nodes fall
back only if the deputies don't reach the store either.
"""

_MIN_FALLBACK_US = 2_000_000
_LEAVING_STATES = (BackendServerState.DRAINING, BackendServerState.GONE)


@define
class CoverDue:
    """Timer: no relay has reported contact with the store in time."""


def rank_region(directory: Directory, region: RegionId) -> list[BackendServerRow]:
    """Return the nodes of a region that may become relays, best first.

    Nodes with faster links come first: a relay reads the whole rules from the
    store, which on a slow link would hold up the calls of its VM.
    The highest-ranked nodes of all data centres come before the others, so
    that the loss of one data centre does not take all relays.
    """
    rows = [
        row
        for row in directory
        if row.region == region and row.state not in _LEAVING_STATES
    ]
    rows.sort(key=lambda row: (-row.link_mbps, rank_key(row.node_id)))
    firsts = {row.data_centre: row.node_id for row in reversed(rows)}
    return sorted(
        rows,
        key=lambda row: (-row.link_mbps, firsts[row.data_centre] != row.node_id),
    )


class AssignWatchRole(System):
    """Makes this node a relay or deputy if it ranks high in its region."""

    consumes = (StartDue, DirectoryChanged)

    def __init__(self, me: SelfRow, directory: Directory, contact: DirectWatchRow):
        self._me = me
        self._directory = directory
        self._contact = contact

    def run(self, tick: Tick) -> None:
        """Take or leave the role; a former relay watches until covered."""
        contact, node_id = self._contact, self._me.node_id
        ranked = rank_region(self._directory, self._me.place.region)
        heads = [row.node_id for row in ranked[: _RELAYS + _DEPUTIES]]
        is_relay = node_id in heads[:_RELAYS]
        contact.is_deputy = node_id in heads[_RELAYS:]
        if is_relay and contact.role is not WatchRole.RELAY:
            is_started = contact.is_watching
            contact.role = WatchRole.RELAY
            tick.cancel_timer(CoverDue)
            if not is_started:
                tick.post(WatchRoleChanged())
        elif not is_relay and contact.role is WatchRole.RELAY:
            contact.role = WatchRole.FALLBACK


class ApplyRelayedDeltas(System):
    """Applies the deltas of relays and peers to the text that is held."""

    consumes = (RulesDelta,)

    def __init__(self, rules: RulesTable, directory: Directory):
        self._rules = rules
        self._directory = directory

    def run(self, tick: Tick) -> None:
        """Offer the resulting text; a delta for another base is asked for."""
        chain = DeltaChain(self._rules)
        refused: list[RulesDelta] = []
        for delta in sorted(tick.take(RulesDelta), key=lambda item: item.version):
            if delta.version <= chain.version:
                continue
            try:
                chain.extend(delta)
            except DeltaRefused as error:
                refused.append(delta)
                self._note_refused(tick, delta, error)
        if chain.version > self._rules.held_version:
            tick.post(chain.to_offer())
        for delta in refused:
            sender = self._directory.get(delta.sender)
            if sender is not None and delta.version > chain.version:
                address = sender.peer_address
                seen = PeerRulesVersionSeen(delta.sender, address, delta.version)
                tick.post(seen)

    def _note_refused(self, tick: Tick, delta: RulesDelta, error: DeltaRefused) -> None:
        event, peer = Event.RULES_DELTA_REFUSED, delta.sender
        tick.emit(Noted(event, version=delta.version, peer=peer, detail=str(error)))


class RecordChanges(System):
    """Records the edits of each new version before it is put into force."""

    consumes = (RulesCompiled,)

    def __init__(
        self, rules: RulesTable, contact: DirectWatchRow, history: ChangeHistory
    ):
        self._rules = rules
        self._contact = contact
        self._history = history

    def run(self, tick: Tick) -> None:
        """Add the edits; only a node that passes rules on computes them."""
        held = self._rules.held
        for compiled in tick.take(RulesCompiled):
            row, edits = compiled.row, compiled.edits
            if row.version <= self._rules.held_version:
                continue
            if edits is None and held is not None and self._contact.is_announcing:
                edits = diff_lines(held.rules.text, row.rules.text)
            self._history.add(held, row, edits)


class PushToRegion(System):
    """Passes rules and contact with the store on to the nodes of the region.

    Each node gets the delta from one of the relays, which it shares with the
    other relays by rendezvous hash. All relays report each answer of the
    store, with the version that they hold, to all nodes.
    """

    consumes = (RulesInForce, StoreAnswered)

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        rules: RulesTable,
        contact: DirectWatchRow,
        history: ChangeHistory,
    ):
        self._me = me
        self._directory = directory
        self._rules = rules
        self._contact = contact
        self._history = history

    def run(self, tick: Tick) -> None:
        """Send the newest delta first, then the report of contact."""
        if not self._contact.is_announcing:
            return
        if tick.take(RulesInForce):
            self._push(tick)
        if tick.take(StoreAnswered):
            self._report_contact(tick)

    def _push(self, tick: Tick) -> None:
        me, held = self._me, self._rules.held
        delta = self._history.latest(me.node_id, held) if held else None
        if delta is None:
            return
        ranked = [row.node_id for row in rank_region(self._directory, me.place.region)]
        senders = ranked[:_RELAYS]
        if me.node_id not in senders:
            senders = ranked[_RELAYS : _RELAYS + _DEPUTIES]
        for row in self._neighbours():
            if row.node_id in senders:
                continue
            if _nearest(row.node_id, senders) == me.node_id:
                tick.emit(PeerSend(row.peer_address, delta))

    def _report_contact(self, tick: Tick) -> None:
        is_relay = self._contact.role is WatchRole.RELAY
        version = self._rules.held_version
        report = StoreContact(self._me.node_id, version, is_relay)
        for row in self._neighbours():
            tick.emit(PeerSend(row.peer_address, report))

    def _neighbours(self) -> list[BackendServerRow]:
        me = self._me
        return [
            row
            for row in self._directory
            if row.region == me.place.region and row.node_id != me.node_id
        ]


class FollowRelays(System):
    """Decides when this node relies on relays, and when on its own watch.

    A report counts only if the node holds the version that it names, so that
    a node which cannot fetch that version from its peers turns to the store.
    """

    consumes = (CoverDue, StoreContact)

    def __init__(
        self, directory: Directory, rules: RulesTable, contact: DirectWatchRow
    ):
        self._directory = directory
        self._rules = rules
        self._contact = contact

    def run(self, tick: Tick) -> None:
        """Process the reports of relays, then fall back if there are none."""
        for report in tick.take(StoreContact):
            if report.version > self._rules.held_version:
                self._await_version(tick, report)
            elif report.version and (report.is_relay or not self._contact.is_deputy):
                self._record_cover(tick)
        if tick.take(CoverDue) and self._contact.role is WatchRole.FOLLOWER:
            self._fall_back(tick)

    def _await_version(self, tick: Tick, report: StoreContact) -> None:
        sender = self._directory.get(report.sender)
        if sender is not None:
            address = sender.peer_address
            seen = PeerRulesVersionSeen(report.sender, address, report.version)
            tick.post(seen)

    def _record_cover(self, tick: Tick) -> None:
        contact = self._contact
        if contact.role is WatchRole.FALLBACK:
            if tick.now_us >= contact.fallback_until_us:
                self._follow(tick)
        elif contact.role is WatchRole.FOLLOWER:
            if self._is_cover_late(tick):
                tick.post(StoreRegained())
            self._await_cover(tick)
        contact.covered_us = tick.now_us

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
            limit_us = _SILENCE_US + tick.random.randrange(_SILENCE_JITTER_US)
        tick.set_timer(CoverDue, Micros(tick.now_us + limit_us), CoverDue())

    def _fall_back(self, tick: Tick) -> None:
        contact = self._contact
        contact.role = WatchRole.FALLBACK
        contact.fallback_until_us = Micros(tick.now_us + _MIN_FALLBACK_US)
        detail = "no relay of the region reports contact with the store"
        tick.emit(Noted(Event.STORE_FALLBACK, detail=detail))
        tick.post(WatchRoleChanged())


def _nearest(node_id: NodeId, senders: list[NodeId]) -> NodeId:
    return min(
        senders, key=lambda sender: xxh64_intdigest(f"{node_id}/{sender}".encode())
    )
