"""Systems that let a node or its backend server leave without losing work."""

from dataclasses import replace

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, LeaveMesh, OwnRowChanged
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import BackendServerState, NodeState
from papayapost.traffic.claims.messages import PartitionReady
from papayapost.traffic.claims.tables import ClaimTables
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.tables import TrafficTables
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.internal import (
    AnnounceDue,
    AttemptLost,
    CallDue,
    DrainCheck,
    DrainFinished,
    DrainLimitPassed,
    GraceOver,
)
from papayapost.traffic.messages import (
    AnswerEnded,
    AttemptCancel,
    AttemptFailed,
    AttemptRefused,
    CallerGone,
    CallExpired,
)
from papayapost.traffic.owner.tables import OwnerTables
from papayapost.traffic.owner_messages import (
    AttemptExpired,
    BackendCallEnded,
    DrainComplete,
    DrainRequested,
    OwnBackendServerSeen,
)

__all__ = ["DrainRow", "FinishDrain", "StartDrain"]

GRACE_US = 3_000_000
"""Time in which other nodes learn of a drain and offers are still served."""


class StartDrain(System):
    """Announces that new work should go elsewhere, then refuses it.

    Offers that were sent before their entry node learned of the drain are
    served during a grace period.

    Parameters
    ----------
    grace_us
        Length of that period in µs.
    announce_us
        Time in µs from the request to the announcement. Callers may need
        longer to leave than other nodes do, and until then no other node can
        use the backend server of this VM.
    """

    consumes = (AnnounceDue, DrainRequested, OwnBackendServerSeen, GraceOver)

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
        """Follow what the process and its backend server ask for."""
        for seen in tick.take(OwnBackendServerSeen):
            if self._drain.state is NodeState.SERVING:
                self._follow(tick, seen.state)
        for requested in tick.take(DrainRequested):
            if self._drain.state is NodeState.SERVING:
                self._drain_node(tick, requested)
        if tick.take(AnnounceDue):
            self._announce_leaving(tick)
        if tick.take(GraceOver):
            self._owner.is_refusing = True
            self._drain.is_grace_over = self._drain.state is NodeState.DRAINING

    def _follow(self, tick: Tick, state: BackendServerState) -> None:
        if not self._announce(tick, state):
            return
        if state is BackendServerState.DRAINING:
            self._set_grace(tick)
        else:
            self._owner.is_refusing = False
            tick.cancel_timer("drain grace")

    def _drain_node(self, tick: Tick, requested: DrainRequested) -> None:
        self._drain.state = NodeState.DRAINING
        if self._announce_us:
            due_us = Micros(tick.now_us + self._announce_us)
            tick.set_timer("drain announcement", due_us, AnnounceDue())
        else:
            self._announce_leaving(tick)
        self._set_grace(tick)
        limit_us = Micros(tick.now_us + requested.limit_ms * 1000)
        tick.set_timer("drain limit", limit_us, DrainLimitPassed())
        tick.emit(Noted(Event.NODE_DRAINING))

    def _announce_leaving(self, tick: Tick) -> None:
        self._drain.is_announced = True
        self._announce(tick, BackendServerState.DRAINING)

    def _set_grace(self, tick: Tick) -> None:
        due_us = Micros(tick.now_us + self._grace_us)
        tick.set_timer("drain grace", due_us, GraceOver())

    def _announce(self, tick: Tick, state: BackendServerState) -> bool:
        """Change the own row, and return whether that was a change."""
        own = self._directory.require(self._me.node_id)
        if own.state is state:
            return False
        changed = replace(own, state=state, revision=own.revision + 1)
        self._directory.put(own.node_id, changed)
        if own.service is not None:
            self._upstreams.withdraw(own.service, own.node_id)
        tick.post(OwnRowChanged())
        return True


class FinishDrain(System):
    """Tells the process to exit once nothing is left, or the limit passed."""

    consumes = (
        AnswerEnded,
        AttemptCancel,
        AttemptExpired,
        AttemptFailed,
        AttemptLost,
        AttemptRefused,
        BackendCallEnded,
        CallDue,
        CallExpired,
        CallerGone,
        DrainCheck,
        DrainFinished,
        DrainLimitPassed,
        GraceOver,
        PartitionReady,
    )

    def __init__(
        self,
        drain: DrainRow,
        calls: TrafficTables,
        owner: OwnerTables,
        claims: ClaimTables,
    ):
        self._drain = drain
        self._calls = calls
        self._owner = owner
        self._claims = claims

    def run(self, tick: Tick) -> None:
        """Look whether anything is left."""
        if self._drain.state is not NodeState.DRAINING:
            return
        for finished in tick.take(DrainFinished):
            self._complete(tick, finished.is_clean)
            return
        is_idle = self._is_idle()
        if tick.take(DrainLimitPassed):
            self._finish(tick, is_idle)
        elif self._drain.is_grace_over and is_idle:
            self._finish_if_still_idle(tick)

    def _is_idle(self) -> bool:
        calls, owner = self._calls, self._owner
        is_entry = len(calls.calls) or len(calls.attempts) or len(calls.held)
        is_serving = is_entry or len(owner.attempts)
        return not is_serving and not self._claims.is_busy()

    def _finish_if_still_idle(self, tick: Tick) -> None:
        """Look again after what this pass posted to earlier systems."""
        if tick.take(DrainCheck):
            self._finish(tick, True)
        else:
            tick.post(DrainCheck())

    def _finish(self, tick: Tick, is_clean: bool) -> None:
        # The message comes back in the next pass, after membership has said
        # farewell, so that the process exits with that already on its way.
        tick.post(LeaveMesh())
        tick.post(DrainFinished(is_clean))

    def _complete(self, tick: Tick, is_clean: bool) -> None:
        self._drain.state = NodeState.STOPPED
        tick.cancel_timer("drain limit")
        detail = "all work is done" if is_clean else "the limit passed"
        tick.emit(Noted(Event.DRAIN_COMPLETE, detail=detail))
        tick.emit(DrainComplete(is_clean))
