from papayapost.distribution import RulesInForce, VersionRow
from papayapost.ids import CallId, Micros, RuleVersion
from papayapost.membership import DirectoryChanged
from papayapost.rules import compile_rules
from papayapost.states import BackendServerState, StagedState
from papayapost.traffic import (
    CallArrived,
    CallerGone,
    OfferSend,
    RefusalCode,
)
from papayapost_testing.traffic_worlds import backend_row, traffic_world

RULES = "route GET /gusts -> gusts idempotent=yes # Mei: wind desk\n"
MAX_HELD_CALLS = 256


def call(number, budget_us=None):
    return CallArrived(CallId(number), "GET", "wind", "/gusts", budget_us)


def node_without_rules(upstreams):
    return traffic_world(backend_row("entry", None), upstreams)


def put_rules_in_force(node):
    row = VersionRow(RuleVersion(1), compile_rules(RULES), StagedState.IN_FORCE)
    node.rules.in_force = row
    return RulesInForce(row.version)


def test_a_call_at_a_starting_node_is_answered_once_rules_are_in_force():
    node = node_without_rules([backend_row("a", "gusts")])
    assert node.world.tick(Micros(0), [call(1)]) == []
    in_force = put_rules_in_force(node)
    (offer_send,) = node.world.tick(Micros(900_000), [in_force])
    assert isinstance(offer_send, OfferSend)
    assert offer_send.call_id == 1
    assert node.world.tick(Micros(990_000)) == []


def test_a_held_call_is_offered_to_the_first_backend_server_that_is_ready():
    leaving = backend_row("a", "gusts", state=BackendServerState.DRAINING)
    node = node_without_rules([leaving])
    node.world.tick(Micros(0), [put_rules_in_force(node)])
    assert node.world.tick(Micros(10), [call(1)]) == []
    returned = backend_row("b", "gusts")
    node.directory.put(returned.node_id, returned)
    effects = node.world.tick(Micros(500_000), [DirectoryChanged((returned,))])
    assert [effect.address for effect in effects] == [returned.peer_address]


def test_a_held_call_is_refused_when_its_time_budget_or_the_hold_ends():
    node = node_without_rules([])
    node.world.tick(Micros(0), [call(1, Micros(300_000)), call(2)])
    (first,) = node.world.tick(Micros(300_000))
    assert (first.call_id, first.code) == (1, RefusalCode.NO_RULES)
    (second,) = node.world.tick(Micros(2_000_000))
    assert (second.call_id, second.code) == (2, RefusalCode.NO_RULES)


def test_held_calls_are_bounded_and_removed_when_their_caller_leaves():
    node = node_without_rules([])
    arrivals = [call(number) for number in range(MAX_HELD_CALLS + 1)]
    (refused,) = node.world.tick(Micros(0), arrivals)
    assert refused.call_id == MAX_HELD_CALLS
    gone = [CallerGone(CallId(number)) for number in range(MAX_HELD_CALLS)]
    node.world.tick(Micros(1), gone)
    assert node.world.tick(Micros(2_000_000)) == []
    assert len(node.traffic.calls.held) == 0


def test_a_held_call_is_not_offered_after_the_timeout_of_its_rule():
    short = RULES.replace("idempotent=yes", "idempotent=yes timeout_ms=400")
    node = node_without_rules([backend_row("a", "gusts")])
    node.world.tick(Micros(0), [call(1)])
    row = VersionRow(RuleVersion(1), compile_rules(short), StagedState.IN_FORCE)
    node.rules.in_force = row
    assert node.world.tick(Micros(500_000), [RulesInForce(row.version)]) == []
    (refused,) = node.world.tick(Micros(500_001))
    assert refused.code is RefusalCode.NO_BACKEND_SERVER
