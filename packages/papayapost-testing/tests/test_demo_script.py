from random import Random

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import World
from papayapost_testing.demo.messages import (
    NodeChanged,
    NodeInForce,
    Perform,
    RulesApplied,
    ScriptDone,
    ScriptStarted,
    StepPerformed,
)
from papayapost_testing.demo.systems import FollowNodes, RunScript
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
