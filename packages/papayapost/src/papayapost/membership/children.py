"""Accepts children, answers their heartbeats and detects failed ones."""

from papayapost.define import define
from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.budget import Budget
from papayapost.membership.heartbeats import HEARTBEAT_TIMEOUT_US, PAUSE_THRESHOLD_US
from papayapost.membership.members import Members
from papayapost.membership.messages import (
    ChildJoined,
    ChildLeft,
    ChildVersionChanged,
    DirectoryChanged,
    MemberSuspected,
    RowsReceived,
)
from papayapost.membership.peer_messages import (
    Contact,
    Detach,
    Heartbeat,
    HeartbeatAnswer,
    JoinAccepted,
    JoinRedirected,
    JoinRequest,
)
from papayapost.membership.ranking import MAX_CHILDREN, rank_key
from papayapost.membership.tables import BackendServerRow, ChildRow, TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState, MemberState

__all__ = ["AdmitChildren", "MonitorChildren"]

_CHILD_CHECK_INTERVAL_US = 1_000_000
_CHILD_TIMEOUT_US = 10_000_000
_JOINS_PER_SECOND = 15
_JOINS_BURST = 5
_DEFERRALS_PER_SECOND = 20
_DEFERRALS_BURST = 5
_RETRY_MIN_MS = 500
_RETRY_MAX_MS = 60_000
_SUPERSEDED_RETRY_MS = 200
_MAX_CONTACTS = 3
_BACKLOG_WINDOW_US = 5_000_000


@define
class ChildCheckDue:
    """Timer: look for children whose heartbeats have stopped."""


class AdmitChildren(System):
    """Accepts, redirects or defers each request to become a child.

    Requests beyond the join budget are answered with a delay that grows
    with the number of waiting nodes. Beyond a second budget they are not
    answered at all, so that the cost stays bounded when many nodes join at
    once.
    """

    consumes = (JoinRequest,)

    def __init__(self, members: Members, tree: TreeTables):
        self._me = members.me
        self._members = members
        self._tree = tree
        self._join_budget = Budget(_JOINS_PER_SECOND, _JOINS_BURST)
        self._deferral_budget = Budget(_DEFERRALS_PER_SECOND, _DEFERRALS_BURST)
        self._backlog: dict[NodeId, Micros] = {}

    def run(self, tick: Tick) -> None:
        """Answer the join requests."""
        for request in tick.take(JoinRequest):
            if request.row.node_id == request.sender != self._me.node_id:
                self._decide(tick, request)

    def _decide(self, tick: Tick, request: JoinRequest) -> None:
        row = request.row
        child = self._tree.children.get(row.node_id)
        if child is not None and child.incarnation == row.incarnation:
            self._accept_again(tick, child, request)
        elif not self._join_budget.take(1, tick.now_us):
            self._defer(tick, row)
        elif self._is_superseded(row):
            self._answer_superseded(tick, request)
        elif self._may_accept(request):
            self._accept(tick, request)
        else:
            self._redirect(tick, row, 0)

    def _may_accept(self, request: JoinRequest) -> bool:
        row, me = request.row, self._me
        ranks_above = rank_key(me.node_id) < rank_key(row.node_id)
        is_draining = self._members.own.state is BackendServerState.DRAINING
        has_room = len(self._tree.children) < MAX_CHILDREN
        if not ranks_above or is_draining or not has_room or row.is_gone:
            return False
        if row.region != me.place.region:
            return False
        ranking = self._members.ranking
        if request.accepts_any or ranking.is_suitable_parent(
            me.node_id, row.node_id, row.place
        ):
            return True
        return not self._contacts(row)

    def _is_superseded(self, row: BackendServerRow) -> bool:
        known = self._members.newest_row(row.node_id)
        return known is not None and known.precedence > row.precedence

    def _answer_superseded(self, tick: Tick, request: JoinRequest) -> None:
        """Send the newer known row back to the requesting node.

        That node refutes the newer row by raising its own revision above it.
        """
        row = request.row
        tick.post(RowsReceived(row.node_id, row.peer_address, (row,)))
        self._redirect(tick, row, _SUPERSEDED_RETRY_MS)

    def _accept_again(self, tick: Tick, child: ChildRow, request: JoinRequest) -> None:
        child.last_heard_us = tick.now_us
        child.state = MemberState.ALIVE
        self._send_accepted(tick, request.row, child.version)

    def _accept(self, tick: Tick, request: JoinRequest) -> None:
        row = request.row
        if not self._members.is_valid(row, tick.now_us):
            return
        tick.post(RowsReceived(row.node_id, row.peer_address, (row,)))
        last_version = self._tree.last_version(row.node_id)
        if self._tree.children.pop(row.node_id) is not None:
            tick.post(ChildLeft(row.node_id))
        child = ChildRow(
            row.node_id,
            row.peer_address,
            row.incarnation,
            request.version,
            request.digest,
            tick.now_us,
        )
        self._tree.children.put(row.node_id, child)
        self._backlog.pop(row.node_id, None)
        tick.post(ChildJoined(child))
        tick.emit(Noted(Event.CHILD_ACCEPTED, peer=row.node_id))
        self._send_accepted(tick, row, last_version)
        if len(self._tree.children) == 1:
            tick.set_timer(
                "child check",
                Micros(tick.now_us + _CHILD_CHECK_INTERVAL_US),
                ChildCheckDue(),
            )

    def _send_accepted(self, tick: Tick, row: BackendServerRow, last_version) -> None:
        tree, me = self._tree, self._me
        accepted = JoinAccepted(
            me.node_id,
            me.peer_address,
            last_version,
            tree.own_version,
            tree.own_digest,
        )
        tick.emit(PeerSend(row.peer_address, accepted))

    def _redirect(self, tick: Tick, row: BackendServerRow, retry_after_ms: int) -> None:
        contacts = () if retry_after_ms else tuple(self._contacts(row))
        self._send_redirected(tick, row, contacts, retry_after_ms)

    def _defer(self, tick: Tick, row: BackendServerRow) -> None:
        if not self._deferral_budget.take(1, tick.now_us):
            return
        backlog = self._backlog
        if not backlog:
            tick.emit(Noted(Event.JOINS_DEFERRED))
        backlog.pop(row.node_id, None)
        backlog[row.node_id] = tick.now_us
        self._expire_backlog(tick.now_us)
        backlog_ms = 1_000 * len(backlog) // _JOINS_PER_SECOND
        latest_ms = min(2 * _RETRY_MIN_MS + backlog_ms, _RETRY_MAX_MS)
        retry_after_ms = tick.random.randrange(_RETRY_MIN_MS, latest_ms)
        self._send_redirected(tick, row, (), retry_after_ms)

    def _expire_backlog(self, now_us: Micros) -> None:
        backlog = self._backlog
        while backlog:
            oldest = next(iter(backlog))
            if backlog[oldest] > now_us - _BACKLOG_WINDOW_US:
                return
            del backlog[oldest]

    def _send_redirected(
        self,
        tick: Tick,
        row: BackendServerRow,
        contacts: tuple[Contact, ...],
        retry_after_ms: int,
    ) -> None:
        me = self._me
        redirected = JoinRedirected(
            me.node_id,
            me.peer_address,
            contacts,
            self._tree.last_version(row.node_id),
            retry_after_ms,
        )
        tick.emit(PeerSend(row.peer_address, redirected))

    def _contacts(self, row: BackendServerRow) -> list[Contact]:
        ranked = self._members.ranking.parents_for(row.node_id, row.place)
        candidates = [n for n in ranked if n not in (self._me.node_id, row.node_id)]
        directory = self._members.directory
        return [
            Contact(node_id, directory.require(node_id).peer_address)
            for node_id in candidates[:_MAX_CONTACTS]
        ]


