"""Watches the directories of the other regions in the store."""

from papayapost.define import define
from papayapost.ids import DataCentreId, Micros
from papayapost.kernel import System, Tick
from papayapost.membership.members import MAX_DATA_CENTRES, Members
from papayapost.membership.messages import RoleChanged, RowsReceived
from papayapost.membership.peer_messages import DirectoryObject
from papayapost.membership.publishing import INDEX_KEY
from papayapost.membership.tables import TreeTables
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    StoreReadFailed,
    WatchObject,
)

__all__ = ["WatchDirectories"]

_RETRY_MIN_US = 500_000
_RETRY_MAX_US = 10_000_000
_ROWS_PER_MESSAGE = 512


@define
class WatchDue:
    """Timer: watch an object again after the store did not answer."""

    key: ObjectKey


class WatchDirectories(System):
    """On a link relay, watches the stored directories of other regions.

    The rows of the relay's own region arrive through the tree instead.
    """

    consumes = (ObjectRead, RoleChanged, StoreReadFailed, WatchDue)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._versions: dict[ObjectKey, int] = {}

    def run(self, tick: Tick) -> None:
        """Merge changed directories, and renew watches on a link relay."""
        for seen in tick.take(ObjectRead):
            is_watch = seen.request_id is None
            if is_watch and isinstance(seen.value, DirectoryObject):
                self._handle_object(tick, seen, seen.value)
        if tick.take(RoleChanged):
            self._handle_role_change(tick)
        for failed in tick.take(StoreReadFailed):
            if failed.request_id is None and failed.key in self._versions:
                pause_us = tick.random.randrange(_RETRY_MIN_US, _RETRY_MAX_US)
                due_us = Micros(tick.now_us + pause_us)
                tick.set_timer(("watch", failed.key), due_us, WatchDue(failed.key))
        for due in tick.take(WatchDue):
            self._watch(tick, due.key)

    def _handle_role_change(self, tick: Tick) -> None:
        if not self._tree.is_link_relay:
            self._versions.clear()
        elif not self._versions:
            self._watch(tick, INDEX_KEY)

    def _watch(self, tick: Tick, key: ObjectKey) -> None:
        if self._tree.is_link_relay:
            version = self._versions.setdefault(key, 0)
            tick.emit(WatchObject(key, version))

    def _handle_object(
        self, tick: Tick, seen: ObjectRead, image: DirectoryObject
    ) -> None:
        key = seen.key
        if key == INDEX_KEY:
            self._handle_index(tick, image)
        else:
            self._post_rows(tick, DataCentreId(key.name), image)
        if key in self._versions:
            self._versions[key] = seen.version
            self._watch(tick, key)

    def _handle_index(self, tick: Tick, image: DirectoryObject) -> None:
        region = self._members.me.place.region
        for item in image.data_centres[:MAX_DATA_CENTRES]:
            key = ObjectKey(ObjectKind.DIRECTORY, item.data_centre)
            if item.region != region and key not in self._versions:
                self._watch(tick, key)

    def _post_rows(
        self, tick: Tick, data_centre: DataCentreId, image: DirectoryObject
    ) -> None:
        rows = [row for row in image.rows if row.data_centre == data_centre]
        for start in range(0, len(rows), _ROWS_PER_MESSAGE):
            part = tuple(rows[start : start + _ROWS_PER_MESSAGE])
            tick.post(RowsReceived(None, None, part))
