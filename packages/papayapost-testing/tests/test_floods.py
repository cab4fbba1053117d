from random import Random

from papayapost.ids import Address, IdempotencyKey, Micros, NodeId
from papayapost.kernel import World
from papayapost.states import Rank
from papayapost_testing.demo.tables import StepKind
from papayapost_testing.floods import (
    FloodRow,
    FloodScript,
    FloodTables,
    flood_deployment,
)
from papayapost_testing.floods.messages import FloodEnded, FloodStarted
from papayapost_testing.floods.systems import MeasureFloods
from papayapost_testing.floods.tables import FloodFault, NodeReading
from papayapost_testing.load.messages import EntryOpened, RateSet
from papayapost_testing.load.systems import GenerateCalls, TrackEntryNodes
from papayapost_testing.load.tables import LoadTables

KILLED, SURVIVOR = NodeId("killed"), NodeId("left")


def test_a_flood_is_measured_at_the_nodes_that_ran_until_its_end():
    flood = FloodRow(Rank.BULK, 2.0, 1_000)
    tables = FloodTables([flood])
    world = World([MeasureFloods(tables)], Random(0))
    before = {KILLED: NodeReading(50, 60, 1.0), SURVIVOR: NodeReading(10, 11, 1.0)}
    world.tick(Micros(0), [FloodStarted(flood.name, before)])
    after = {SURVIVOR: NodeReading(30, 41, 1.5)}
    world.tick(Micros(1), [FloodEnded(flood.name, after, LoadTables(), {})])
    assert flood.counter_increase == NodeReading(20, 30, 0.5)


def test_keys_whose_runs_contradict_their_answers_are_counted():
    flood = FloodRow(Rank.BULK, 2.0, 1_000)
    tables = FloodTables([flood])
    world = World([MeasureFloods(tables)], Random(0))
    load = LoadTables()
    load.not_run_keys = {IdempotencyKey("refused"), IdempotencyKey("ran")}
    load.whole_keys = {IdempotencyKey("twice"), IdempotencyKey("lost")}
    keys = {"ran": 1, "twice": 2}
    world.tick(Micros(0), [FloodEnded(flood.name, {}, load, keys)])
    assert (flood.wrong_refusals, flood.missing_runs) == (1, 1)
    assert tables.repeated_keys == 1


def test_a_later_generator_uses_no_key_of_an_earlier_generator():
    keys = []
    for calls_before in (0, 100):
        load = LoadTables()
        load.call_types = [
            call_type
            for call_type in flood_deployment().call_types
            if call_type.is_keyed
        ]
        world = World(
            [TrackEntryNodes(load), GenerateCalls(load, calls_before)], Random(1)
        )
        world.tick(Micros(0), [EntryOpened(Address("a:1")), RateSet(50)])
        world.tick(Micros(1_000_000))
        keys.append({call.key for call in load.calls})
    assert keys[0] and keys[1] and not keys[0] & keys[1]


def test_a_killed_node_and_a_slow_store_recover_before_the_next_flood():
    fault = FloodFault.KILL_AND_SLOW_STORE
    floods = [FloodRow(Rank.BULK, 2.0, 900, fault), FloodRow(Rank.URGENT, 2.0, 900)]
    kinds = [step.kind for step in FloodScript(floods).build(flood_deployment())]
    assert kinds.index(StepKind.KILL) < kinds.index(StepKind.MEASURE_FLOOD)
    next_flood = len(kinds) - kinds[::-1].index(StepKind.START_FLOOD) - 1
    for healed in (StepKind.HEAL_STORE, StepKind.RESTART):
        assert kinds.index(StepKind.MEASURE_FLOOD) < kinds.index(healed) < next_flood
