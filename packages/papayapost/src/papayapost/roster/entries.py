"""Systems that write this node's store entry and read those of all nodes."""

from papayapost.distribution import PeersListed, StoreEraBegun, StoreRegained
from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.roster.messages import (
    CheckDue,
    EntryDue,
    EntryUnchecked,
    ReadDue,
    RosterStarted,
)
from papayapost.roster.peers import Peers
from papayapost.roster.tables import EntryState, RosterEntry, RosterTables
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectsListed,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

__all__ = ["ReadEntries", "WriteOwnEntry"]

_WRITE_ID = StoreRequestId("roster/entry")
_READ_ID = StoreRequestId("roster/own-entry")
_LIST_ID = StoreRequestId("roster/entries")
_CHECK_TIMER = "roster entry check"

_MIN_RETRY_DELAY_US = 150_000
_MAX_RETRY_DELAY_US = 1_000_000
"""Largest retry delay. Entries that the store lost in an outage must be back
within 2 s of its end."""

_MAX_READ_RETRY_DELAY_US = 1_700_000
"""Largest retry delay of a read, which precedes such a write."""

_ERA_SPREAD_US = 500_000
"""Time over which the nodes read their entries after the store has come back
from an older copy. All of them learn of that at the same time."""

_READ_INTERVAL_US = 15_000_000
_READ_INTERVAL_ALONE_US = 2_000_000


class WriteOwnEntry(System):
    """Writes this node's entry until the store is known to hold it.

    A write without an answer is repeated. The unanswered write may still take
    effect later. That is harmless, because it is conditional on the version
    of the entry and would write the same value.
    """

    consumes = (
        CheckDue,
        EntryDue,
        EntryUnchecked,
        ObjectRead,
        ObjectsListed,
        ObjectUpdated,
        RosterStarted,
        StoreEraBegun,
        StoreReadFailed,
        StoreRegained,
        UpdateConflicted,
        UpdateOutcomeUnknown,
    )

    def __init__(self, roster: RosterTables):
        self._roster = roster
        self._failures = 0

    def run(self, tick: Tick) -> None:
        """Process the store's answers, then write the entry if needed."""
        self._process_answers(tick)
        for listed in tick.take(ObjectsListed):
            if listed.request_id == _LIST_ID:
                self._check_listed_entry(tick, listed)
        for seen in tick.take(ObjectRead):
            if seen.request_id == _READ_ID:
                self._check_entry(tick, seen if seen.version else None)
        is_failed = any(
            failed.request_id == _READ_ID for failed in tick.take(StoreReadFailed)
        )
        if tick.take(EntryUnchecked) or is_failed:
            self._retry_check(tick)
        is_regained, is_check_due = tick.take(StoreRegained), tick.take(CheckDue)
        if tick.take(StoreEraBegun):
            due_us = Micros(tick.now_us + tick.random.randrange(_ERA_SPREAD_US))
            tick.set_timer(_CHECK_TIMER, due_us, CheckDue())
        elif is_regained or is_check_due:
            tick.cancel_timer(_CHECK_TIMER)
            # The store may have lost the entry in its outage. It is read by
            # itself, as all nodes do so at the same time.
            key = ObjectKey(ObjectKind.ENTRY, self._roster.me.node_id)
            tick.emit(ReadObject(key, _READ_ID))
        is_due, is_start = tick.take(EntryDue), tick.take(RosterStarted)
        if (is_due or is_start) and self._roster.entry is EntryState.UNWRITTEN:
            self._write(tick)

    def _process_answers(self, tick: Tick) -> None:
        for updated in tick.take(ObjectUpdated):
            if updated.request_id == _WRITE_ID:
                self._record_stored(tick, updated.version)
        for conflict in tick.take(UpdateConflicted):
            if conflict.request_id == _WRITE_ID:
                # An earlier process of this node wrote an entry. The read that
                # follows shows whether it has the same value.
                self._record_stored(tick, conflict.current_version)
        for unknown in tick.take(UpdateOutcomeUnknown):
            if unknown.request_id == _WRITE_ID:
                self._retry(tick, unknown.reason)

    def _write(self, tick: Tick) -> None:
        roster = self._roster
        roster.entry = EntryState.WRITING
        key = ObjectKey(ObjectKind.ENTRY, roster.me.node_id)
        version = roster.entry_version
        tick.emit(UpdateObject(key, _WRITE_ID, version, roster.own_entry))

    def _record_stored(self, tick: Tick, version: int) -> None:
        self._roster.entry = EntryState.STORED
        self._roster.entry_version = version
        self._failures = 0
        tick.post(ReadDue(may_be_stale=False))

    def _retry(self, tick: Tick, reason: str) -> None:
        self._roster.entry = EntryState.UNWRITTEN
        delay_us = jittered_backoff_us(
            tick.random, self._failures, _MIN_RETRY_DELAY_US, _MAX_RETRY_DELAY_US
        )
        self._failures += 1
        tick.emit(Noted(Event.ENTRY_UNCERTAIN, detail=reason))
        tick.set_timer("roster entry", Micros(tick.now_us + delay_us), EntryDue())

    def _retry_check(self, tick: Tick) -> None:
        delay_us = jittered_backoff_us(
            tick.random, self._failures, _MIN_RETRY_DELAY_US, _MAX_READ_RETRY_DELAY_US
        )
        self._failures += 1
        due_us = Micros(tick.now_us + delay_us)
        tick.set_timer(_CHECK_TIMER, due_us, CheckDue())

    def _check_listed_entry(self, tick: Tick, listed: ObjectsListed) -> None:
        roster = self._roster
        name = roster.me.node_id
        own = next((seen for seen in listed.objects if seen.key.name == name), None)
        is_right = own is not None and own.value == roster.own_entry
        if not listed.may_be_stale:
            self._check_entry(tick, own)
        elif not is_right and roster.entry is not EntryState.WRITING:
            tick.post(ReadDue(may_be_stale=False))

    def _check_entry(self, tick: Tick, own: ObjectRead | None) -> None:
        """Write the entry again if the store does not hold it as it should."""
        roster = self._roster
        if roster.entry is EntryState.WRITING:
            return
        self._failures = 0
        roster.entry_version = own.version if own else 0
        if own is not None and own.value == roster.own_entry:
            return
        roster.entry = EntryState.UNWRITTEN
        detail = "differs" if own else "is missing"
        tick.emit(Noted(Event.ENTRY_REWRITTEN, detail=f"the stored entry {detail}"))
        tick.post(EntryDue())


