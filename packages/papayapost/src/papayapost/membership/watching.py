"""Reads the directories of the other regions from the store."""

from dataclasses import dataclass

from papayapost.ids import DataCentreId, Micros
from papayapost.kernel import System, Tick
from papayapost.membership.members import MAX_DATA_CENTRES, Members
from papayapost.membership.messages import RoleChanged, RowsArrived
from papayapost.membership.peer_messages import DataCentreImage
from papayapost.membership.publishing import INDEX_KEY
from papayapost.membership.tables import TreeTables
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectSeen,
    StoreFailed,
    WatchObject,
)

__all__ = ["WatchDirectories"]

_RETRY_MIN_US = 500_000
_RETRY_MAX_US = 10_000_000
_ROWS_PER_MESSAGE = 512


@dataclass(slots=True)
class WatchDue:
    """Timer: watch an object again after the store failed."""

    key: ObjectKey


class WatchDirectories(System):
    """On a link relay, watches the directories of the other regions.

    The rows of its own region come through the tree.
    """

    consumes = (ObjectSeen, RoleChanged, StoreFailed, WatchDue)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._versions: dict[ObjectKey, int] = {}

    def run(self, tick: Tick) -> None:
        """Merge what is seen, and watch on while this node is a link relay."""
        for seen in tick.take(ObjectSeen):
            is_watch = seen.request_id is None
            if is_watch and isinstance(seen.value, DataCentreImage):
                self._see(tick, seen, seen.value)
        if tick.take(RoleChanged):
            self._change_role(tick)
        for failed in tick.take(StoreFailed):
            if failed.request_id is None and failed.key in self._versions:
                pause_us = tick.random.randrange(_RETRY_MIN_US, _RETRY_MAX_US)
                due_us = Micros(tick.now_us + pause_us)
                tick.set_timer(("watch", failed.key), due_us, WatchDue(failed.key))
        for due in tick.take(WatchDue):
            self._watch(tick, due.key)

    def _change_role(self, tick: Tick) -> None:
        if not self._tree.is_link_relay:
            self._versions.clear()
        elif not self._versions:
            self._watch(tick, INDEX_KEY)

    def _watch(self, tick: Tick, key: ObjectKey) -> None:
        if self._tree.is_link_relay:
            version = self._versions.setdefault(key, 0)
            tick.emit(WatchObject(key, version))

    def _see(self, tick: Tick, seen: ObjectSeen, image: DataCentreImage) -> None:
        key = seen.key
        if key == INDEX_KEY:
            self._see_index(tick, image)
        else:
            self._see_rows(tick, DataCentreId(key.name), image)
        if key in self._versions:
            self._versions[key] = seen.version
            self._watch(tick, key)

    def _see_index(self, tick: Tick, image: DataCentreImage) -> None:
        region = self._members.me.place.region
        for item in image.data_centres[:MAX_DATA_CENTRES]:
            key = ObjectKey(ObjectKind.DIRECTORY, item.data_centre)
            if item.region != region and key not in self._versions:
                self._watch(tick, key)

    def _see_rows(
        self, tick: Tick, data_centre: DataCentreId, image: DataCentreImage
    ) -> None:
        rows = [row for row in image.rows if row.data_centre == data_centre]
        for start in range(0, len(rows), _ROWS_PER_MESSAGE):
            part = tuple(rows[start : start + _ROWS_PER_MESSAGE])
            tick.post(RowsArrived(None, None, part))
