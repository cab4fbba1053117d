"""Reports live members to the relays, which suspect unreported members."""

from papayapost.define import define
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import (
    DirectoryChanged,
    MemberSuspected,
    RoleChanged,
)
from papayapost.membership.peer_messages import LiveNode, Vouch
from papayapost.membership.tables import TreeTables
from papayapost.peering import PeerSend

__all__ = ["AuditDue", "AuditMembers", "LivenessReportDue", "ReportLiveChildren"]

_REPORT_INTERVAL_US = 20_000_000
_AUDIT_INTERVAL_US = 5_000_000
_REPORT_TIMEOUT_US = 70_000_000
_SUSPECT_RETRY_US = 30_000_000
_SUSPECTS_PER_AUDIT = 8
_MAX_REPORTED_MEMBERS = 256


@define
class LivenessReportDue:
    """Timer: report the live children to the relays."""


@define
class AuditDue:
    """Timer: look for members that no node has reported as alive."""


class ReportLiveChildren(System):
    """Reports the live children of this node to the relays of its data centre.

    If a parent and all its children fail together, no other node detects it
    by heartbeats. The relays detect it by the missing reports.
    """

    consumes = (LivenessReportDue,)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Report the children and this node itself as alive."""
        if not tick.take(LivenessReportDue):
            return
        pause_us = tick.random.randrange(
            _REPORT_INTERVAL_US * 3 // 4, _REPORT_INTERVAL_US
        )
        tick.set_timer(
            "liveness report", Micros(tick.now_us + pause_us), LivenessReportDue()
        )
        if not self._tree.children and not self._tree.is_relay:
            return
        me, members = self._members.me, self._members
        alive = [LiveNode(me.node_id, self._tree.own_version)]
        for child in self._tree.children:
            row = members.directory.get(child.node_id)
            if row is not None and row.data_centre == me.place.data_centre:
                alive.append(LiveNode(child.node_id, child.version))
        vouch = Vouch(me.node_id, tuple(alive))
        for relay in members.ranking.relays(me.place.data_centre):
            if relay == me.node_id:
                tick.post(vouch)
            else:
                address = members.directory.require(relay).peer_address
                tick.emit(PeerSend(address, vouch))


class AuditMembers(System):
    """On a relay, suspects members that were not reported alive recently."""

    consumes = (AuditDue, DirectoryChanged, RoleChanged, Vouch)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._last_reported_us: dict[NodeId, Micros] = {}
        self._last_audit_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Record when members were last reported alive, and check the times.

        Members are kept in the order of their last report, oldest first.
        """
        if tick.take(RoleChanged):
            self._restart(tick)
        if self._tree.is_relay:
            for changed in tick.take(DirectoryChanged):
                self._handle_changes(tick, changed)
            for vouch in tick.take(Vouch):
                self._handle_report(tick, vouch)
            if tick.take(AuditDue):
                self._audit(tick)

    def _restart(self, tick: Tick) -> None:
        if not self._tree.is_relay:
            self._last_reported_us.clear()
            tick.cancel_timer("audit")
        elif not self._last_reported_us:
            data_centre = self._members.me.place.data_centre
            for row in self._members.directory.find("data_centre", data_centre):
                self._last_reported_us[row.node_id] = tick.now_us
            self._last_audit_us = tick.now_us
            self._schedule(tick)

    def _handle_changes(self, tick: Tick, changed: DirectoryChanged) -> None:
        for row in changed.rows:
            if row.data_centre != self._members.me.place.data_centre:
                continue
            self._last_reported_us.pop(row.node_id, None)
            if not row.is_gone:
                self._last_reported_us[row.node_id] = tick.now_us

    def _handle_report(self, tick: Tick, vouch: Vouch) -> None:
        for item in vouch.alive[:_MAX_REPORTED_MEMBERS]:
            if self._last_reported_us.pop(item.node_id, None) is not None:
                self._last_reported_us[item.node_id] = tick.now_us
                self._tree.remember_version(item.node_id, item.version, tick.now_us)

    def _audit(self, tick: Tick) -> None:
        if tick.now_us - self._last_audit_us > 2 * _AUDIT_INTERVAL_US:
            # This process was paused and has not received the reports sent
            # meanwhile: restart the timeout of every member.
            for node_id in self._last_reported_us:
                self._last_reported_us[node_id] = tick.now_us
        self._last_audit_us = tick.now_us
        self._schedule(tick)
        self._last_reported_us.pop(self._members.me.node_id, None)
        for _ in range(_SUSPECTS_PER_AUDIT):
            oldest = next(iter(self._last_reported_us), None)
            if oldest is None or not self._is_overdue(tick, oldest):
                return
            # If no report arrives, the member is suspected again after
            # `_SUSPECT_RETRY_US`.
            del self._last_reported_us[oldest]
            retried_us = tick.now_us - _REPORT_TIMEOUT_US + _SUSPECT_RETRY_US
            self._last_reported_us[oldest] = Micros(retried_us)
            tick.post(MemberSuspected(oldest))

    def _is_overdue(self, tick: Tick, node_id: NodeId) -> bool:
        return tick.now_us - self._last_reported_us[node_id] > _REPORT_TIMEOUT_US

    def _schedule(self, tick: Tick) -> None:
        tick.set_timer("audit", Micros(tick.now_us + _AUDIT_INTERVAL_US), AuditDue())
