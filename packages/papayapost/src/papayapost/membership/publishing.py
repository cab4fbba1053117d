"""Writes the directory of this data centre to the store."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership.digests import Digests
from papayapost.membership.members import MAX_DATA_CENTRES, Members
from papayapost.membership.messages import DirectoryChanged, RoleChanged
from papayapost.membership.parent_search import own_directory_key
from papayapost.membership.peer_messages import DataCentreName, DirectoryObject
from papayapost.membership.tables import TreeTables
from papayapost.observe import Event, Noted
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

__all__ = ["INDEX_KEY", "PublishDirectory"]

INDEX_KEY = ObjectKey(ObjectKind.DIRECTORY, "data-centres")

_OWN_REQUEST = StoreRequestId("membership/own")
_INDEX_REQUEST = StoreRequestId("membership/index")
_BATCH_DELAY_US = 1_000_000
_MIN_INTERVAL_US = 2_000_000
_STORED_ROW_BYTES = 25
_WRITE_BYTES_PER_SECOND = 5_000
_VERIFY_INTERVAL_US = 60_000_000
_OVERWRITE_DELAY_US = 120_000_000
_RETRY_MIN_US = 500_000
_RETRY_MAX_US = 10_000_000
_MAX_STORED_TOMBSTONES = 2_000


@define
class PublishDue:
    """Timer: write the directory if it differs from the stored one."""


@define
class VerifyDue:
    """Timer: read the stored directory again to verify it."""


class PublishDirectory(System):
    """On the top relay, writes the rows of its data centre when they change.

    Each write is a conditional update on the version that this node last
    read or wrote. The time to the next write grows with the number of rows
    written. After a conflict or a lost reply, the node reads the object
    again and writes only if it still differs. Two concurrent writers do no
    harm, because readers merge each row by its stamp.
    """

    consumes = (
        DirectoryChanged,
        ObjectRead,
        ObjectUpdated,
        PublishDue,
        RoleChanged,
        StoreReadFailed,
        UpdateConflicted,
        UpdateOutcomeUnknown,
        VerifyDue,
    )

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._key = own_directory_key(members)
        self._version: int | None = None
        self._stored_digest: int | None = None
        self._writing_digest = 0
        self._is_busy = False
        self._next_write_us = Micros(0)
        self._failures = 0
        self._store_lists_live_members = False
        self._promoted_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Process the answers of the store, then decide whether to write."""
        self._handle_answers(tick)
        if tick.take(RoleChanged):
            self._handle_role_change(tick)
        if not self._tree.is_top_relay:
            return
        if tick.take(VerifyDue):
            self._version = None
            tick.set_timer(
                "verify", Micros(tick.now_us + _VERIFY_INTERVAL_US), VerifyDue()
            )
            tick.emit(ReadObject(INDEX_KEY, _INDEX_REQUEST))
            self._schedule(tick, 0)
        if tick.take(DirectoryChanged) and self._differs_from_store():
            self._schedule(tick, _BATCH_DELAY_US)
        if tick.take(PublishDue):
            self._publish(tick)

    def _handle_role_change(self, tick: Tick) -> None:
        self._version = None
        self._promoted_us = tick.now_us
        if self._tree.is_top_relay:
            self._schedule(tick, _BATCH_DELAY_US)
            tick.set_timer(
                "verify", Micros(tick.now_us + _VERIFY_INTERVAL_US), VerifyDue()
            )
        else:
            tick.cancel_timer("publish")
            tick.cancel_timer("verify")

    def _publish(self, tick: Tick) -> None:
        if self._is_busy:
            return
        if self._version is None:
            self._is_busy = True
            tick.emit(ReadObject(self._key, _OWN_REQUEST))
            return
        if not self._differs_from_store() or self._must_not_overwrite(tick):
            return
        if tick.now_us < self._next_write_us:
            self._schedule(tick, 0)
            return
        image = self._image()
        self._writing_digest = self._current_digest()
        self._is_busy = True
        interval_us = self._interval_us(len(image.rows))
        self._next_write_us = Micros(tick.now_us + interval_us)
        tick.emit(UpdateObject(self._key, _OWN_REQUEST, self._version, image))

    def _must_not_overwrite(self, tick: Tick) -> bool:
        """Return whether this node should not overwrite the stored rows yet.

        This holds for a time after its promotion, if the store lists live
        members and this node knows none but itself: their addresses would
        be lost to other nodes that look for contacts.
        """
        members = self._members
        data_centre = members.me.place.data_centre
        live = members.directory.count("data_centre", data_centre)
        is_alone = live == 1 and not members.recent_deaths(tick.now_us)
        is_recently_promoted = tick.now_us - self._promoted_us < _OVERWRITE_DELAY_US
        return is_alone and self._store_lists_live_members and is_recently_promoted

    def _handle_answers(self, tick: Tick) -> None:
        for seen in tick.take(ObjectRead):
            if seen.request_id == _OWN_REQUEST:
                self._handle_read(tick, seen)
            elif seen.request_id == _INDEX_REQUEST:
                self._add_to_index(tick, seen)
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == _OWN_REQUEST:
                self._handle_write(tick, updated)
        self._handle_failures(tick)

    def _handle_failures(self, tick: Tick) -> None:
        for conflict in tick.take(UpdateConflicted):
            if conflict.request_id == _OWN_REQUEST:
                self._retry(tick)
            elif conflict.request_id == _INDEX_REQUEST:
                tick.emit(ReadObject(INDEX_KEY, _INDEX_REQUEST))
        for unknown in tick.take(UpdateOutcomeUnknown):
            if unknown.request_id == _OWN_REQUEST:
                self._retry(tick)
        for failed in tick.take(StoreReadFailed):
            if failed.request_id == _OWN_REQUEST:
                self._retry(tick)

    def _handle_read(self, tick: Tick, seen: ObjectRead) -> None:
        self._is_busy = False
        self._failures = 0
        self._version = seen.version
        self._stored_digest = None
        self._store_lists_live_members = False
        if isinstance(seen.value, DirectoryObject):
            self._stored_digest = _digest_of(seen.value)
            self._store_lists_live_members = any(
                not row.is_gone for row in seen.value.rows
            )
        if self._tree.is_top_relay and self._differs_from_store():
            self._schedule(tick, 0)

    def _handle_write(self, tick: Tick, updated: ObjectUpdated) -> None:
        self._is_busy = False
        self._failures = 0
        self._version = updated.version
        self._stored_digest = self._writing_digest
        detail = f"version {updated.version}"
        tick.emit(Noted(Event.DIRECTORY_STORED, detail=detail))
        tick.emit(ReadObject(INDEX_KEY, _INDEX_REQUEST))
        if self._tree.is_top_relay and self._differs_from_store():
            self._schedule(tick, _BATCH_DELAY_US)

    def _add_to_index(self, tick: Tick, seen: ObjectRead) -> None:
        """Add this data centre to the index in the store if it is missing."""
        place = self._members.me.place
        own = DataCentreName(place.data_centre, place.region)
        value = seen.value
        known = value.data_centres if isinstance(value, DirectoryObject) else ()
        if own in known or len(known) >= MAX_DATA_CENTRES:
            return
        image = DirectoryObject((*known, own), ())
        tick.emit(UpdateObject(INDEX_KEY, _INDEX_REQUEST, seen.version, image))

    def _retry(self, tick: Tick) -> None:
        self._is_busy = False
        self._version = None
        self._failures += 1
        ceiling_us = min(_RETRY_MIN_US << min(self._failures, 6), _RETRY_MAX_US)
        self._schedule(tick, tick.random.randrange(_RETRY_MIN_US, ceiling_us + 1))

    def _schedule(self, tick: Tick, pause_us: int) -> None:
        if not self._tree.is_top_relay:
            return
        due_us = max(tick.now_us + pause_us, self._next_write_us)
        tick.set_timer("publish", Micros(due_us), PublishDue())

    def _image(self) -> DirectoryObject:
        data_centre = self._members.me.place.data_centre
        rows = list(self._members.directory.find("data_centre", data_centre))
        gone_rows = [
            tombstone.row
            for tombstone in self._members.tombstones
            if tombstone.row.data_centre == data_centre
        ]
        return DirectoryObject((), (*rows, *gone_rows[-_MAX_STORED_TOMBSTONES:]))

    def _current_digest(self) -> int:
        return self._members.digests.of(self._members.me.place.data_centre)

    def _differs_from_store(self) -> bool:
        return self._stored_digest != self._current_digest()

    def _interval_us(self, rows: int) -> int:
        size_bytes = rows * _STORED_ROW_BYTES
        return max(_MIN_INTERVAL_US, size_bytes * 1_000_000 // _WRITE_BYTES_PER_SECOND)


def _digest_of(image: DirectoryObject) -> int:
    digests = Digests()
    for row in image.rows:
        if not row.is_gone:
            digests.put(row.data_centre, row.node_id, row.stamp)
    return digests.total
