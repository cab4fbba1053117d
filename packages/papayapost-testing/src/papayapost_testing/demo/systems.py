"""Systems of the demo's director: nodes, apply outcomes and the script."""

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.messages import (
    ApplyUnderFaultsEnded,
    NodeActivatedRules,
    NodeChanged,
    NodeJoined,
    OfferedToDrainingNode,
    PerformStep,
    ReportProgress,
    RulesApplied,
    ScriptDone,
    ScriptStarted,
    StepPerformed,
    StepTimedOut,
    StepWaitElapsed,
    StoredRulesRead,
)
from papayapost_testing.demo.tables import (
    ApplyAttemptRow,
    DemoTables,
    NodeRow,
    ProcessState,
    RolloutRow,
    StepKind,
    StepRow,
    StepState,
)

__all__ = ["CheckApplyOutcomes", "RunScript", "TrackNodes"]


_REJOIN_LIMIT_US = 5_000_000


class TrackNodes(System):
    """Tracks the process state and the active rules version of each node."""

    consumes = (
        NodeChanged,
        NodeActivatedRules,
        NodeJoined,
        OfferedToDrainingNode,
        RulesApplied,
    )

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Update the node rows and record delays and violations."""
        for changed in tick.take(NodeChanged):
            self._apply_process_state(changed, tick.now_us)
        for joined in tick.take(NodeJoined):
            node = self._tables.nodes.require(joined.node_id)
            node.joined_us = node.joined_us or joined.at_us
        self._tables.offers_to_draining_nodes += len(tick.take(OfferedToDrainingNode))
        for applied in tick.take(RulesApplied):
            row = self._add_rollout(applied)
            for node in self._tables.nodes:
                if node.version == applied.version:
                    self._record_delay(row, node)
        for activated in tick.take(NodeActivatedRules):
            self._record_activation(activated)

    def _apply_process_state(self, changed: NodeChanged, now_us: Micros) -> None:
        node = self._tables.nodes.require(changed.node_id)
        previous, node.process_state = node.process_state, changed.process_state
        if (
            changed.process_state is ProcessState.RUNNING
            and previous is not ProcessState.PAUSED
        ):
            node.started_us, node.joined_us = now_us, None
        if changed.process_state is ProcessState.EXITED:
            node.exit_code = changed.exit_code
            if previous is ProcessState.KILLED:
                node.process_state = ProcessState.KILLED
            elif previous is ProcessState.RUNNING:
                self._add_violation(f"{node.node_id} ended unexpectedly")
            elif changed.exit_code:
                self._add_violation(
                    f"{node.node_id} drained with exit code {changed.exit_code}"
                )

    def _record_activation(self, activated: NodeActivatedRules) -> None:
        node = self._tables.nodes.require(activated.node_id)
        if activated.version < node.version:
            self._add_violation(
                f"{node.node_id} went back to version {activated.version}"
            )
        if node.activated_us < node.started_us and node.version:
            self._record_rejoin_delay(node, activated)
        node.version = activated.version
        node.activated_us = activated.at_us
        row = self._tables.rollouts.get(activated.version)
        if row is not None:
            self._record_delay(row, node)

    def _record_rejoin_delay(
        self, node: NodeRow, activated: NodeActivatedRules
    ) -> None:
        joined_us = activated.at_us if node.joined_us is None else node.joined_us
        delay_us = Micros(activated.at_us - joined_us)
        self._tables.rejoin_delays_us[node.node_id] = delay_us
        if delay_us > _REJOIN_LIMIT_US:
            self._add_violation(
                f"{node.node_id} joined {delay_us / 1e6:.1f} s before its rules"
            )

    def _add_rollout(self, applied: RulesApplied) -> RolloutRow:
        running = self._tables.serving()
        expected = running or list(self._tables.nodes)
        row = RolloutRow(
            applied.version,
            applied.applied_us,
            applied.title,
            frozenset(node.node_id for node in expected),
        )
        self._tables.rollouts.put(applied.version, row)
        return row

    def _record_delay(self, row: RolloutRow, node: NodeRow) -> None:
        if node.node_id in row.expected:
            delay_us = Micros(node.activated_us - row.applied_us)
            row.delays_us.setdefault(node.node_id, delay_us)

    def _add_violation(self, text: str) -> None:
        self._tables.violations.append(text)


class CheckApplyOutcomes(System):
    """Compares the outcomes of ``papaya apply`` with the text in the store."""

    consumes = (ApplyUnderFaultsEnded, StoredRulesRead)

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Collect the outcomes and check them once the store is read.

        The store is read only after its faults ended.
        """
        for ended in tick.take(ApplyUnderFaultsEnded):
            self._tables.attempts.append(ApplyAttemptRow(ended.line, ended.outcome))
        for stored in tick.take(StoredRulesRead):
            for attempt in self._tables.attempts:
                self._check(attempt, attempt.line in stored.text)
            self._tables.attempts.clear()

    def _check(self, attempt: ApplyAttemptRow, is_stored: bool) -> None:
        unchecked_outcomes = (ApplyOutcome.UNKNOWN, ApplyOutcome.UNCHANGED)
        if attempt.outcome in unchecked_outcomes:
            return
        if is_stored is not (attempt.outcome is ApplyOutcome.ACCEPTED):
            found = "holds" if is_stored else "does not hold"
            text = f"papaya said {attempt.outcome.value}, the store {found} the line"
            self._tables.violations.append(text)


