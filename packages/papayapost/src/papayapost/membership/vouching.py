"""Lets the relays notice a member that no living node has as its child."""

from dataclasses import dataclass

from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import (
    DirectoryChanged,
    MemberSuspected,
    RoleChanged,
)
from papayapost.membership.peer_messages import Vouch, Vouched
from papayapost.membership.tables import TreeTables
from papayapost.peering import PeerSend

__all__ = ["AuditDue", "AuditMembers", "VouchDue", "VouchForChildren"]

_VOUCH_US = 20_000_000
_AUDIT_US = 5_000_000
_OVERDUE_US = 70_000_000
_RETRY_US = 30_000_000
_SUSPECTS_PER_AUDIT = 8
_MAX_VOUCHED = 256


@dataclass(slots=True)
class VouchDue:
    """Timer: tell the relays who is alive here."""


@dataclass(slots=True)
class AuditDue:
    """Timer: look for members that nobody vouched for."""


class VouchForChildren(System):
    """Tells the relays of the data centre which children are alive.

    A parent and all its children can die together, so that nobody is left
    who would miss them. The relays miss the vouching instead.
    """

    consumes = (VouchDue,)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Vouch for the children and for this node itself."""
        if not tick.take(VouchDue):
            return
        pause_us = tick.random.randrange(_VOUCH_US * 3 // 4, _VOUCH_US)
        tick.set_timer("vouch", Micros(tick.now_us + pause_us), VouchDue())
        if not self._tree.children and not self._tree.is_relay:
            return
        me, members = self._members.me, self._members
        alive = [Vouched(me.node_id, self._tree.own_version)]
        for child in self._tree.children:
            row = members.directory.get(child.node_id)
            if row is not None and row.data_centre == me.place.data_centre:
                alive.append(Vouched(child.node_id, child.version))
        vouch = Vouch(me.node_id, tuple(alive))
        for relay in members.ranking.relays(me.place.data_centre):
            if relay == me.node_id:
                tick.post(vouch)
            else:
                address = members.directory.require(relay).peer_address
                tick.emit(PeerSend(address, vouch))


class AuditMembers(System):
    """On a relay, suspects the members that nobody vouched for of late."""

    consumes = (AuditDue, DirectoryChanged, RoleChanged, Vouch)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._vouched: dict[NodeId, Micros] = {}
        self._audited_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Keep the time of each member's last vouching, oldest first."""
        if tick.take(RoleChanged):
            self._restart(tick)
        if self._tree.is_relay:
            for changed in tick.take(DirectoryChanged):
                self._see_changes(tick, changed)
            for vouch in tick.take(Vouch):
                self._see_vouch(tick, vouch)
            if tick.take(AuditDue):
                self._audit(tick)

    def _restart(self, tick: Tick) -> None:
        if not self._tree.is_relay:
            self._vouched.clear()
            tick.cancel_timer("audit")
        elif not self._vouched:
            data_centre = self._members.me.place.data_centre
            for row in self._members.directory.find("data_centre", data_centre):
                self._vouched[row.node_id] = tick.now_us
            self._audited_us = tick.now_us
            self._schedule(tick)

    def _see_changes(self, tick: Tick, changed: DirectoryChanged) -> None:
        for row in changed.rows:
            if row.data_centre != self._members.me.place.data_centre:
                continue
            self._vouched.pop(row.node_id, None)
            if not row.is_gone:
                self._vouched[row.node_id] = tick.now_us

    def _see_vouch(self, tick: Tick, vouch: Vouch) -> None:
        for item in vouch.alive[:_MAX_VOUCHED]:
            if self._vouched.pop(item.node_id, None) is not None:
                self._vouched[item.node_id] = tick.now_us
                self._tree.remember_version(item.node_id, item.version, tick.now_us)

    def _audit(self, tick: Tick) -> None:
        if tick.now_us - self._audited_us > 2 * _AUDIT_US:
            # The process was paused; the vouches of that time are lost.
            for node_id in self._vouched:
                self._vouched[node_id] = tick.now_us
        self._audited_us = tick.now_us
        self._schedule(tick)
        self._vouched.pop(self._members.me.node_id, None)
        for _ in range(_SUSPECTS_PER_AUDIT):
            oldest = next(iter(self._vouched), None)
            if oldest is None or not self._is_overdue(tick, oldest):
                return
            del self._vouched[oldest]
            retried_us = tick.now_us - _OVERDUE_US + _RETRY_US
            self._vouched[oldest] = Micros(retried_us)
            tick.post(MemberSuspected(oldest))

    def _is_overdue(self, tick: Tick, node_id: NodeId) -> bool:
        return tick.now_us - self._vouched[node_id] > _OVERDUE_US

    def _schedule(self, tick: Tick) -> None:
        tick.set_timer("audit", Micros(tick.now_us + _AUDIT_US), AuditDue())
