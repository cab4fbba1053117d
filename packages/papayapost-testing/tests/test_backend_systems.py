from random import Random

from papayapost.ids import Micros
from papayapost.kernel import World
from papayapost_testing.backend.messages import (
    AnswerRequest,
    BehaviourSet,
    RefuseRequest,
    RequestCancelled,
    RequestReceived,
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


def request(number):
    return RequestReceived(RunNumber(number), None, None)


def test_a_draining_backend_server_finishes_running_requests_and_refuses_new_ones():
    tables, world = backend_world(BehaviourRow(slots=2, service_time_ms=5))
    assert world.tick(Micros(0), [request(1)]) == []
    draining = BehaviourSet(BehaviourRow(slots=2, is_draining=True))
    assert world.tick(Micros(1_000), [draining, request(2)]) == [
        RefuseRequest(RunNumber(2))
    ]
    assert world.tick(Micros(5_000)) == [AnswerRequest(RunNumber(1), 0)]
    assert (tables.counts.served, tables.counts.shed) == (1, 1)


def test_a_cancelled_request_frees_its_slot_and_is_never_answered():
    tables, world = backend_world(BehaviourRow(slots=1, service_time_ms=5))
    world.tick(Micros(0), [request(1)])
    world.tick(Micros(1_000), [RequestCancelled(RunNumber(1)), request(2)])
    assert world.tick(Micros(6_000)) == [AnswerRequest(RunNumber(2), 0)]
    assert tables.counts.cancelled == 1
