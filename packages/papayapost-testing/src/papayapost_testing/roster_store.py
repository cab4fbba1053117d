"""A store for a simulated mesh, with the calls that a node's client makes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from papayapost.distribution import RULES_KEY
from papayapost.ids import Address, Micros, StoreEra
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectRead,
    ObjectsListed,
    ObjectUnchanged,
    ObjectUpdated,
    ReadObject,
    StoreEraChanged,
    StoreReadFailed,
    StoreReading,
    StoreRequestId,
    StoreVersion,
    UnwatchObject,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
    era_of,
    revision_of,
    version_at,
)
from papayapost_testing.region_link import RegionLink, Transfer, TransferProgress

__all__ = ["RosterStore", "StoreCopy", "StorePath", "StoreRequest"]

_DELAY_US = 4_000
_ENTRY_BYTES = 300


class StorePath(Enum):
    """What becomes of a node's calls of the store."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


class StoreRequest(Enum):
    """Kinds of calls that are counted."""

    WATCH = "watch"
    LIST = "list"
    STALE_LIST = "stale-list"
    UPDATE = "update"
    READ = "read"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that a store holds at one moment."""

    revision: int
    rules_number: int
    objects: dict[ObjectKey, tuple[int, object]]


@dataclass(slots=True)
class _Cursor:
    """From where the client of a node goes on to watch the rules."""

    position: StoreVersion
    version: int


class RosterStore:
    """Answers the store effects of all nodes and records each call.

    It counts its changes by revisions, and gives each revision out again
    after it has come back from an older copy, in a new era. A watch from a
    position of this era waits for a change for a limited time. Any other
    begins with a read that is answered at once.

    Attributes
    ----------
    objects
        Revision of the last change and value of each object.
    rules_number
        Number that the operator gave the newest rules.
    era
        The store's era, which its answers name.
    calls
        Time in µs, caller and kind of each call.
    paths
        State of the way to the store by node; open if absent.
    wait_us, timeout_us
        Time for which a watch waits, and for the answer beyond that.
    links
        Link that answers to a node pass, for nodes of another region.
    round_trip_us
        Round trip of those nodes to the store.
    clock_offsets_us
        How far the clock of a node is ahead of virtual time.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        call_later: Callable[[int, Callable[[], None]], None],
        deliver: Callable[[Address, object], None],
    ):
        self._clock = clock
        self._call_later = call_later
        self._deliver = deliver
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.calls: list[tuple[int, Address, StoreRequest]] = []
        self.paths: dict[Address, StorePath] = {}
        self.wait_us = 700_000
        self.timeout_us = 700_000
        self.links: dict[Address, RegionLink] = {}
        self.round_trip_us = 60_000
        self.clock_offsets_us: dict[Address, int] = {}
        self.rules_number = 0
        self.era = StoreEra(1)
        self._revision = 0
        self._known_eras: dict[Address, StoreEra] = {}
        self._cursors: dict[Address, _Cursor] = {}
        self._watches: dict[Address, WatchObject] = {}
        self._waiting: dict[Address, WatchObject] = {}
        self._asked_us: dict[Address, Micros] = {}

    def forget(self, address: Address) -> None:
        """End the watch of a process that is gone."""
        for table in (self._known_eras, self._cursors, self._watches, self._waiting):
            table.pop(address, None)

    def take_copy(self) -> StoreCopy:
        """Return all that the store holds now."""
        return StoreCopy(self._revision, self.rules_number, dict(self.objects))

    @property
    def revision(self) -> int:
        """Number of the latest change, in the era."""
        return self._revision

    def come_back(self, copy: StoreCopy, revision: int | None = None) -> None:
        """Replace all objects by those of a copy, and begin a new era.

        The store no longer has the history that the open watches wait for.

        Parameters
        ----------
        revision
            Revision from which the store goes on; that of the copy if None.
        """
        self.era = StoreEra(self.era + 1)
        self._revision = copy.revision if revision is None else revision
        self.rules_number, self.objects = copy.rules_number, dict(copy.objects)
        for address, watch in list(self._waiting.items()):
            del self._waiting[address]
            self._poll(address, watch)

    def count(self, since_us: int = 0) -> int:
        """Return the number of calls at full price since a time."""
        stale = StoreRequest.STALE_LIST
        return sum(at >= since_us and kind is not stale for at, _, kind in self.calls)

    def callers(self, since_us: int) -> set[Address]:
        """Return the nodes that watched the rules since a time."""
        watch = StoreRequest.WATCH
        return {who for at, who, kind in self.calls if at >= since_us and kind is watch}

    def write_rules(self, text: str, number: int | None = None) -> int:
        """Store rules with the operator's number, and return it.

        Without a number, they get the revision of this change.
        """
        self.rules_number = number or self._revision + 1
        self._write(RULES_KEY, text)
        return self.rules_number

    def _write(self, key: ObjectKey, value: object) -> None:
        self._revision += 1
        self.objects[key] = (self._revision, value)
        for address, watch in list(self._waiting.items()):
            if watch.key == key and self._path(address) is StorePath.OPEN:
                del self._waiting[address]
                self._answer_watch(address, watch)

    def apply_effect(self, address: Address, effect: object) -> None:
        """Process an effect of a node if it is a store call."""
        if isinstance(effect, WatchObject):
            self.forget_watch(address)
            self._watches[address] = effect
            cursor = self._cursors.get(address)
            if cursor is None or cursor.version != effect.after_version:
                cursor = _Cursor(effect.position, effect.after_version)
                self._cursors[address] = cursor
            self._poll(address, effect)
        elif isinstance(effect, UnwatchObject):
            self.forget_watch(address)
        elif isinstance(effect, ListObjects):
            stale = effect.may_be_stale
            self._note(address, StoreRequest.STALE_LIST if stale else StoreRequest.LIST)
            self._finish(address, lambda: self._list(effect), self._failed(effect))
        elif isinstance(effect, ReadObject):
            self._note(address, StoreRequest.READ)
            failure = StoreReadFailed(effect.key, "no answer", effect.request_id)
            self._finish(address, lambda: self._read(effect), failure)
        elif isinstance(effect, UpdateObject):
            self._note(address, StoreRequest.UPDATE)
            unknown = UpdateOutcomeUnknown(effect.key, effect.request_id, "no answer")
            self._finish(address, lambda: self._update(address, effect), unknown)

    def forget_watch(self, address: Address) -> None:
        """End the watch of a node."""
        self._watches.pop(address, None)
        self._waiting.pop(address, None)

    def _path(self, address: Address) -> StorePath:
        return self.paths.get(address, StorePath.OPEN)

    def _node_clock(self, address: Address) -> Micros:
        return Micros(self._clock() + self.clock_offsets_us.get(address, 0))

    def _note(self, address: Address, kind: StoreRequest) -> None:
        self.calls.append((self._clock(), address, kind))

    def _finish(
        self, address: Address, answer: Callable[[], object], failure: object
    ) -> None:
        path = self._path(address)
        if path is StorePath.OPEN:
            message, era = answer(), self.era
            count = len(message.objects) if isinstance(message, ObjectsListed) else 1
            progress = TransferProgress(
                is_wanted=lambda: True,
                part_arrived=lambda: None,
                done=lambda: self._deliver_answer(address, era, message),
                failed=lambda: self._deliver(address, failure),
            )
            self._send(address, "entries", count * _ENTRY_BYTES, progress)
        else:
            delay_us = self.timeout_us if path is StorePath.SILENT else _DELAY_US
            self._call_later(delay_us, lambda: self._deliver(address, failure))

    def _poll(self, address: Address, watch: WatchObject) -> None:
        self._note(address, StoreRequest.WATCH)
        self._asked_us[address] = self._node_clock(address)
        if self._path(address) is not StorePath.OPEN:
            self._fail_watch(address, watch)
        elif self._is_current(address, watch.key):
            self._waiting[address] = watch
            self._call_later(self.wait_us, lambda: self._end_wait(address, watch))
        else:
            self._answer_watch(address, watch)

    def _end_wait(self, address: Address, watch: WatchObject) -> None:
        if self._waiting.get(address) is not watch:
            return
        del self._waiting[address]
        if self._path(address) is not StorePath.OPEN:
            self._fail_watch(address, watch)
            return

        era = self.era

        def go_on() -> None:
            if self._watches.get(address) is watch:
                asked_us = self._asked_us[address]
                unchanged = ObjectUnchanged(watch.key, asked_us)
                self._deliver_answer(address, era, unchanged)
            if self._watches.get(address) is watch:
                self._poll(address, watch)

        self._call_later(self._delay_us(address), go_on)

    def _answer_watch(self, address: Address, watch: WatchObject) -> None:
        asked_us, era = self._asked_us[address], self.era
        read = self._read_object(watch.key, None, asked_us)
        cursor = _Cursor(version_at(era, self._revision), read.version)

        def answer() -> None:
            if self._watches.get(address) is watch:
                self._cursors[address] = cursor
                self._deliver_answer(address, era, read)

        def fail() -> None:
            if is_wanted():
                self._deliver(address, StoreReadFailed(watch.key, "no answer"))

        def is_wanted() -> bool:
            return self._watches.get(address) is watch

        def part_arrived() -> None:
            self._deliver(address, StoreReading(watch.key))

        progress = TransferProgress(is_wanted, part_arrived, answer, fail)
        self._send(address, "rules", len(str(read.value)), progress)

    def _delay_us(self, address: Address) -> int:
        return _DELAY_US + (self.round_trip_us if address in self.links else 0)

    def _send(
        self, address: Address, kind: str, size_bytes: int, progress: TransferProgress
    ) -> None:
        """Send an answer, over the link between regions if there is one."""
        link, delay_us = self.links.get(address), self._delay_us(address)
        if link is None:
            self._call_later(delay_us, progress.done)
            return

        def start() -> None:
            Transfer(link, kind, size_bytes, self.timeout_us, progress)

        self._call_later(delay_us, start)

    def _fail_watch(self, address: Address, watch: WatchObject) -> None:
        is_silent = self._path(address) is StorePath.SILENT

        def fail() -> None:
            if self._watches.get(address) is watch:
                self._deliver(address, StoreReadFailed(watch.key, "no answer"))

        self._call_later(self.timeout_us if is_silent else _DELAY_US, fail)

    def _deliver_answer(self, address: Address, era: StoreEra, answer: object) -> None:
        """Deliver an answer, after the news that it begins an era."""
        before = self._known_eras.get(address, StoreEra(0))
        if era > before:
            self._known_eras[address] = era
            if before:
                self._deliver(address, StoreEraChanged(before, era))
        self._deliver(address, answer)

    def _is_current(self, address: Address, key: ObjectKey) -> bool:
        """Return whether a watch of a node waits for the next change."""
        cursor, revision = self._cursors[address], self._revision_of(key)
        if not cursor.position:
            return not revision and not cursor.version
        is_of_era = era_of(cursor.position) == self.era
        return is_of_era and revision <= revision_of(cursor.position)

    def _revision_of(self, key: ObjectKey) -> int:
        return self.objects.get(key, (0, None))[0]

    def _version_of(self, key: ObjectKey) -> StoreVersion:
        return version_at(self.era, self._revision_of(key))

    def _read_object(
        self,
        key: ObjectKey,
        request_id: StoreRequestId | None = None,
        asked_us: Micros | None = None,
    ) -> ObjectRead:
        """Return an object as the store holds it now."""
        version = position = self._version_of(key)
        value = self.objects.get(key, (0, None))[1]
        if key == RULES_KEY:
            return ObjectRead(
                key, self.rules_number, value, request_id, asked_us, (), position
            )
        return ObjectRead(key, version, value, request_id, asked_us, (), position)

    def _list(self, effect: ListObjects) -> ObjectsListed:
        found = tuple(
            self._read_object(key) for key in self.objects if key.kind is effect.kind
        )
        return ObjectsListed(effect.kind, effect.request_id, found, effect.may_be_stale)

    def _read(self, effect: ReadObject) -> ObjectRead:
        return self._read_object(effect.key, effect.request_id)

    def _failed(self, effect: ListObjects) -> StoreReadFailed:
        return StoreReadFailed(
            ObjectKey(effect.kind, ""), "no answer", effect.request_id
        )

    def _update(self, address: Address, effect: UpdateObject) -> object:
        """Return the answer to an update, as a node's client makes it.

        A node that has not heard of the era sends the revision alone, which
        may be that of another change by now.
        """
        expected = StoreVersion(effect.expected_version)
        current = self._version_of(effect.key)
        heard = self._known_eras.get(address, self.era)
        if expected and era_of(expected) != heard:
            return UpdateConflicted(effect.key, effect.request_id, current)
        if expected and heard != self.era:
            if revision_of(expected) == revision_of(current):
                self._write(effect.key, effect.value)
            reason = "the store came back from an older copy"
            return UpdateOutcomeUnknown(effect.key, effect.request_id, reason)
        if current != expected:
            return UpdateConflicted(effect.key, effect.request_id, current)
        self._write(effect.key, effect.value)
        return ObjectUpdated(
            effect.key, effect.request_id, self._version_of(effect.key)
        )