class ReadEntries(System):
    """Adds the nodes whose entries the store holds as peers.

    A node that starts writes its own entry before it reads the others. So if
    two nodes start at the same time, the one that reads last finds the other.
    """

    consumes = (ObjectsListed, ReadDue, StoreReadFailed)

    def __init__(self, roster: RosterTables, peers: Peers):
        self._roster = roster
        self._peers = peers
        self._failures = 0
        self._is_listed = False

    def run(self, tick: Tick) -> None:
        """Add peers from the listed entries; read again later."""
        for listed in tick.take(ObjectsListed):
            if listed.request_id == _LIST_ID:
                self._add_peers(tick, listed)
        for failed in tick.take(StoreReadFailed):
            if failed.request_id == _LIST_ID:
                self._retry(tick)
        due = tick.take(ReadDue)
        if due:
            may_be_stale = all(item.may_be_stale for item in due)
            tick.emit(ListObjects(ObjectKind.ENTRY, _LIST_ID, may_be_stale))

    def _add_peers(self, tick: Tick, listed: ObjectsListed) -> None:
        self._failures = 0
        if not self._is_listed:
            self._is_listed = True
            tick.post(PeersListed())
        roster = self._roster
        for seen in listed.objects:
            if isinstance(seen.value, RosterEntry):
                roster.add_peer(seen.value, tick.now_us)
        self._peers.greet_partners(tick)
        is_alone = len(roster.directory) == 1
        self._schedule(
            tick, _READ_INTERVAL_ALONE_US if is_alone else _READ_INTERVAL_US, True
        )

    def _retry(self, tick: Tick) -> None:
        if self._is_listed:
            # The other nodes are known, but the own entry may be lost.
            self._schedule(tick, _READ_INTERVAL_US, True)
            tick.post(EntryUnchecked())
            return
        delay_us = jittered_backoff_us(
            tick.random, self._failures, _MIN_RETRY_DELAY_US, _MAX_READ_RETRY_DELAY_US
        )
        self._failures += 1
        self._schedule(tick, delay_us, False)

    def _schedule(self, tick: Tick, delay_us: int, may_be_stale: bool) -> None:
        delay_us = tick.random.randrange(delay_us * 3 // 4, delay_us + 1)
        due_us = Micros(tick.now_us + delay_us)
        tick.set_timer("roster read", due_us, ReadDue(may_be_stale))
