"""Systems that drain a node or its backend server without losing work."""

from dataclasses import replace

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, LeaveMesh, OwnRowChanged
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import BackendServerState, NodeState
from papayapost.traffic.claims.messages import PartitionIdle
from papayapost.traffic.claims.tables import ClaimTables
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.tables import EntryTables
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.internal import (
    AnnouncementDue,
    AttemptLost,
    CallStepDue,
    DrainCheck,
    DrainFinished,
    DrainLimitPassed,
    GracePeriodEnded,
)
from papayapost.traffic.messages import (
    AnswerEnded,
    AttemptCancel,
    AttemptFailed,
    AttemptRefused,
    CallerGone,
    CallExpired,
)
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.tables import OwnedState, OwnerTables
from papayapost.traffic.owner_messages import (
    AnswerBlocked,
    AnswerUnblocked,
    AttemptExpired,
    BackendCallEnded,
    BackendServerPolled,
    DrainComplete,
    DrainRequested,
    RefuseQueuedAttempts,
)

__all__ = ["DrainRow", "FinishDrain", "StartDrain"]

GRACE_US = 3_000_000
"""Time in which other nodes learn of a drain; offers are still served."""


class StartDrain(System):
    """Announces a drain, then refuses new attempts after a grace period.

    During the grace period this node still serves attempts whose entry node
    offered them before it learned of the drain.

    Parameters
    ----------
    grace_us
        Length of the grace period in µs.
    announce_us
        Time in µs from the drain request to the announcement. Callers may need
        longer to leave than other nodes do, and after the announcement no
        other node can use the backend server of this VM.
    """

    consumes = (AnnouncementDue, DrainRequested, BackendServerPolled, GracePeriodEnded)

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        upstreams: Upstreams,
        owner: OwnerTables,
        drain: DrainRow,
        grace_us: int = GRACE_US,
        announce_us: int = 0,
    ):
        self._grace_us = grace_us
        self._announce_us = announce_us
        self._me = me
        self._directory = directory
        self._upstreams = upstreams
        self._owner = owner
        self._drain = drain

    def run(self, tick: Tick) -> None:
        """Process drain requests and state changes of the backend server."""
        for seen in tick.take(BackendServerPolled):
            if self._drain.state is NodeState.SERVING:
                self._apply_backend_state(tick, seen.state)
        for requested in tick.take(DrainRequested):
            if self._drain.state is NodeState.SERVING:
                self._drain_node(tick, requested)
        if tick.take(AnnouncementDue):
            self._announce_drain(tick)
        if tick.take(GracePeriodEnded):
            self._owner.refuses_offers = True
            self._drain.is_grace_period_over = self._drain.state is NodeState.DRAINING

    def _apply_backend_state(self, tick: Tick, state: BackendServerState) -> None:
        if not self._publish_state(tick, state):
            return
        if state is BackendServerState.DRAINING:
            self._start_grace_period(tick)
        else:
            self._owner.refuses_offers = False
            tick.cancel_timer("drain grace")

    def _drain_node(self, tick: Tick, requested: DrainRequested) -> None:
        self._drain.state = NodeState.DRAINING
        if self._announce_us:
            due_us = Micros(tick.now_us + self._announce_us)
            tick.set_timer("drain announcement", due_us, AnnouncementDue())
        else:
            self._announce_drain(tick)
        self._start_grace_period(tick)
        self._drain.started_us = tick.now_us
        self._drain.grace_end_us = Micros(tick.now_us + self._grace_us)
        self._drain.end_us = Micros(tick.now_us + requested.limit_ms * 1000)
        tick.set_timer("drain limit", self._drain.end_us, DrainLimitPassed())
        tick.emit(Noted(Event.NODE_DRAINING))

    def _announce_drain(self, tick: Tick) -> None:
        self._drain.is_announced = True
        self._publish_state(tick, BackendServerState.DRAINING)

    def _start_grace_period(self, tick: Tick) -> None:
        due_us = Micros(tick.now_us + self._grace_us)
        tick.set_timer("drain grace", due_us, GracePeriodEnded())

    def _publish_state(self, tick: Tick, state: BackendServerState) -> bool:
        """Set the state of this node's directory row and publish the change.

        Returns
        -------
        bool
            False if the row had this state already.
        """
        own = self._directory.require(self._me.node_id)
        if own.state is state:
            return False
        changed = replace(own, state=state, revision=own.revision + 1)
        self._directory.put(own.node_id, changed)
        if own.service is not None:
            self._upstreams.remove_node(own.service, own.node_id)
        tick.post(OwnRowChanged())
        return True


class FinishDrain(System):
    """Lets the process exit when no work is left or the time limit passed."""

    consumes = (
        AnswerBlocked,
        AnswerEnded,
        AnswerUnblocked,
        AttemptCancel,
        AttemptExpired,
        AttemptFailed,
        AttemptLost,
        AttemptRefused,
        BackendCallEnded,
        CallStepDue,
        CallExpired,
        CallerGone,
        DrainCheck,
        DrainFinished,
        DrainLimitPassed,
        GracePeriodEnded,
        PartitionIdle,
    )

    def __init__(
        self,
        drain: DrainRow,
        calls: EntryTables,
        owner: OwnerTables,
        claims: ClaimTables,
        me: SelfRow,
        replies: Replies,
    ):
        self._me = me
        self._replies = replies
        self._drain = drain
        self._calls = calls
        self._owner = owner
        self._claims = claims

    def run(self, tick: Tick) -> None:
        """Check whether any calls, attempts, answers or claims are left."""
        if self._drain.state is not NodeState.DRAINING:
            return
        for finished in tick.take(DrainFinished):
            self._complete(tick, finished.is_clean)
            return
        is_idle = self._is_idle()
        if tick.take(DrainLimitPassed):
            self._end_attempts(tick)
            self._finish(tick, is_idle)
        elif self._drain.is_grace_period_over and is_idle:
            self._finish_if_still_idle(tick)

    def _is_idle(self) -> bool:
        calls, owner = self._calls, self._owner
        has_calls = len(calls.calls) or len(calls.attempts) or len(calls.held)
        has_calls = has_calls or len(calls.quota_waits)
        has_work = has_calls or len(owner.attempts) or owner.blocked_answers
        return not has_work and not self._claims.is_busy()

    def _end_attempts(self, tick: Tick) -> None:
        """Tell the entry nodes which of their attempts end with the process.

        Without it they would wait for the last answers of this node.
        """
        tick.post(RefuseQueuedAttempts())
        for row in self._owner.attempts:
            is_running = row.state is OwnedState.RUNNING
            if is_running and row.offer.sender != self._me.node_id:
                self._replies.fail(tick, row.offer)

    def _finish_if_still_idle(self, tick: Tick) -> None:
        """Finish the drain if a second check in the next pass finds no work.

        The first check may precede messages that this pass posted to systems
        that run before this one.
        """
        if tick.take(DrainCheck):
            self._finish(tick, True)
        else:
            tick.post(DrainCheck())

    def _finish(self, tick: Tick, is_clean: bool) -> None:
        # DrainFinished is handled in the next pass, after the membership
        # systems have handled LeaveMesh. The message that tells peers of the
        # departure is therefore sent before the process exits.
        tick.post(LeaveMesh())
        tick.post(DrainFinished(is_clean))

    def _complete(self, tick: Tick, is_clean: bool) -> None:
        self._drain.state = NodeState.STOPPED
        tick.cancel_timer("drain limit")
        detail = "all work is done" if is_clean else "the time limit passed"
        tick.emit(Noted(Event.DRAIN_COMPLETE, detail=detail))
        tick.emit(DrainComplete(is_clean))