class RunScript(System):
    """Runs the steps of the script one after the other."""

    consumes = (
        ScriptStarted,
        StepPerformed,
        NodeActivatedRules,
        NodeChanged,
        RulesApplied,
        StepWaitElapsed,
        StepTimedOut,
    )

    def __init__(self, tables: DemoTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Start the next step once the effect of the current one is observed.

        A step whose effect is not observed in time counts as a violation.
        """
        if tick.take(ScriptStarted):
            self._start_step(tick)
        step = self._tables.step
        if step is None:
            return
        if tick.take(StepPerformed) and step.state is StepState.RUNNING:
            step.state = StepState.AWAITING_EFFECT
            due_us = Micros(tick.now_us + step.wait_ms * 1_000)
            tick.set_timer("wait", due_us, StepWaitElapsed())
        if tick.take(StepTimedOut):
            step.state = StepState.TIMED_OUT
            text = f"{step.kind.value} {step.subject}: no effect in {step.limit_ms} ms"
            self._tables.violations.append(text)
            self._advance(tick)
        elif step.state is StepState.AWAITING_EFFECT and self._has_effect(tick, step):
            step.state = StepState.DONE
            self._advance(tick)

    def _start_step(self, tick: Tick) -> None:
        step = self._tables.step
        if step is None:
            tick.emit(ScriptDone())
            return
        step.state = StepState.RUNNING
        tick.emit(ReportProgress(f"{step.kind.value} {step.subject}".rstrip()))
        tick.emit(PerformStep(step))
        due_us = Micros(tick.now_us + (step.wait_ms + step.limit_ms) * 1_000)
        tick.set_timer("limit", due_us, StepTimedOut())

    def _advance(self, tick: Tick) -> None:
        tick.cancel_timer("wait")
        tick.cancel_timer("limit")
        self._tables.position += 1
        self._start_step(tick)

    def _has_effect(self, tick: Tick, step: StepRow) -> bool:
        if step.kind is StepKind.RESTART_WAVE:
            nodes = [self._tables.nodes.require(name) for name in step.nodes]
            return all(node.activated_us > node.started_us for node in nodes)
        if step.kind in (
            StepKind.APPLY,
            StepKind.START_NODES,
            StepKind.RESTART,
            StepKind.RESUME,
        ):
            return all(
                self._has_newest_version(node) for node in self._tables.serving()
            )
        if step.kind is StepKind.DRAIN:
            nodes = [row for row in self._tables.nodes if row.node_id == step.subject]
            return all(node.process_state is ProcessState.EXITED for node in nodes)
        return bool(step.wait_ms == 0 or tick.take(StepWaitElapsed))

    def _has_newest_version(self, node: NodeRow) -> bool:
        newest = self._tables.newest
        return newest is None or node.version >= newest.version
