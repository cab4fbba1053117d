"""The system that gathers evidence that the rules in force are the newest.

A key that was removed from an account must stop working within a bound on
every node, also on one that has lost contact with the store or the other
nodes. A node therefore relies on the keys only while it has recent evidence
that the store holds no newer rules.
"""

from papayapost.define import define
from papayapost.distribution.direct import DirectWatchRow, PeerRulesVersionSeen
from papayapost.distribution.evidence import EchoRow, EvidenceTables
from papayapost.distribution.messages import CoverDue, RulesInForce
from papayapost.distribution.peer_messages import ContactEcho, StoreContact
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.source import RULES_KEY
from papayapost.ids import Address, Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import Directory
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.storage import ObjectRead, ObjectUnchanged

__all__ = ["ConfirmRules"]

_ECHO_INTERVAL_US = 500_000
_LATE_CHECK_US = 500_000
"""Interval at which late evidence is looked at again."""

_LATE_SHARE = 0.6
"""Age of the evidence, as a fraction of its limit, at which a node watches the
store itself although relays report contact."""


@define
class EvidenceLate:
    """Timer: the evidence that the rules are the newest is getting old."""


class ConfirmRules(System):
    """Keeps the evidence that no newer rules exist, from the store or relays.

    A watch or read counts from the time at which it was sent: the store may
    have answered any time after that. A relay's evidence counts by this node's
    own clock, which the relay knows from this node's echo. Otherwise a message
    that was long on its way would make evidence look newer than it is.

    Versions that peers hold count as known at once. While the store shows an
    older one, as it does after it has come back from an older copy, its
    answers are no evidence, neither here nor for those that get it from here.

    The load pattern that it answers: keys are removed while some nodes, among
    them relays, are refused by the store or cut off from the others.
    """

    consumes = (
        ContactEcho,
        EvidenceLate,
        ObjectRead,
        ObjectUnchanged,
        PeerRulesVersionSeen,
        RulesInForce,
        StoreContact,
    )

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        rules: RulesTable,
        contact: DirectWatchRow,
        tables: EvidenceTables,
    ):
        self._me = me
        self._directory = directory
        self._rules = rules
        self._contact = contact
        self._tables = tables
        self._last_echo_us: dict[NodeId, Micros] = {}
        self._was_fresh = True
        self._is_late_noted = False
        self._started_us: Micros | None = None

    def run(self, tick: Tick) -> None:
        """Record evidence, and exchange clocks with those who report it."""
        row = self._tables.row
        if row.limit_us is None:
            return
        if self._started_us is None:
            self._started_us = tick.now_us
        in_force = self._rules.version
        for seen in tick.take(PeerRulesVersionSeen):
            row.record_known(seen.version)
        reports = tick.take(StoreContact)
        for report in reports:
            row.record_known(report.version)
        self._apply_answers(tick, in_force)
        for report in reports:
            self._apply_report(tick, report, in_force)
        row.apply_in_force(in_force)
        for echo in tick.take(ContactEcho):
            self._record_echo(tick, echo)
        self._watch_age(tick, row.limit_us)

    def _apply_answers(self, tick: Tick, in_force: RuleVersion) -> None:
        """Record what the store has answered this node itself."""
        row = self._tables.row
        for seen in tick.take(ObjectRead):
            if seen.key == RULES_KEY and seen.asked_us is not None and seen.version:
                row.record(RuleVersion(seen.version), seen.asked_us, in_force)
        for unchanged in tick.take(ObjectUnchanged):
            if unchanged.key == RULES_KEY and unchanged.asked_us is not None:
                version = self._contact.unchanged_version
                row.record(version, unchanged.asked_us, in_force)

    def _apply_report(
        self, tick: Tick, report: StoreContact, in_force: RuleVersion
    ) -> None:
        confirmed = report.confirmed
        if confirmed is not None and confirmed.incarnation == self._me.incarnation:
            confirmed_us = Micros(min(confirmed.clock_us, tick.now_us))
            self._tables.row.record(report.version, confirmed_us, in_force)
        sender = self._directory.get(report.sender)
        if sender is not None and self._has_keys():
            self._send_echo(tick, report.sender, sender.peer_address)

    def _has_keys(self) -> bool:
        in_force = self._rules.in_force
        return in_force is not None and in_force.rules.access.requires_keys

    def _send_echo(self, tick: Tick, relay: NodeId, address: Address) -> None:
        last_us = self._last_echo_us.get(relay)
        if last_us is not None and tick.now_us - last_us < _ECHO_INTERVAL_US:
            return
        self._last_echo_us[relay] = tick.now_us
        echo = ContactEcho(self._me.node_id, self._me.incarnation, tick.now_us)
        tick.emit(PeerSend(address, echo))

    def _record_echo(self, tick: Tick, echo: ContactEcho) -> None:
        if echo.sender not in self._directory:
            return
        known = self._tables.echoes.get(echo.sender)
        is_new = known is None or known.incarnation != echo.incarnation
        self._tables.echoes.put(
            echo.sender,
            EchoRow(echo.sender, echo.incarnation, echo.clock_us, tick.now_us),
        )
        receiver = self._directory.get(echo.sender)
        if not is_new or receiver is None or not self._contact.is_announcing:
            return
        confirmed = self._tables.confirmation_for(echo.sender, tick.now_us)
        if confirmed is not None:
            contact = self._contact
            report = StoreContact(
                self._me.node_id,
                self._rules.held_version,
                contact.is_relay,
                contact.watch_us,
                confirmed,
                contact.era,
            )
            tick.emit(PeerSend(receiver.peer_address, report))

    def _watch_age(self, tick: Tick, limit_us: Micros) -> None:
        """Have this node watch the store if its evidence gets too old.

        Relays that report contact may still pass on no evidence, for example
        if this node's echoes do not reach them.
        """
        if not self._has_keys():
            return
        row = self._tables.row
        is_fresh = row.is_fresh(tick.now_us)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            version = self._rules.version
            if is_fresh:
                tick.emit(Noted(Event.KEYS_CONFIRMED, version=version))
            else:
                tick.emit(Noted(Event.KEYS_UNCERTAIN, version=version))
        since_us = self._started_us if row.confirmed_us is None else row.confirmed_us
        late_us = Micros((since_us or 0) + int(limit_us * _LATE_SHARE))
        if tick.now_us < late_us:
            self._is_late_noted = False
            tick.set_timer(EvidenceLate, late_us, EvidenceLate())
            return
        if tick.take(EvidenceLate) and not self._contact.is_watching:
            tick.post(CoverDue())
        if tick.take(EvidenceLate) or not self._is_late_noted:
            self._is_late_noted = True
            due_us = Micros(tick.now_us + _LATE_CHECK_US)
            tick.set_timer(EvidenceLate, due_us, EvidenceLate())
