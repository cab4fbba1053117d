"""Systems that keep the directory of backend servers."""

from collections.abc import Sequence

from papayapost.ids import Address, Micros
from papayapost.kernel import System, Tick
from papayapost.membership.messages import (
    Announcement,
    DirectoryChanged,
    RefreshDue,
)
from papayapost.membership.tables import BackendServerRow, Directory
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["AnnounceToSeeds", "MergeAnnouncements"]

_REFRESH_US = 1_000_000


class AnnounceToSeeds(System):
    """Tells the seeds of this node's own row and asks for theirs."""

    consumes = (RefreshDue,)

    def __init__(self, me: SelfRow, seeds: Sequence[Address], directory: Directory):
        self._me = me
        self._seeds = tuple(seeds)
        self._directory = directory

    def run(self, tick: Tick) -> None:
        """Announce once per refresh period."""
        own = self._directory.get(self._me.node_id)
        rows = () if own is None else (own,)
        for seed in self._seeds:
            if seed != self._me.peer_address:
                message = Announcement(
                    self._me.node_id, self._me.peer_address, rows, True
                )
                tick.emit(PeerSend(seed, message))
        tick.set_timer("refresh", Micros(tick.now_us + _REFRESH_US), RefreshDue())


class MergeAnnouncements(System):
    """Merges announced rows and answers with the rows known here."""

    consumes = (Announcement,)

    def __init__(self, me: SelfRow, directory: Directory):
        self._me = me
        self._directory = directory

    def run(self, tick: Tick) -> None:
        """Keep the newest row of each node."""
        for announcement in tick.take(Announcement):
            changed = tuple(row for row in announcement.rows if self._merge(row))
            if changed:
                tick.post(DirectoryChanged(changed))
            if announcement.wants_reply:
                reply = Announcement(
                    self._me.node_id,
                    self._me.peer_address,
                    tuple(self._directory),
                    False,
                )
                tick.emit(PeerSend(announcement.reply_to, reply))

    def _merge(self, row: BackendServerRow) -> bool:
        known = self._directory.get(row.node_id)
        if known is not None and row.stamp <= known.stamp:
            return False
        self._directory.put(row.node_id, row)
        return True