class MonitorChildren(System):
    """Answers heartbeats and removes children that left or failed."""

    consumes = (Detach, DirectoryChanged, Heartbeat, ChildCheckDue)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._last_check_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Process heartbeats first, then check which children are silent."""
        for heartbeat in tick.take(Heartbeat):
            self._handle_heartbeat(tick, heartbeat)
        for detach in tick.take(Detach):
            self._remove_child(tick, detach.sender)
        for changed in tick.take(DirectoryChanged):
            self._handle_changes(tick, changed)
        if tick.take(ChildCheckDue):
            self._check_children(tick)

    def _handle_heartbeat(self, tick: Tick, heartbeat: Heartbeat) -> None:
        tree, me = self._tree, self._members.me
        child = tree.children.get(heartbeat.sender)
        is_child = child is not None and child.incarnation == heartbeat.incarnation
        if child is not None and is_child:
            self._refresh(tick, child, heartbeat)
            address = child.address
        else:
            row = self._members.directory.get(heartbeat.sender)
            if row is None:
                return
            address = row.peer_address
        answer = HeartbeatAnswer(
            me.node_id,
            is_child,
            tree.own_version,
            tree.own_digest,
            self._members.digests.total,
        )
        tick.emit(PeerSend(address, answer))

    def _refresh(self, tick: Tick, child: ChildRow, heartbeat: Heartbeat) -> None:
        child.last_heard_us = tick.now_us
        child.state = MemberState.ALIVE
        self._tree.suspects.pop(child.node_id)
        if (child.version, child.digest) != (heartbeat.version, heartbeat.digest):
            child.version, child.digest = heartbeat.version, heartbeat.digest
            tick.post(ChildVersionChanged(child))

    def _handle_changes(self, tick: Tick, changed: DirectoryChanged) -> None:
        for row in changed.rows:
            child = self._tree.children.get(row.node_id)
            if child is None:
                continue
            if row.is_gone or row.incarnation > child.incarnation:
                self._remove_child(tick, row.node_id)

    def _remove_child(self, tick: Tick, node_id: NodeId) -> None:
        child = self._tree.children.pop(node_id)
        if child is not None:
            self._tree.remember_version(node_id, child.version, tick.now_us)
            tick.post(ChildLeft(node_id))
            tick.emit(Noted(Event.CHILD_LOST, peer=node_id))

    def _check_children(self, tick: Tick) -> None:
        now_us, children = tick.now_us, self._tree.children
        if now_us - self._last_check_us > _CHILD_CHECK_INTERVAL_US + PAUSE_THRESHOLD_US:
            # This process was paused, and the heartbeats sent meanwhile are
            # still unread: restart the timeout of every child.
            for child in children:
                child.last_heard_us = now_us
        self._last_check_us = now_us
        for child in list(children):
            silent_us = now_us - child.last_heard_us
            if silent_us > _CHILD_TIMEOUT_US:
                self._remove_child(tick, child.node_id)
            elif silent_us > HEARTBEAT_TIMEOUT_US and child.state is MemberState.ALIVE:
                child.state = MemberState.SUSPECT
                tick.post(MemberSuspected(child.node_id))
        if children:
            tick.set_timer(
                "child check",
                Micros(now_us + _CHILD_CHECK_INTERVAL_US),
                ChildCheckDue(),
            )
