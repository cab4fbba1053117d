"""Systems of the demo's director."""

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.messages import (
    NodeChanged,
    NodeInForce,
    NodeJoined,
    OfferedToLeaver,
    Perform,
    Progress,
    RestOver,
    RulesApplied,
    RulesStored,
    RulesTried,
    ScriptDone,
    ScriptStarted,
    StepLate,
    StepPerformed,
)
from papayapost_testing.demo.tables import (
    ApplicationRow,
    AttemptRow,
    DemoTables,
    NodeRow,
    NodeRun,
    StepKind,
    StepRow,
    StepState,
)

__all__ = ["CheckAttempts", "FollowNodes", "RunScript"]


_REJOIN_LIMIT_US = 5_000_000


class FollowNodes(System):
    """Keeps what each node's process does and holds."""

    consumes = (
        NodeChanged,
        NodeInForce,
        NodeJoined,
        OfferedToLeaver,
        RulesApplied,
    )

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Take the news and check that no node moves back."""
        for changed in tick.take(NodeChanged):
            self._change(changed, tick.now_us)
        for joined in tick.take(NodeJoined):
            node = self._tables.nodes.require(joined.node_id)
            node.joined_us = node.joined_us or joined.at_us
        self._tables.offers_to_leavers += len(tick.take(OfferedToLeaver))
        for applied in tick.take(RulesApplied):
            row = self._expect(applied)
            for node in self._tables.nodes:
                if node.version == applied.version:
                    self._measure(row, node)
        for seen in tick.take(NodeInForce):
            self._see(seen)

    def _change(self, changed: NodeChanged, now_us: Micros) -> None:
        node = self._tables.nodes.require(changed.node_id)
        was, node.run = node.run, changed.run
        if changed.run is NodeRun.RUNNING and was is not NodeRun.PAUSED:
            node.started_us, node.joined_us = now_us, None
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
        if node.in_force_us < node.started_us and node.version:
            self._measure_rejoin(node, seen)
        node.version = seen.version
        node.in_force_us = seen.at_us
        row = self._tables.applications.get(seen.version)
        if row is not None:
            self._measure(row, node)

    def _measure_rejoin(self, node: NodeRow, seen: NodeInForce) -> None:
        joined_us = seen.at_us if node.joined_us is None else node.joined_us
        delay_us = Micros(seen.at_us - joined_us)
        self._tables.rejoin_us[node.node_id] = delay_us
        if delay_us > _REJOIN_LIMIT_US:
            self._break(f"{node.node_id} joined {delay_us / 1e6:.1f} s before force")

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


class CheckAttempts(System):
    """Compares what ``papaya apply`` said with what the store holds."""

    consumes = (RulesTried, RulesStored)

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Keep the tool's answers until a healthy store shows its text."""
        for tried in tick.take(RulesTried):
            self._tables.attempts.append(AttemptRow(tried.line, tried.outcome))
        for stored in tick.take(RulesStored):
            for attempt in self._tables.attempts:
                self._check(attempt, attempt.line in stored.text)
            self._tables.attempts.clear()

    def _check(self, attempt: AttemptRow, is_stored: bool) -> None:
        untold = (ApplyOutcome.UNKNOWN, ApplyOutcome.UNCHANGED)
        if attempt.outcome in untold:
            return
        if is_stored is not (attempt.outcome is ApplyOutcome.ACCEPTED):
            held = "holds" if is_stored else "does not hold"
            text = f"papaya said {attempt.outcome.value}, the store {held} the edit"
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
        if step.kind is StepKind.RESTART_WAVE:
            nodes = [self._tables.nodes.require(name) for name in step.nodes]
            return all(node.in_force_us > node.started_us for node in nodes)
        if step.kind in (
            StepKind.APPLY,
            StepKind.START_NODES,
            StepKind.RESTART,
            StepKind.RESUME,
        ):
            return all(self._holds_newest(node) for node in self._tables.serving())
        if step.kind is StepKind.DRAIN:
            nodes = [row for row in self._tables.nodes if row.node_id == step.subject]
            return all(node.run is NodeRun.EXITED for node in nodes)
        return bool(step.rest_ms == 0 or tick.take(RestOver))

    def _holds_newest(self, node: NodeRow) -> bool:
        newest = self._tables.newest
        return newest is None or node.version >= newest.version
