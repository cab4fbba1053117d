"""Systems of the load generator."""

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

__all__ = ["GenerateCalls", "KeepEntries", "SettleCalls"]


class KeepEntries(System):
    """Keeps the list of nodes that callers know."""

    consumes = (EntryOpened, EntryClosed, CallEnded)

    def __init__(self, tables: LoadTables):
        self._entries = tables.entries
        self._calls = tables.calls

    def run(self, tick: Tick) -> None:
        """Open and close entries."""
        for opened in tick.take(EntryOpened):
            self._entries.put(opened.address, EntryRow(opened.address))
        for closed in tick.take(EntryClosed):
            self._entries.pop(closed.address)
        for ended in tick.take(CallEnded):
            if ended.is_entry_refused or ended.is_entry_leaving:
                self._leave(ended)

    def _leave(self, ended: CallEnded) -> None:
        call = self._calls.get(ended.number)
        # The last known entry stays: callers have no other.
        if call is not None and call.entry is not None and len(self._entries) > 1:
            self._entries.pop(call.entry)


def choose_entry(tables: LoadTables, tick: Tick, avoid: Address | None) -> Address:
    """Return a random known entry, another than `avoid` where there is one."""
    addresses = [row.address for row in tables.entries]
    others = [address for address in addresses if address != avoid]
    return tick.random.choice(others or addresses)


class GenerateCalls(System):
    """Makes Poisson arrivals, open loop: late calls keep their due time."""

    consumes = (RateSet, ArrivalDue)

    def __init__(self, tables: LoadTables, calls_before: int = 0):
        self._tables = tables
        self._next_us = 0.0
        self._count = calls_before

    def run(self, tick: Tick) -> None:
        """Send the calls that are due and set the timer of the next."""
        for message in tick.take(RateSet):
            self._tables.rate_per_s = message.rate_per_s
            self._next_us = tick.now_us
        if not self._tables.rate_per_s:
            tick.cancel_timer("arrival")
            return
        while self._next_us <= tick.now_us:
            self._send(tick, Micros(int(self._next_us)))
            pause_s = tick.random.expovariate(self._tables.rate_per_s)
            self._next_us += pause_s * 1_000_000
        tick.set_timer("arrival", Micros(int(self._next_us) + 1), ArrivalDue())

    def _send(self, tick: Tick, intended_us: Micros) -> None:
        tables = self._tables
        weights = list(accumulate(mix.weight for mix in tables.mixes))
        (mix,) = tick.random.choices(tables.mixes, cum_weights=weights)
        self._count += 1
        number = CallNumber(self._count)
        key = IdempotencyKey(f"key-{number}") if mix.is_keyed else None
        call = CallRow(number, mix, intended_us, key, mix.repeats)
        call.entry = choose_entry(tables, tick, None)
        tables.calls.put(number, call)
        tables.tallies[mix.rank].arrived += 1
        tick.emit(CallSend(call))


class SettleCalls(System):
    """Repeats calls that were not answered, and counts how all ended."""

    consumes = (CallEnded,)

    def __init__(self, tables: LoadTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Settle the calls that ended."""
        for ended in tick.take(CallEnded):
            call = self._tables.calls.get(ended.number)
            if call is None:
                continue
            if ended.code:
                self._tables.refusals[ended.code] += 1
            if self._may_repeat(call, ended):
                self._repeat(tick, call, ended)
            else:
                self._count(tick, call, ended.verdict)

    def _may_repeat(self, call: CallRow, ended: CallEnded) -> bool:
        if ended.verdict in (Verdict.WHOLE, Verdict.FOREIGN):
            return False
        return call.repeats_left > 0 or ended.is_entry_refused

    def _repeat(self, tick: Tick, call: CallRow, ended: CallEnded) -> None:
        if not ended.is_entry_refused:
            call.repeats_left -= 1
            self._tables.tallies[call.mix.rank].repeated += 1
        call.entry = choose_entry(self._tables, tick, call.entry)
        tick.emit(CallSend(call))

    def _count(self, tick: Tick, call: CallRow, verdict: Verdict) -> None:
        tables = self._tables
        tables.calls.pop(call.number)
        tally = tables.tallies[call.mix.rank]
        tally.verdicts[verdict] += 1
        if verdict is Verdict.WHOLE:
            tally.latency_us.record_value(max(1, tick.now_us - call.intended_us))
        self._keep_key(call, verdict)

    def _keep_key(self, call: CallRow, verdict: Verdict) -> None:
        if call.key is None:
            return
        first_time = call.repeats_left == call.mix.repeats
        if verdict is Verdict.WHOLE:
            self._tables.whole_keys.add(call.key)
        elif verdict is Verdict.NOT_RUN and first_time:
            self._tables.not_run_keys.add(call.key)
