"""Systems of the demo's director."""

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost_testing.demo.messages import (
    NodeChanged,
    NodeInForce,
    Perform,
    Progress,
    RestOver,
    RulesApplied,
    ScriptDone,
    ScriptStarted,
    StepLate,
    StepPerformed,
)
from papayapost_testing.demo.tables import (
    ApplicationRow,
    DemoTables,
    NodeRow,
    NodeRun,
    StepKind,
    StepRow,
    StepState,
)

__all__ = ["FollowNodes", "RunScript"]


class FollowNodes(System):
    """Keeps what each node's process does and holds."""

    consumes = (NodeChanged, NodeInForce, RulesApplied)

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Take the news and check that no node moves back."""
        for changed in tick.take(NodeChanged):
            self._change(changed)
        for applied in tick.take(RulesApplied):
            row = self._expect(applied)
            for node in self._tables.nodes:
                if node.version == applied.version:
                    self._measure(row, node)
        for seen in tick.take(NodeInForce):
            self._see(seen)

    def _change(self, changed: NodeChanged) -> None:
        node = self._tables.nodes.require(changed.node_id)
        was, node.run = node.run, changed.run
        if changed.run is NodeRun.EXITED:
            node.exit_code = changed.exit_code
            if was is NodeRun.KILLED:
                node.run = NodeRun.KILLED
            elif was is NodeRun.RUNNING:
                self._break(f"{node.node_id} ended by itself")
            elif changed.exit_code:
                self._break(f"{node.node_id} drained with exit {changed.exit_code}")

    def _see(self, seen: NodeInForce) -> None:
        node = self._tables.nodes.require(seen.node_id)
        if seen.version < node.version:
            self._break(f"{node.node_id} moved back to version {seen.version}")
        node.version = seen.version
        node.in_force_us = seen.at_us
        row = self._tables.applications.get(seen.version)
        if row is not None:
            self._measure(row, node)

    def _expect(self, applied: RulesApplied) -> ApplicationRow:
        serving = self._tables.serving()
        expected = serving or list(self._tables.nodes)
        row = ApplicationRow(
            applied.version,
            applied.applied_us,
            applied.title,
            frozenset(node.node_id for node in expected),
        )
        self._tables.applications.put(applied.version, row)
        return row

    def _measure(self, row: ApplicationRow, node: NodeRow) -> None:
        if node.node_id in row.expected:
            delay_us = Micros(node.in_force_us - row.applied_us)
            row.delays_us.setdefault(node.node_id, delay_us)

    def _break(self, text: str) -> None:
        self._tables.broken.append(text)


class RunScript(System):
    """Carries out the steps one after the other."""

    consumes = (
        ScriptStarted,
        StepPerformed,
        NodeInForce,
        NodeChanged,
        RulesApplied,
        RestOver,
        StepLate,
    )

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Go on to the next step once the present one's effect is seen."""
        if tick.take(ScriptStarted):
            self._begin(tick)
        step = self._tables.step
        if step is None:
            return
        if tick.take(StepPerformed) and step.state is StepState.RUNNING:
            step.state = StepState.SETTLING
            due_us = Micros(tick.now_us + step.rest_ms * 1_000)
            tick.set_timer("rest", due_us, RestOver())
        if tick.take(StepLate):
            step.state = StepState.LATE
            late = f"{step.kind.value} {step.subject}: not seen in {step.limit_ms} ms"
            self._tables.broken.append(late)
            self._advance(tick)
        elif step.state is StepState.SETTLING and self._is_seen(tick, step):
            step.state = StepState.DONE
            self._advance(tick)

    def _begin(self, tick: Tick) -> None:
        step = self._tables.step
        if step is None:
            tick.emit(ScriptDone())
            return
        step.state = StepState.RUNNING
        tick.emit(Progress(f"{step.kind.value} {step.subject}".rstrip()))
        tick.emit(Perform(step))
        due_us = Micros(tick.now_us + (step.rest_ms + step.limit_ms) * 1_000)
        tick.set_timer("late", due_us, StepLate())

    def _advance(self, tick: Tick) -> None:
        tick.cancel_timer("rest")
        tick.cancel_timer("late")
        self._tables.position += 1
        self._begin(tick)

    def _is_seen(self, tick: Tick, step: StepRow) -> bool:
        if step.kind in (StepKind.APPLY, StepKind.START_NODES, StepKind.RESTART):
            return all(self._holds_newest(node) for node in self._tables.serving())
        if step.kind is StepKind.DRAIN:
            nodes = [row for row in self._tables.nodes if row.node_id == step.subject]
            return all(node.run is NodeRun.EXITED for node in nodes)
        return bool(step.rest_ms == 0 or tick.take(RestOver))

    def _holds_newest(self, node: NodeRow) -> bool:
        newest = self._tables.newest
        return newest is None or node.version >= newest.version
