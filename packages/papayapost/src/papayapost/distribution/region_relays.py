"""Systems by which a few relays of a region pass the rules on to its nodes.

The relays watch the store for their region. They pass each change on and
report each answer of the store. `watch_roles` decides who is a relay.
"""

from xxhash import xxh64_intdigest

from papayapost.distribution.change_history import ChangeHistory
from papayapost.distribution.deltas import DeltaChain
from papayapost.distribution.direct import DirectWatchRow, PeerRulesVersionSeen
from papayapost.distribution.evidence import EvidenceTables
from papayapost.distribution.line_edits import diff_lines
from papayapost.distribution.messages import (
    RulesCompiled,
    RulesInForce,
    StoreAnswered,
)
from papayapost.distribution.peer_messages import RulesDelta, StoreContact
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.watch_ranks import WatchRanks
from papayapost.errors import DeltaRefused
from papayapost.ids import NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import (
    BackendServerRow,
    Directory,
)
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.states import WatchRole

__all__ = ["ApplyRelayedDeltas", "PushToRegion", "RecordChanges"]


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
                tick.post(PeerRulesVersionSeen.at(sender, delta.version))

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
    store, with the version that they hold, to all nodes. The relays of the
    other regions count as nodes of the region, unless this node itself relies
    on another region.
    """

    consumes = (RulesInForce, StoreAnswered)

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        ranks: WatchRanks,
        rules: RulesTable,
        contact: DirectWatchRow,
        history: ChangeHistory,
        evidence: EvidenceTables,
    ):
        self._me = me
        self._directory = directory
        self._ranks = ranks
        self._rules = rules
        self._contact = contact
        self._history = history
        self._evidence = evidence

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
        rank = self._ranks.own
        senders = next(
            (group for group in (rank.relays, rank.deputies) if me.node_id in group),
            [me.node_id],
        )
        for row in self._receivers():
            if row.node_id in senders:
                continue
            if _nearest(row.node_id, senders) == me.node_id:
                tick.emit(PeerSend(row.peer_address, delta))

    def _report_contact(self, tick: Tick) -> None:
        version, contact = self._rules.held_version, self._contact
        for row in self._receivers():
            confirmed = self._evidence.confirmation_for(row.node_id, tick.now_us)
            report = StoreContact(
                self._me.node_id,
                version,
                contact.is_relay,
                contact.watch_us,
                confirmed,
                contact.era,
            )
            tick.emit(PeerSend(row.peer_address, report))

    def _receivers(self) -> list[BackendServerRow]:
        me = self._me
        near = [
            row
            for row in self._directory
            if row.region == me.place.region and row.node_id != me.node_id
        ]
        is_source = self._contact.role is WatchRole.RELAY
        return near + (self._ranks.far_relays() if is_source else [])


def _nearest(node_id: NodeId, senders: list[NodeId]) -> NodeId:
    return min(
        senders, key=lambda sender: xxh64_intdigest(f"{node_id}/{sender}".encode())
    )
