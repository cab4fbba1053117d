from random import Random

from papayapost.ids import Micros
from papayapost.kernel import World
from papayapost_testing.backend.messages import (
    BehaviourSet,
    Refusal,
    RequestCancelled,
    RequestTaken,
    RunFinished,
)
from papayapost_testing.backend.systems import ChangeBehaviour, EndRuns, StartRuns
from papayapost_testing.backend.tables import (
    BackendTables,
    BehaviourRow,
    RunNumber,
)


def backend_world(behaviour):
    tables = BackendTables(behaviour)
    systems = [ChangeBehaviour(tables), EndRuns(tables), StartRuns(tables)]
    return tables, World(systems, Random(0))


def taken(number):
    return RequestTaken(RunNumber(number), None, None)


def test_a_backend_server_that_is_told_to_drain_finishes_and_refuses_new_work():
    tables, world = backend_world(BehaviourRow(slots=2, service_time_ms=5))
    assert world.tick(Micros(0), [taken(1)]) == []
    draining = BehaviourSet(BehaviourRow(slots=2, is_draining=True))
    assert world.tick(Micros(1_000), [draining, taken(2)]) == [Refusal(RunNumber(2))]
    assert world.tick(Micros(5_000)) == [RunFinished(RunNumber(1), 0)]
    assert (tables.counts.served, tables.counts.shed) == (1, 1)


def test_a_cancelled_request_frees_its_slot_and_is_never_answered():
    tables, world = backend_world(BehaviourRow(slots=1, service_time_ms=5))
    world.tick(Micros(0), [taken(1)])
    world.tick(Micros(1_000), [RequestCancelled(RunNumber(1)), taken(2)])
    assert world.tick(Micros(6_000)) == [RunFinished(RunNumber(2), 0)]
    assert tables.counts.cancelled == 1
