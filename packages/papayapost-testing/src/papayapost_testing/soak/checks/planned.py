"""Checks around planned work: losses, drains, exits."""

import signal

from papayapost.ids import Micros
from papayapost.kernel import Tick
from papayapost_testing.soak.bounds import DRAIN_US, GRACE_US, LOSS_SLACK_US
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.messages import (
    CallEnded,
    GraceOver,
    NodeExited,
    RunStarted,
)
from papayapost_testing.soak.rows import (
    NEVER,
    CallEnd,
    CallRow,
    RunRow,
    ServerRow,
)

__all__ = ["DrainedServersRest", "PlannedWorkCutsNothing", "ProcessesEndInTime"]

_LATE_SEND_US = Micros(3_000_000)
_LAST_SIXTH_US = Micros(GRACE_US * 5 // 6)
_OWN_FAILURES = frozenset([502, 504])
_BROKEN_ENDS = frozenset([CallEnd.CUT, CallEnd.CLOSED])


class PlannedWorkCutsNothing(Check):
    """Planned work breaks off no request that was read whole (LOST)."""

    consumes = (CallEnded,)

    def run(self, tick: Tick) -> None:
        """Judge the calls that ended without a complete answer."""
        for ended in tick.take(CallEnded):
            call = self.tables.calls.require(ended.request_id)
            is_lost = call.end in _BROKEN_ENDS or self._is_broken_off(call)
            if is_lost and self._is_owed(call):
                text = f"lost in planned work: {self.describe(call)}"
                self.find(call.request_id, text, ended.at_us)

    def _is_broken_off(self, call: CallRow) -> bool:
        """Whether the node answered itself while a server was at work."""
        node = self.tables.nodes.require(call.node_id)
        is_stopping = node.start == call.start and node.term_us != NEVER
        return (
            call.unsigned_status in _OWN_FAILURES
            and is_stopping
            and any(run.ended_us == NEVER for run in self.runs_of(call.request_id))
        )

    def _is_owed(self, call: CallRow) -> bool:
        tables = self.tables
        if call.whole_us == NEVER:
            return False
        if not tables.has_only_planned(call.sent_us, call.ended_us):
            return False
        if call.ended_us - call.sent_us >= call.timeout_ms * 1000:
            return False
        runs = self.runs_of(call.request_id)
        if any(run.is_broken_off for run in runs):
            return False
        if not runs:
            span = call.whole_us, call.ended_us
            delayed_us = tables.lag_us(*span) + tables.wait_us(call.node_id, *span)
            crosses = call.ended_us - call.whole_us - delayed_us <= LOSS_SLACK_US
            return not crosses and not call.is_behind
        return not self._outlasts_grace(call)

    def _outlasts_grace(self, call: CallRow) -> bool:
        node = self.tables.nodes.require(call.node_id)
        if node.start != call.start or node.term_us == NEVER:
            return False
        is_at_work = any(run.ended_us == NEVER for run in self.runs_of(call.request_id))
        return (
            is_at_work
            and call.ended_us >= node.term_us + _LAST_SIXTH_US
            and call.sent_us <= node.term_us + _LATE_SEND_US
        )


class DrainedServersRest(Check):
    """Once the drain time is over, no new request reaches a server (DRAIN)."""

    consumes = (RunStarted,)

    def run(self, tick: Tick) -> None:
        """Compare the beginning of runs with the acknowledged drains."""
        for started in tick.take(RunStarted):
            run = started.run
            drained = [
                row
                for row in self.tables.servers
                if row.server_id == run.server_id
                and row.drain_acked_us > NEVER
                and self._since_ack_us(row, run) > DRAIN_US
            ]
            if not drained:
                continue
            call = self.tables.calls.get(run.request_id)
            nodes = {run.node_id, call.node_id} if call else {run.node_id}
            since_us = call.sent_us if call else run.began_us
            if all(
                self.tables.is_calm(node_id, since_us, run.began_us)
                for node_id in nodes
            ):
                late_s = (run.began_us - drained[-1].drain_acked_us) / 1e6
                text = f"{run.request_id} reached {run.server_id} {late_s:.3f} s "
                text += "after its drain was acknowledged"
                self.find(run.request_id, text, run.began_us)

    def _since_ack_us(self, row: ServerRow, run: RunRow) -> int:
        acked_us = row.drain_acked_us
        return run.began_us - acked_us - self.tables.lag_us(acked_us, run.began_us)


class ProcessesEndInTime(Check):
    """A process ends with code 0 within the grace time of SIGTERM."""

    consumes = (NodeExited, GraceOver)

    def run(self, tick: Tick) -> None:
        """Judge exits, and processes that have outlasted the grace time."""
        for exited in tick.take(NodeExited):
            self._check_exit(exited)
        for over in tick.take(GraceOver):
            node = self.tables.nodes.require(over.node_id)
            since_us = Micros(node.term_us)
            is_there = node.start == over.start and node.exited_us == NEVER
            if is_there and self._has_only_planned(over.node_id, since_us, tick.now_us):
                text = f"{node.node_id} (start {node.start}) runs {GRACE_US / 1e6} s "
                text += f"after SIGTERM at {node.term_us / 1e6:.3f} s"
                self.find(text, text, tick.now_us)

    def _check_exit(self, exited: NodeExited) -> None:
        node = self.tables.nodes.require(exited.node_id)
        if node.kill_us != NEVER:
            return
        # Python handles SIGTERM only once the process has read its settings.
        is_unready = node.served_us < node.started_us
        if is_unready and exited.exit_code == -signal.SIGTERM:
            return
        what = "ended by itself" if node.term_us == NEVER else "ended after SIGTERM"
        if node.term_us == NEVER or exited.exit_code:
            text = f"{node.node_id} (start {node.start}) {what} with code "
            text += f"{exited.exit_code} at {exited.at_us / 1e6:.3f} s"
            self.find(text, text, exited.at_us)

    def _has_only_planned(self, node_id, from_us: Micros, to_us: Micros) -> bool:
        # The kill that follows the grace time begins in the same tick.
        rows = self.tables.troubles_in(node_id, from_us, to_us)
        return all(row.is_planned or row.began_us == to_us for row in rows)
