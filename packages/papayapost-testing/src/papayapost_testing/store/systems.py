"""Systems of the object store stand-in: faults, updates and reads."""

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost_testing.store.messages import (
    FaultsSet,
    ListedObject,
    ListRequested,
    ReadRequested,
    Reply,
    ReplyDelayed,
    ReplyDropped,
    ReplyReady,
    RequestAbandoned,
    UpdateRequested,
    WatchExpired,
)
from papayapost_testing.store.tables import (
    ObjectRow,
    ReplyKind,
    StoreTables,
    WatchRow,
)

__all__ = ["AnswerReads", "ApplyFaults", "ApplyUpdates", "SendReplies"]


class ApplyFaults(System):
    """Replaces the simulated faults; a store that is down drops watches."""

    consumes = (FaultsSet,)

    def __init__(self, tables: StoreTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Store the latest faults; drop all watches if the store is down."""
        tables = self._tables
        for message in tick.take(FaultsSet):
            tables.faults = message.faults
        if tables.faults.is_down:
            for watch in list(tables.watches):
                tables.watches.pop(watch.number)
                tick.emit(ReplyDropped(watch.number))


class ApplyUpdates(System):
    """Applies conditional updates and answers the watches of the object."""

    consumes = (UpdateRequested,)

    def __init__(self, tables: StoreTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Apply the updates in the order in which they were received."""
        for update in tick.take(UpdateRequested):
            if self._tables.faults.is_down:
                tick.post(ReplyReady(update.number, ReplyKind.UNAVAILABLE))
                continue
            self._apply(tick, update)

    def _apply(self, tick: Tick, update: UpdateRequested) -> None:
        tables = self._tables
        tables.counts.writes += 1
        tables.counts.written_bytes += len(update.value)
        row = tables.objects.get(update.path)
        current_version = row.version if row else 0
        if update.expected_version != current_version:
            tables.counts.conflicts += 1
            tick.post(ReplyReady(update.number, ReplyKind.CONFLICT, current_version))
            return
        tables.last_version += 1
        tables.counts.written_us[update.path] = tick.now_us
        previous_value = row.value if row else b""
        changed = ObjectRow(
            update.path,
            tables.last_version,
            update.value,
            current_version,
            previous_value,
        )
        tables.objects.put(update.path, changed)
        reply = ReplyReady(update.number, ReplyKind.VALUE, changed.version)
        reply.is_update = True
        tick.post(reply)
        if not tables.faults.is_stale:
            self._answer_watches(tick, changed)

    def _answer_watches(self, tick: Tick, row: ObjectRow) -> None:
        for watch in self._tables.watches.find("path", row.path):
            self._tables.watches.pop(watch.number)
            tick.cancel_timer(watch.number)
            tick.post(ReplyReady(watch.number, ReplyKind.VALUE, row.version, row.value))


class AnswerReads(System):
    """Answers reads, and holds watches until the object changes."""

    consumes = (ListRequested, ReadRequested, RequestAbandoned, WatchExpired)

    def __init__(self, tables: StoreTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Answer reads and listings, and end watches.

        A watch ends when its client closes the connection or its wait is over.
        """
        for request in tick.take(ReadRequested):
            if self._tables.faults.is_down:
                tick.post(ReplyReady(request.number, ReplyKind.UNAVAILABLE))
                continue
            self._tables.counts.reads += 1
            self._answer(tick, request)
        for listing in tick.take(ListRequested):
            if self._tables.faults.is_down:
                tick.post(ReplyReady(listing.number, ReplyKind.UNAVAILABLE))
                continue
            self._tables.counts.reads += 1
            self._list(tick, listing)
        for abandoned in tick.take(RequestAbandoned):
            if self._tables.watches.pop(abandoned.number):
                tick.cancel_timer(abandoned.number)
        for expired in tick.take(WatchExpired):
            if self._tables.watches.pop(expired.number):
                tick.post(ReplyReady(expired.number, ReplyKind.NOT_MODIFIED))

    def _list(self, tick: Tick, request: ListRequested) -> None:
        listed = {}
        for path in [row.path for row in self._tables.objects]:
            if path.startswith(request.prefix):
                name = path.removeprefix(request.prefix)
                listed[name] = ListedObject(*self._visible_object(path))
        tick.post(ReplyReady(request.number, ReplyKind.VALUE, listed=listed))

    def _answer(self, tick: Tick, request: ReadRequested) -> None:
        version, value = self._visible_object(request.path)
        if request.known_version is not None and request.known_version == version:
            watch = WatchRow(request.number, request.path, version)
            self._tables.watches.put(request.number, watch)
            due_us = Micros(tick.now_us + request.wait_ms * 1_000)
            tick.set_timer(request.number, due_us, WatchExpired(request.number))
        elif version == 0:
            tick.post(ReplyReady(request.number, ReplyKind.MISSING))
        else:
            tick.post(ReplyReady(request.number, ReplyKind.VALUE, version, value))

    def _visible_object(self, path: str) -> tuple[int, bytes]:
        row = self._tables.objects.get(path)
        if row is None:
            return 0, b""
        if self._tables.faults.is_stale:
            return row.stale_version, row.stale_value
        return row.version, row.value


class SendReplies(System):
    """Sends answers, or delays or drops them if a fault requires it."""

    consumes = (ReplyReady, ReplyDelayed)

    def __init__(self, tables: StoreTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Send, delay or drop each answer.

        A frozen store sends no answer and keeps the connection open.
        """
        for delayed in tick.take(ReplyDelayed):
            self._send(tick, delayed.reply)
        faults = self._tables.faults
        for ready in tick.take(ReplyReady):
            if faults.is_frozen:
                continue
            if ready.is_update and faults.lost_replies:
                faults.lost_replies -= 1
                tick.emit(ReplyDropped(ready.number))
                continue
            if faults.slow_ms:
                self._delay(tick, ready)
                continue
            self._send(tick, ready)

    def _send(self, tick: Tick, ready: ReplyReady) -> None:
        self._tables.counts.read_bytes += len(ready.value)
        reply = Reply(ready.number, ready.kind, ready.version, ready.value)
        reply.listed = ready.listed
        tick.emit(reply)

    def _delay(self, tick: Tick, ready: ReplyReady) -> None:
        due_us = Micros(tick.now_us + self._tables.faults.slow_ms * 1_000)
        tick.set_timer(("delayed", ready.number), due_us, ReplyDelayed(ready))
