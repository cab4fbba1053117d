from random import Random

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import World
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.messages import (
    NodeChanged,
    NodeInForce,
    NodeJoined,
    Perform,
    RulesApplied,
    RulesStored,
    RulesTried,
    ScriptDone,
    ScriptStarted,
    StepPerformed,
)
from papayapost_testing.demo.systems import CheckAttempts, FollowNodes, RunScript
from papayapost_testing.demo.tables import (
    DemoTables,
    NodeRow,
    NodeRun,
    StepKind,
    StepRow,
)

NODE = NodeId("n")


def script_world(*steps):
    tables = DemoTables(list(steps))
    tables.nodes.put(NODE, NodeRow(NODE, DataCentreId("d"), NodeRun.RUNNING))
    return tables, World([FollowNodes(tables), RunScript(tables)], Random(0))


def test_an_applied_version_is_waited_for_and_its_delay_measured():
    tables, world = script_world(StepRow(StepKind.APPLY))
    _, perform = world.tick(Micros(0), [ScriptStarted()])
    assert isinstance(perform, Perform)
    applied = RulesApplied(RuleVersion(3), Micros(100), "edit")
    assert world.tick(Micros(200), [applied, StepPerformed()]) == []
    seen = NodeInForce(NODE, RuleVersion(3), Micros(350))
    assert world.tick(Micros(400), [seen]) == [ScriptDone()]
    assert tables.applications.require(RuleVersion(3)).delays_us == {NODE: 250}
    assert tables.broken == []


def test_a_version_that_stays_away_and_a_node_that_moves_back_are_broken_promises():
    tables, world = script_world(StepRow(StepKind.APPLY, limit_ms=5_000))
    world.tick(Micros(0), [ScriptStarted()])
    seen = [NodeInForce(NODE, RuleVersion(n), Micros(0)) for n in (2, 1)]
    applied = RulesApplied(RuleVersion(3), Micros(0), "edit")
    world.tick(Micros(1), [*seen, applied, StepPerformed()])
    assert world.tick(Micros(5_000_000)) == [ScriptDone()]
    assert len(tables.broken) == 2


def test_a_node_that_ends_by_itself_or_drains_badly_is_a_broken_promise():
    tables, world = script_world()
    world.tick(Micros(0), [NodeChanged(NODE, NodeRun.EXITED, 1)])
    world.tick(Micros(1), [NodeChanged(NODE, NodeRun.DRAINING)])
    world.tick(Micros(2), [NodeChanged(NODE, NodeRun.EXITED, 3)])
    assert len(tables.broken) == 2


def test_a_restarted_node_that_holds_rules_late_after_it_joined_is_told():
    tables, world = script_world(StepRow(StepKind.RESTART_WAVE, nodes=(NODE,)))
    before = NodeInForce(NODE, RuleVersion(1), Micros(0))
    world.tick(Micros(1), [ScriptStarted(), before])
    world.tick(Micros(2), [NodeChanged(NODE, NodeRun.DRAINING)])
    running = NodeChanged(NODE, NodeRun.RUNNING)
    assert world.tick(Micros(3), [running, StepPerformed()]) == []
    late_us = Micros(5_000_005)
    news = [NodeJoined(NODE, Micros(4)), NodeInForce(NODE, RuleVersion(1), late_us)]
    assert world.tick(late_us, news) == [ScriptDone()]
    assert tables.rejoin_us == {NODE: 5_000_001} and len(tables.broken) == 1


def test_a_paused_node_holds_an_edit_up_only_once_it_goes_on():
    tables, world = script_world(StepRow(StepKind.APPLY), StepRow(StepKind.RESUME))
    world.tick(Micros(0), [ScriptStarted(), NodeChanged(NODE, NodeRun.PAUSED)])
    applied = RulesApplied(RuleVersion(3), Micros(0), "edit")
    world.tick(Micros(1), [applied, StepPerformed()])
    assert tables.position == 1
    going_on = NodeChanged(NODE, NodeRun.RUNNING)
    assert world.tick(Micros(2), [going_on, StepPerformed()]) == []
    seen = NodeInForce(NODE, RuleVersion(3), Micros(3))
    assert world.tick(Micros(3), [seen]) == [ScriptDone()]


def test_an_apply_whose_word_the_store_belies_is_a_broken_promise():
    tables = DemoTables([])
    world = World([CheckAttempts(tables)], Random(0))
    said = [
        RulesTried("a", ApplyOutcome.ACCEPTED),
        RulesTried("b", ApplyOutcome.UNAVAILABLE),
        RulesTried("c", ApplyOutcome.UNKNOWN),
    ]
    world.tick(Micros(0), [*said, RulesStored("a")])
    assert tables.broken == []
    world.tick(Micros(1), [*said, RulesStored("b")])
    assert len(tables.broken) == 2
