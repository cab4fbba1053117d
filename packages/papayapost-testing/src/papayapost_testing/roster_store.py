"""A store for a simulated mesh, with the calls that a node's client makes."""

from collections.abc import Callable
from enum import Enum

from papayapost.ids import Address, Micros
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectRead,
    ObjectsListed,
    ObjectUnchanged,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreReading,
    UnwatchObject,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)
from papayapost_testing.region_link import RegionLink, Transfer, TransferProgress

__all__ = ["RosterStore", "StorePath", "StoreRequest"]

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


class RosterStore:
    """Answers the store effects of all nodes and records each call.

    A watch after no version begins with a read that is answered at once; any
    other waits for a change since its version for a limited time.

    Attributes
    ----------
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
        self._version = 0
        self._positions: dict[Address, int] = {}
        self._watches: dict[Address, WatchObject] = {}
        self._waiting: dict[Address, WatchObject] = {}
        self._asked_us: dict[Address, Micros] = {}

    def forget(self, address: Address) -> None:
        """End the watch of a process that is gone."""
        for table in (self._positions, self._watches, self._waiting):
            table.pop(address, None)

    def count(self, since_us: int = 0) -> int:
        """Return the number of calls at full price since a time."""
        stale = StoreRequest.STALE_LIST
        return sum(at >= since_us and kind is not stale for at, _, kind in self.calls)

    def callers(self, since_us: int) -> set[Address]:
        """Return the nodes that watched the rules since a time."""
        watch = StoreRequest.WATCH
        return {who for at, who, kind in self.calls if at >= since_us and kind is watch}

    def write(self, key: ObjectKey, value: object) -> int:
        """Store a value, answer the waiting watches, return the version."""
        self._version += 1
        self.objects[key] = (self._version, value)
        for address, watch in list(self._waiting.items()):
            if watch.key == key and self._path(address) is StorePath.OPEN:
                del self._waiting[address]
                self._answer_watch(address, watch)
        return self._version

    def apply_effect(self, address: Address, effect: object) -> None:
        """Process an effect of a node if it is a store call."""
        if isinstance(effect, WatchObject):
            self.forget_watch(address)
            self._watches[address] = effect
            self._positions[address] = effect.after_version
            self._poll(address, effect)
        elif isinstance(effect, UnwatchObject):
            self.forget_watch(address)
            self._positions.pop(address, None)
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
            self._finish(address, lambda: self._update(effect), unknown)

    def forget_watch(self, address: Address) -> None:
        """End the watch of a node; a call that waited loses its position."""
        self._watches.pop(address, None)
        if self._waiting.pop(address, None) is not None:
            self._positions.pop(address, None)

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
            message = answer()
            count = len(message.objects) if isinstance(message, ObjectsListed) else 1
            progress = TransferProgress(
                is_wanted=lambda: True,
                part_arrived=lambda: None,
                done=lambda: self._deliver(address, message),
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
        elif self._positions.get(address) == self.objects.get(watch.key, (0, None))[0]:
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

        def go_on() -> None:
            if self._watches.get(address) is watch:
                asked_us = self._asked_us[address]
                self._deliver(address, ObjectUnchanged(watch.key, asked_us))
            if self._watches.get(address) is watch:
                self._poll(address, watch)

        self._call_later(self._delay_us(address), go_on)

    def _answer_watch(self, address: Address, watch: WatchObject) -> None:
        version, value = self.objects.get(watch.key, (0, None))
        asked_us = self._asked_us[address]

        def answer() -> None:
            if self._watches.get(address) is watch:
                self._positions[address] = version
                read = ObjectRead(watch.key, version, value, None, asked_us)
                self._deliver(address, read)

        def fail() -> None:
            self._positions.pop(address, None)
            if is_wanted():
                self._deliver(address, StoreReadFailed(watch.key, "no answer"))

        def is_wanted() -> bool:
            return self._watches.get(address) is watch

        def part_arrived() -> None:
            self._deliver(address, StoreReading(watch.key))

        progress = TransferProgress(is_wanted, part_arrived, answer, fail)
        self._send(address, "rules", len(str(value)), progress)

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
        self._positions.pop(address, None)

        def fail() -> None:
            if self._watches.get(address) is watch:
                self._deliver(address, StoreReadFailed(watch.key, "no answer"))

        self._call_later(self.timeout_us if is_silent else _DELAY_US, fail)

    def _list(self, effect: ListObjects) -> ObjectsListed:
        found = tuple(
            ObjectRead(key, version, value)
            for key, (version, value) in self.objects.items()
            if key.kind is effect.kind
        )
        return ObjectsListed(effect.kind, effect.request_id, found, effect.may_be_stale)

    def _read(self, effect: ReadObject) -> ObjectRead:
        version, value = self.objects.get(effect.key, (0, None))
        return ObjectRead(effect.key, version, value, effect.request_id)

    def _failed(self, effect: ListObjects) -> StoreReadFailed:
        return StoreReadFailed(
            ObjectKey(effect.kind, ""), "no answer", effect.request_id
        )

    def _update(self, effect: UpdateObject) -> object:
        current = self.objects.get(effect.key, (0, None))[0]
        if current != effect.expected_version:
            return UpdateConflicted(effect.key, effect.request_id, current)
        version = self.write(effect.key, effect.value)
        return ObjectUpdated(effect.key, effect.request_id, version)
