"""Systems of the load generator: entry nodes, arrivals and results."""

from itertools import accumulate

from papayapost.ids import Address, IdempotencyKey, Micros
from papayapost.kernel import System, Tick
from papayapost_testing.load.messages import (
    ArrivalDue,
    CallEnded,
    CallSend,
    EntryClosed,
    EntryOpened,
    RateSet,
)
from papayapost_testing.load.tables import (
    CallNumber,
    CallRow,
    EntryRow,
    LoadTables,
    Verdict,
)

__all__ = ["CompleteCalls", "GenerateCalls", "TrackEntryNodes"]


class TrackEntryNodes(System):
    """Maintains the table of entry nodes that callers may use."""

    consumes = (EntryOpened, EntryClosed, CallEnded)

    def __init__(self, tables: LoadTables):
        self._entries = tables.entries
        self._calls = tables.calls

    def run(self, tick: Tick) -> None:
        """Add and remove entry nodes.

        An entry node that refuses or closes a connection is removed too.
        """
        for opened in tick.take(EntryOpened):
            self._entries.put(opened.address, EntryRow(opened.address))
        for closed in tick.take(EntryClosed):
            self._entries.pop(closed.address)
        for ended in tick.take(CallEnded):
            if ended.is_entry_refused or ended.is_entry_closing:
                self._close_entry_of(ended)

    def _close_entry_of(self, ended: CallEnded) -> None:
        call = self._calls.get(ended.number)
        # The last entry node stays, because callers would have none left.
        if call is not None and call.entry is not None and len(self._entries) > 1:
            self._entries.pop(call.entry)


def choose_entry(tables: LoadTables, tick: Tick, avoid: Address | None) -> Address:
    """Return a random entry node.

    The node at `avoid` is returned only if there is no other.
    """
    addresses = [row.address for row in tables.entries]
    others = [address for address in addresses if address != avoid]
    return tick.random.choice(others or addresses)


class GenerateCalls(System):
    """Generates calls as a Poisson process, in an open loop.

    A call that is sent late, because the generator was busy, still counts its
    latency from the time at which it was due.
    """

    consumes = (RateSet, ArrivalDue)

    def __init__(self, tables: LoadTables, calls_before: int = 0):
        self._tables = tables
        self._next_us = 0.0
        self._last_number = calls_before

    def run(self, tick: Tick) -> None:
        """Send the calls that are due and set the timer for the next call."""
        for message in tick.take(RateSet):
            self._tables.rate_per_s = message.rate_per_s
            self._next_us = tick.now_us
        if not self._tables.rate_per_s:
            tick.cancel_timer("arrival")
            return
        while self._next_us <= tick.now_us:
            self._send(tick, Micros(int(self._next_us)))
            gap_s = tick.random.expovariate(self._tables.rate_per_s)
            self._next_us += gap_s * 1_000_000
        tick.set_timer("arrival", Micros(int(self._next_us) + 1), ArrivalDue())

    def _send(self, tick: Tick, due_us: Micros) -> None:
        tables = self._tables
        weights = list(accumulate(call_type.weight for call_type in tables.call_types))
        (call_type,) = tick.random.choices(tables.call_types, cum_weights=weights)
        self._last_number += 1
        number = CallNumber(self._last_number)
        key = IdempotencyKey(f"key-{number}") if call_type.is_keyed else None
        call = CallRow(number, call_type, due_us, key, call_type.repeats)
        call.entry = choose_entry(tables, tick, None)
        tables.calls.put(number, call)
        tables.tallies[call_type.rank].arrived += 1
        tick.emit(CallSend(call))


class CompleteCalls(System):
    """Repeats failed calls and counts the final results.

    A call is repeated with its key while its type allows repeats. A refused
    connection uses up no repeat, because the call did not reach a node.
    """

    consumes = (CallEnded,)

    def __init__(self, tables: LoadTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Repeat or count each call that ended."""
        for ended in tick.take(CallEnded):
            call = self._tables.calls.get(ended.number)
            if call is None:
                continue
            if ended.code:
                self._tables.refusals[ended.code] += 1
            if self._may_repeat(call, ended):
                self._repeat(tick, call, ended)
            else:
                self._record_verdict(tick, call, ended.verdict)

    def _may_repeat(self, call: CallRow, ended: CallEnded) -> bool:
        if ended.verdict in (Verdict.WHOLE, Verdict.WRONG_ANSWER):
            return False
        return call.repeats_left > 0 or ended.is_entry_refused

    def _repeat(self, tick: Tick, call: CallRow, ended: CallEnded) -> None:
        if not ended.is_entry_refused:
            call.repeats_left -= 1
            self._tables.tallies[call.call_type.rank].repeated += 1
        call.entry = choose_entry(self._tables, tick, call.entry)
        tick.emit(CallSend(call))

    def _record_verdict(self, tick: Tick, call: CallRow, verdict: Verdict) -> None:
        tables = self._tables
        tables.calls.pop(call.number)
        tally = tables.tallies[call.call_type.rank]
        tally.verdicts[verdict] += 1
        if verdict is Verdict.WHOLE:
            tally.latency_us.record_value(max(1, tick.now_us - call.due_us))
        self._record_key(call, verdict)

    def _record_key(self, call: CallRow, verdict: Verdict) -> None:
        if call.key is None:
            return
        is_first_attempt = call.repeats_left == call.call_type.repeats
        if verdict is Verdict.WHOLE:
            self._tables.whole_keys.add(call.key)
        elif verdict is Verdict.NOT_RUN and is_first_attempt:
            self._tables.not_run_keys.add(call.key)
