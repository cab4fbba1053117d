from random import Random

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import World
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.messages import (
    ApplyUnderFaultsEnded,
    NodeActivatedRules,
    NodeChanged,
    NodeJoined,
    PerformStep,
    RulesApplied,
    ScriptDone,
    ScriptStarted,
    StepPerformed,
    StoredRulesRead,
)
from papayapost_testing.demo.systems import CheckApplyOutcomes, RunScript, TrackNodes
from papayapost_testing.demo.tables import (
    DemoTables,
    NodeRow,
    ProcessState,
    StepKind,
    StepRow,
)

NODE = NodeId("n")


def script_world(*steps):
    tables = DemoTables(list(steps))
    tables.nodes.put(NODE, NodeRow(NODE, DataCentreId("d"), ProcessState.RUNNING))
    return tables, World([TrackNodes(tables), RunScript(tables)], Random(0))


def test_a_step_waits_for_the_applied_version_and_records_its_delay():
    tables, world = script_world(StepRow(StepKind.APPLY))
    _, perform = world.tick(Micros(0), [ScriptStarted()])
    assert isinstance(perform, PerformStep)
    applied = RulesApplied(RuleVersion(3), Micros(100), "edit")
    assert world.tick(Micros(200), [applied, StepPerformed()]) == []
    activated = NodeActivatedRules(NODE, RuleVersion(3), Micros(350))
    assert world.tick(Micros(400), [activated]) == [ScriptDone()]
    assert tables.rollouts.require(RuleVersion(3)).delays_us == {NODE: 250}
    assert tables.violations == []


def test_a_missing_version_and_a_version_that_goes_back_are_violations():
    tables, world = script_world(StepRow(StepKind.APPLY, limit_ms=5_000))
    world.tick(Micros(0), [ScriptStarted()])
    activated = [NodeActivatedRules(NODE, RuleVersion(n), Micros(0)) for n in (2, 1)]
    applied = RulesApplied(RuleVersion(3), Micros(0), "edit")
    world.tick(Micros(1), [*activated, applied, StepPerformed()])
    assert world.tick(Micros(5_000_000)) == [ScriptDone()]
    assert len(tables.violations) == 2


def test_an_unexpected_exit_and_a_failed_drain_are_violations():
    tables, world = script_world()
    world.tick(Micros(0), [NodeChanged(NODE, ProcessState.EXITED, 1)])
    world.tick(Micros(1), [NodeChanged(NODE, ProcessState.DRAINING)])
    world.tick(Micros(2), [NodeChanged(NODE, ProcessState.EXITED, 3)])
    assert len(tables.violations) == 2


def test_a_restarted_node_whose_rules_are_active_too_late_is_a_violation():
    tables, world = script_world(StepRow(StepKind.RESTART_WAVE, nodes=(NODE,)))
    before = NodeActivatedRules(NODE, RuleVersion(1), Micros(0))
    world.tick(Micros(1), [ScriptStarted(), before])
    world.tick(Micros(2), [NodeChanged(NODE, ProcessState.DRAINING)])
    running = NodeChanged(NODE, ProcessState.RUNNING)
    assert world.tick(Micros(3), [running, StepPerformed()]) == []
    late_us = Micros(5_000_005)
    messages = [
        NodeJoined(NODE, Micros(4)),
        NodeActivatedRules(NODE, RuleVersion(1), late_us),
    ]
    assert world.tick(late_us, messages) == [ScriptDone()]
    assert tables.rejoin_delays_us == {NODE: 5_000_001} and len(tables.violations) == 1


def test_a_step_waits_for_a_paused_node_only_after_it_is_resumed():
    tables, world = script_world(StepRow(StepKind.APPLY), StepRow(StepKind.RESUME))
    world.tick(Micros(0), [ScriptStarted(), NodeChanged(NODE, ProcessState.PAUSED)])
    applied = RulesApplied(RuleVersion(3), Micros(0), "edit")
    world.tick(Micros(1), [applied, StepPerformed()])
    assert tables.position == 1
    resumed = NodeChanged(NODE, ProcessState.RUNNING)
    assert world.tick(Micros(2), [resumed, StepPerformed()]) == []
    activated = NodeActivatedRules(NODE, RuleVersion(3), Micros(3))
    assert world.tick(Micros(3), [activated]) == [ScriptDone()]


def test_an_apply_outcome_that_the_store_contradicts_is_a_violation():
    tables = DemoTables([])
    world = World([CheckApplyOutcomes(tables)], Random(0))
    outcomes = [
        ApplyUnderFaultsEnded("a", ApplyOutcome.ACCEPTED),
        ApplyUnderFaultsEnded("b", ApplyOutcome.UNAVAILABLE),
        ApplyUnderFaultsEnded("c", ApplyOutcome.UNKNOWN),
    ]
    world.tick(Micros(0), [*outcomes, StoredRulesRead("a")])
    assert tables.violations == []
    world.tick(Micros(1), [*outcomes, StoredRulesRead("b")])
    assert len(tables.violations) == 2
