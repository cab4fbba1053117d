from random import Random

from papayapost.ids import Address, Micros
from papayapost.kernel import World
from papayapost.states import Rank
from papayapost_testing.load.messages import CallEnded, EntryOpened, RateSet
from papayapost_testing.load.systems import (
    CompleteCalls,
    GenerateCalls,
    TrackEntryNodes,
)
from papayapost_testing.load.tables import CallTypeRow, LoadTables, Verdict

NEAR, FAR = Address("127.0.0.1:1"), Address("127.0.0.1:2")
CHARGE = CallTypeRow("charge", Rank.HIGH, "POST", "a", "/charge", 1, is_keyed=True)


def load_world(tables):
    tables.call_types = [CHARGE]
    systems = [TrackEntryNodes(tables), GenerateCalls(tables), CompleteCalls(tables)]
    return World(systems, Random(7))


def test_latency_counts_from_the_due_time_of_calls_that_are_sent_late():
    tables = LoadTables()
    world = load_world(tables)
    world.tick(Micros(0), [EntryOpened(NEAR), RateSet(1_000)])
    sent = world.tick(Micros(1_000_000))
    assert 800 < len(sent) < 1_200
    due_times_us = [effect.call.due_us for effect in sent]
    assert due_times_us == sorted(due_times_us)
    assert due_times_us[0] < 10_000
    for effect in sent:
        world.tick(Micros(1_000_000), [CallEnded(effect.call.number, Verdict.WHOLE)])
    tally = tables.tallies[Rank.HIGH]
    assert tally.latency_us.get_max_value() > 900_000


def test_an_unanswered_call_is_repeated_once_at_another_node_with_its_key():
    tables = LoadTables()
    world = load_world(tables)
    opened = [EntryOpened(NEAR), EntryOpened(FAR), RateSet(1)]
    (first,) = world.tick(Micros(0), opened)
    entry, key = first.call.entry, first.call.key
    ended = CallEnded(first.call.number, Verdict.NO_ANSWER)
    (second,) = world.tick(Micros(10), [ended])
    assert second.call.entry != entry
    assert second.call.key == key
    assert world.tick(Micros(20), [CallEnded(first.call.number, Verdict.UNKNOWN)]) == []
    assert tables.tallies[Rank.HIGH].verdicts[Verdict.UNKNOWN] == 1
