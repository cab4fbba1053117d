"""Merges received rows into the directory and announces this node's row."""

from dataclasses import replace

from papayapost.ids import Address, Incarnation, Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership.members import Members, MergeResult
from papayapost.membership.messages import (
    DirectoryChanged,
    LeaveMesh,
    OwnRowChanged,
    RowsReceived,
    RowsToDisseminate,
)
from papayapost.membership.peer_messages import Announcement, DirectoryDelta
from papayapost.membership.tables import BackendServerRow, TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import BackendServerState

__all__ = ["AnnounceOwnRow", "MergeRows", "TombstoneExpiryDue"]

MAX_ROWS_PER_MESSAGE = 1_024
_TOMBSTONE_EXPIRY_INTERVAL_US = 60 * 1_000_000


class TombstoneExpiryDue:
    """Timer: remove the tombstones whose lifetime has ended."""


class MergeRows(System):
    """Merges received rows, so that the newest row of each member is kept.

    If a received row is older than the known one, the known one is sent
    back. A received row of this node itself that is newer than its own, for
    example one that reports it dead, is refuted: this node raises its
    revision above it and announces its own row again.
    """

    consumes = (Announcement, DirectoryDelta, RowsReceived, TombstoneExpiryDue)

    def __init__(self, members: Members):
        self._members = members

    def run(self, tick: Tick) -> None:
        """Merge the received rows and remove expired tombstones."""
        for announcement in tick.take(Announcement):
            self._answer(tick, announcement)
        for delta in tick.take(DirectoryDelta):
            self._merge(tick, RowsReceived(delta.sender, delta.reply_to, delta.rows))
        for received in tick.take(RowsReceived):
            self._merge(tick, received)
        if tick.take(TombstoneExpiryDue):
            self._members.expire_tombstones(tick.now_us)
            due_us = Micros(tick.now_us + _TOMBSTONE_EXPIRY_INTERVAL_US)
            tick.set_timer("tombstones", due_us, TombstoneExpiryDue())

    def _answer(self, tick: Tick, announcement: Announcement) -> None:
        sender, reply_to = announcement.sender, announcement.reply_to
        self._merge(tick, RowsReceived(sender, reply_to, announcement.rows))
        if announcement.wants_reply:
            self._send(tick, reply_to, (self._members.own,))

    def _merge(self, tick: Tick, received: RowsReceived) -> None:
        changed: list[BackendServerRow] = []
        newer: list[BackendServerRow] = []
        urgent: list[NodeId] = []
        refused = 0
        for row in received.rows[:MAX_ROWS_PER_MESSAGE]:
            before = self._members.directory.get(row.node_id)
            merged = self._members.merge(row, tick.now_us)
            if merged is MergeResult.CHANGED:
                changed.append(row)
                if _is_urgent(before, row):
                    urgent.append(row.node_id)
            elif merged is MergeResult.STALE:
                newer.append(self._newest_row(row.node_id))
            elif merged is MergeResult.ABOUT_SELF:
                self._refute(tick, row)
            elif merged is MergeResult.REFUSED:
                refused += 1
        if changed:
            tick.post(DirectoryChanged(tuple(changed)))
            self._post_dissemination(tick, received.source, changed, urgent)
        if newer and received.reply_to is not None:
            self._send(tick, received.reply_to, tuple(newer))
        if refused or len(received.rows) > MAX_ROWS_PER_MESSAGE:
            detail = f"{refused} of {len(received.rows)} rows exceed a limit"
            tick.emit(Noted(Event.ROWS_REFUSED, peer=received.source, detail=detail))

    def _newest_row(self, node_id: NodeId) -> BackendServerRow:
        known = self._members.newest_row(node_id)
        assert known is not None
        return known

    def _post_dissemination(
        self,
        tick: Tick,
        source: NodeId | None,
        changed: list[BackendServerRow],
        urgent: list[NodeId],
    ) -> None:
        if urgent:
            tick.post(RowsToDisseminate(source, tuple(urgent), True))
        waiting = tuple(r.node_id for r in changed if r.node_id not in urgent)
        if waiting:
            tick.post(RowsToDisseminate(source, waiting, False))

    def _refute(self, tick: Tick, row: BackendServerRow) -> None:
        own = replace(
            self._members.own,
            incarnation=Incarnation(row.incarnation),
            revision=row.revision + 1,
        )
        self._members.put_own(own)
        tick.emit(Noted(Event.DEATH_REFUTED, detail=f"revision {own.revision}"))
        tick.post(OwnRowChanged())

    def _send(
        self, tick: Tick, address: Address, rows: tuple[BackendServerRow, ...]
    ) -> None:
        me = self._members.me
        tick.emit(PeerSend(address, DirectoryDelta(me.node_id, me.peer_address, rows)))


class AnnounceOwnRow(System):
    """Announces changes of this node's own row, and that the node leaves."""

    consumes = (LeaveMesh, OwnRowChanged)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Announce this node's own row if it changed or if the node leaves."""
        me = self._members.me
        if tick.take(OwnRowChanged):
            own = self._members.own
            self._members.put_own(own)
            tick.post(DirectoryChanged((own,)))
            tick.post(RowsToDisseminate(me.node_id, (me.node_id,), True))
        if tick.take(LeaveMesh):
            self._leave(tick)

    def _leave(self, tick: Tick) -> None:
        """Notify the neighbours in this tick, the last one of the process."""
        me, own = self._members.me, self._members.own
        gone = replace(own, revision=own.revision + 1, state=BackendServerState.GONE)
        delta = DirectoryDelta(me.node_id, me.peer_address, (gone,))
        for _, address in self._tree.neighbours():
            tick.emit(PeerSend(address, delta))
        tick.emit(Noted(Event.MESH_LEFT))


def _is_urgent(before: BackendServerRow | None, row: BackendServerRow) -> bool:
    """Return whether calls to the node have to stop or go elsewhere."""
    if before is None:
        return False
    return row.is_gone or (before.service, before.peer_address, before.state) != (
        row.service,
        row.peer_address,
        row.state,
    )
