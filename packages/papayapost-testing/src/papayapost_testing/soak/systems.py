"""Systems of the soak: observations, processes and faults."""

from collections.abc import Sequence
from dataclasses import replace

from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick
from papayapost_testing.demo.tables import ProcessState
from papayapost_testing.soak.bounds import EXIT_SLACK_US, GRACE_US, RECOVERY_US
from papayapost_testing.soak.messages import (
    CallEnded,
    CallSent,
    CoreAwaited,
    DrainAcknowledged,
    FaultDue,
    FaultsBegun,
    FaultsEnded,
    GraceDue,
    GraceOver,
    NodeExited,
    NodeStarted,
    RecoveryDue,
    RecoveryOver,
    RestartDue,
    RunStarted,
    StartNode,
    StopNodes,
)
from papayapost_testing.soak.plans import FaultRow
from papayapost_testing.soak.rows import (
    NEVER,
    FaultId,
    ServerRow,
    Start,
    TroubleRow,
)
from papayapost_testing.soak.scene import Scene
from papayapost_testing.soak.tables import SoakTables

__all__ = ["AdvanceFaults", "RecordCalls", "TrackNodes"]

_RESTART_MS = (100, 1_500)


class RecordCalls(System):
    """Records calls, runs, drains of backend servers and waits of nodes."""

    consumes = (CallSent, CallEnded, RunStarted, DrainAcknowledged, CoreAwaited)

    def __init__(self, tables: SoakTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Add the rows and how calls ended."""
        tables = self._tables
        for sent in tick.take(CallSent):
            tables.calls.put(sent.call.request_id, sent.call)
        for started in tick.take(RunStarted):
            tables.runs.setdefault(started.run.request_id, []).append(started.run)
        for ended in tick.take(CallEnded):
            call = tables.calls.require(ended.request_id)
            call.end, call.ended_us = ended.end, ended.at_us
            call.answer = ended.answer
            if call.is_served:
                node = tables.nodes.require(call.node_id)
                node.served_us = max(node.served_us, call.sent_us)
        for awaited in tick.take(CoreAwaited):
            tables.waits.setdefault(awaited.node_id, []).append(awaited.wait)
        for acked in tick.take(DrainAcknowledged):
            key = acked.server_id, acked.born_ms
            row = ServerRow(acked.server_id, acked.node_id, acked.born_ms, acked.at_us)
            if key not in tables.servers:
                tables.servers.put(key, row)


class TrackNodes(System):
    """Tracks the nodes' processes and starts those again that have exited."""

    consumes = (
        NodeStarted,
        NodeExited,
        RestartDue,
        GraceDue,
        GraceOver,
        StopNodes,
    )

    def __init__(self, tables: SoakTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Update the node rows, and start or kill processes that are due."""
        tables = self._tables
        for started in tick.take(NodeStarted):
            self._note_started(started)
        for exited in tick.take(NodeExited):
            self._note_exited(tick, exited)
        for due in tick.take(RestartDue):
            node = tables.nodes.require(due.node_id)
            if not tables.is_ending:
                tick.emit(StartNode(due.node_id, Start(node.start + 1)))
        for grace in tick.take(GraceDue):
            self._check_grace(tick, grace)
        for over in tick.take(GraceOver):
            Scene(tables, tick, tick.random).kill(over.node_id)

        for _ in tick.take(StopNodes):
            tables.is_ending = True
            for node in tables.nodes:
                Scene(tables, tick, tick.random).terminate(node.node_id)

    def _check_grace(self, tick: Tick, due: GraceDue) -> None:
        node = self._tables.nodes.require(due.node_id)
        if node.start != due.start or node.exited_us != NEVER:
            return
        # A process that waits for a core cannot end, and its exit is not seen
        # while the soak itself does not get to run.
        span = node.term_us, tick.now_us
        lag_us = self._tables.lag_us(*span)
        delayed_us = lag_us + self._tables.wait_us(node.node_id, *span)
        due_us = Micros(node.term_us + GRACE_US + EXIT_SLACK_US + delayed_us)
        if due_us > tick.now_us:
            tick.set_timer(("grace", node.node_id), due_us, due)
        else:
            tick.post(GraceOver(node.node_id, node.start))

    def _note_started(self, started: NodeStarted) -> None:
        node_id, at_us = started.node_id, started.at_us
        node = self._tables.nodes.require(node_id)
        node.state, node.start, node.started_us = (
            ProcessState.RUNNING,
            started.start,
            at_us,
        )
        node.term_us = node.kill_us = node.exited_us = NEVER
        node.exit_code = None
        for row in self._tables.troubles:
            if row.node_id == node_id and row.ends_with_start and row.ended_us is None:
                row.ended_us = at_us
        row = TroubleRow(node_id, True, "start", at_us, at_us)
        self._tables.troubles.append(row)

    def _note_exited(self, tick: Tick, exited: NodeExited) -> None:
        node = self._tables.nodes.require(exited.node_id)
        if node.term_us == node.kill_us == NEVER:
            scene = Scene(self._tables, tick, tick.random)
            scene.open_trouble(node.node_id, False, "exit", ends_with_start=True)
        node.state, node.exited_us = ProcessState.EXITED, exited.at_us
        node.exit_code = exited.exit_code
        self._tables.ended_processes.append(replace(node))
        tick.cancel_timer(("grace", node.node_id))
        delay_us = 1000 * tick.random.randint(*_RESTART_MS)
        due_us = Micros(tick.now_us + delay_us)
        tick.set_timer(("restart", node.node_id), due_us, RestartDue(node.node_id))


class AdvanceFaults(System):
    """Carries out the steps of the faults of the plan."""

    consumes = (FaultsBegun, FaultDue, RecoveryDue)

    def __init__(self, tables: SoakTables, plan: Sequence[FaultRow]):
        self._tables = tables
        self._left: Table[FaultId, FaultRow] = Table("faults")
        for row in plan:
            self._left.put(row.fault_id, row)

    def run(self, tick: Tick) -> None:
        """Take the steps that are due."""
        for _ in tick.take(FaultsBegun):
            for row in self._left:
                due_us = Micros(tick.now_us + row.due_us)
                tick.set_timer(row.fault_id, due_us, FaultDue(row.fault_id))
            if not self._left:
                self._end(tick)
        for due in tick.take(FaultDue):
            row = self._left.require(due.fault_id)
            delay_us = row.fault.advance(Scene(self._tables, tick, row.random))
            if delay_us is not None:
                tick.set_timer(row.fault_id, Micros(tick.now_us + delay_us), due)
                continue
            self._left.pop(row.fault_id)
            if not self._left:
                self._end(tick)

        for recovery in tick.take(RecoveryDue):
            due_us = self._recovery_due_us(tick.now_us)
            if due_us > tick.now_us:
                tick.set_timer("recovery", due_us, recovery)
            else:
                tick.post(RecoveryOver())
                tick.emit(RecoveryOver())

    def _recovery_due_us(self, now_us: Micros) -> Micros:
        """Return when recovery is due; a node that gets no core has longer."""
        tables = self._tables
        since_us = tables.faults_ended_us
        waits_us = (tables.wait_us(n.node_id, since_us, now_us) for n in tables.nodes)
        return Micros(since_us + RECOVERY_US + max(waits_us))

    def _end(self, tick: Tick) -> None:
        self._tables.faults_ended_us = tick.now_us
        tick.emit(FaultsEnded())
        due_us = self._recovery_due_us(tick.now_us)
        tick.set_timer("recovery", due_us, RecoveryDue())
