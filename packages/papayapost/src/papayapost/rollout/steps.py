"""Decides on the next step of an order from the counts of its answers."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.membership import BackendServerRow, Directory
from papayapost.membership.ranking import rank_key
from papayapost.rollout.control_tables import ControlRow, CountedNode
from papayapost.rollout.messages import Grant
from papayapost.rollout.plan import RolloutTimes, TrialPlan, planned_share
from papayapost.rollout.states import Phase
from papayapost.rollout.tables import OrderRow, RolloutLimits
from papayapost.rollout.verdict import Judgement
from papayapost.states import BackendServerState
from papayapost.storage import OrderState

__all__ = ["RolloutSteps", "Step"]

_HEARD_US = 1_200_000
"""Age at which the counts of a node are too old to go by."""

_MOVED_HEARD_US = 600_000
"""Age at which the count of an old server no longer shows that it is idle. It
is below the lease of the move, after which the server takes calls again."""

_MEET_US = 800_000
"""Time for which a controller collects counts before it exposes anything."""

_MIN_OLD_NODES = 0.7
"""Share of the old servers that must be in sight for the move. With fewer,
this node may be cut off from others that would go on with the old version."""

_SLOT_MARGIN = 1.25
_MIN_SLOT_SHARE = 0.5
"""Slots of the target version, by the most attempts at the old servers at once
and by the slots of the old servers."""

_BURST_LOAD = 1.1
_BURST_S = 0.6
"""Load of a server in the trial, by the usual load of an old one, and shortest
time for which it gets that. A version may be bad under load only."""

_REPORT_US = 350_000
"""Time from an answer until the controller has its count."""

_MIN_SHIFT_PART = 0.6
_MIN_SHIFT_ANSWERS = 20
"""What the move has to show before it is completed: this part of its time and
this many answers."""


@define(frozen=True)
class Step:
    """The phase of an order, and the final status to write, if any."""

    phase: Phase
    share: float = 0.0
    grants: tuple[Grant, ...] = ()
    wanted: OrderState | None = None
    reason: str = ""


class RolloutSteps:
    """Takes an order from the trial to the move, or calls it off.

    The load pattern that it answers: a version that is bad at once, late,
    under load or on one route, and bursts of calls while it is tried.
    """

    def __init__(self, directory: Directory, limits: RolloutLimits):
        self._directory = directory
        self._limits = limits

    def base_exposure(
        self, row: ControlRow, known: OrderRow | None, now_us: Micros
    ) -> None:
        """Take over what an earlier controller has counted."""
        if row.is_based or now_us - row.led_since_us < _MEET_US:
            return
        row.is_based = True
        if known is not None and known.order.target_version == (
            row.order.target_version
        ):
            row.base_exposed = max(0, known.exposed - row.counted_exposed())

    def next_step(self, row: ControlRow, times: RolloutTimes, now_us: Micros) -> Step:
        """Return the phase of an order that is running."""
        row.refresh_running(now_us, _HEARD_US)
        verdict = row.evidence.verdict()
        if verdict.judgement is Judgement.BAD:
            return _rollback(f"bad version: {verdict.reason}")
        if now_us >= times.finish_by_us and row.wanted is None:
            return _rollback("the time is over")
        if not row.is_based:
            return Step(Phase.HELD)
        old = self._nodes(row.order.service, row.order.stable_version)
        new = self._nodes(row.order.service, row.order.target_version)
        self._record_old(row, old, now_us)
        if row.shift_us is not None:
            return self._shift(row, times, old, now_us)
        if now_us >= times.shift_us(row.evidence.answer_us()):
            reason = self._reason_against_shift(row, times, old, new, now_us)
            if reason:
                return _rollback(reason)
            row.shift_us, row.shift_answers = now_us, row.evidence.answers
            row.evidence.begin_move()
            return Step(Phase.SHIFT)
        return self._trial(row, times, new, len(old), now_us)

    def _nodes(self, service: str, version: str) -> list[BackendServerRow]:
        return [
            row
            for row in self._directory.find("service", service)
            if row.software_version == version and row.state is BackendServerState.READY
        ]

    def _counted(
        self, row: ControlRow, server: BackendServerRow, now_us: Micros
    ) -> CountedNode | None:
        """Return the recent counts of a server, or None."""
        node = row.nodes.get((server.node_id, server.incarnation))
        if node is None or now_us - node.heard_us > _HEARD_US:
            return None
        return node if node.counts.version == server.software_version else None

    def _record_old(
        self, row: ControlRow, old: list[BackendServerRow], now_us: Micros
    ) -> None:
        row.most_old_nodes = max(row.most_old_nodes, len(old))
        counted = [self._counted(row, server, now_us) for server in old]
        running = sum(node.counts.running for node in counted if node)
        row.peak_running = max(row.peak_running, running)

    def _trial(
        self,
        row: ControlRow,
        times: RolloutTimes,
        new: list[BackendServerRow],
        old_count: int,
        now_us: Micros,
    ) -> Step:
        """Return the share and the grants of the trial.

        Calls go to few servers in bursts, so that each gets the usual load of
        a server. Between the bursts, room is saved for the next one.
        """
        ready = [
            (server, node)
            for server in new
            if (node := self._counted(row, server, now_us)) is not None
            and not node.counts.is_cold
        ]
        if not ready or not old_count or not row.rate_per_s:
            return Step(Phase.CANARY)
        part = planned_share(self._limits, times, row.evidence.answer_us())
        count = max(1, min(len(ready), int(part * old_count)))
        ready.sort(key=lambda pair: rank_key(pair[0].node_id))
        chosen = ready[:count]
        plan = TrialPlan(self._limits, row.exposed, row.total, row.rate_per_s)
        room = plan.trial_room(part)
        load_per_s = _BURST_LOAD * count * row.rate_per_s / old_count
        row.is_bursting = room >= load_per_s * _BURST_S or (
            row.is_bursting and room >= 1
        )
        each = room // count if row.is_bursting else 0
        grants = tuple(
            Grant(server.node_id, server.incarnation, node.counts.admitted + each)
            for server, node in chosen
        )
        is_sent = row.is_bursting and each > 0
        share = min(1.0, _BURST_LOAD * count / old_count) if is_sent else 0.0
        return Step(Phase.CANARY, share, grants)

    def _reason_against_shift(
        self,
        row: ControlRow,
        times: RolloutTimes,
        old: list[BackendServerRow],
        new: list[BackendServerRow],
        now_us: Micros,
    ) -> str:
        verdict = row.evidence.verdict()
        if verdict.judgement is not Judgement.GOOD:
            return f"not known to be good: {verdict.reason}"
        if len(old) < _MIN_OLD_NODES * row.most_old_nodes:
            return f"{len(old)} of {row.most_old_nodes} old servers are in sight"
        slots = sum(
            server.slots
            for server in new
            if (node := self._counted(row, server, now_us)) is not None
            and not node.counts.is_cold
        )
        old_slots = sum(server.slots for server in old)
        needed = max(_SLOT_MARGIN * row.peak_running, _MIN_SLOT_SHARE * old_slots)
        if slots < needed:
            return f"{slots} slots of the version, {needed:.0f} needed"
        plan = TrialPlan(self._limits, row.exposed, row.total, row.rate_per_s)
        if not plan.may_shift(times.end_us - now_us):
            return f"{row.exposed} of {row.total} requests leave no room for the move"
        return ""

    def _shift(
        self,
        row: ControlRow,
        times: RolloutTimes,
        old: list[BackendServerRow],
        now_us: Micros,
    ) -> Step:
        """Return whether the move is complete, goes on, or is called off."""
        assert row.shift_us is not None
        plan = TrialPlan(self._limits, row.exposed, row.total, row.rate_per_s)
        if plan.must_end_shift():
            return _rollback(f"{row.exposed} of {row.total} requests in the move")
        span_us = times.finish_by_us - row.shift_us
        elapsed_us = now_us - row.shift_us
        has_shown = row.evidence.answers - row.shift_answers >= _MIN_SHIFT_ANSWERS
        is_good = row.evidence.verdict().judgement is Judgement.GOOD
        long_us = row.evidence.long_us() + _REPORT_US
        is_time = elapsed_us >= max(_MIN_SHIFT_PART * span_us, long_us)
        is_good = is_good and not row.evidence.has_many_long()
        if is_time and has_shown and is_good and self._is_moved(row, old, now_us):
            reason = f"{row.exposed} of {row.total} requests, {row.evidence.answers} ok"
            return Step(Phase.SHIFT, wanted=OrderState.COMPLETED, reason=reason)
        return Step(Phase.SHIFT)

    def _is_moved(
        self, row: ControlRow, old: list[BackendServerRow], now_us: Micros
    ) -> bool:
        """Return whether the old servers can stop without harm to a call.

        Attempts that may run twice are tried again elsewhere.
        """
        if len(old) < _MIN_OLD_NODES * row.most_old_nodes:
            return False
        oldest_us = now_us - _MOVED_HEARD_US
        for server in old:
            node = self._counted(row, server, now_us)
            if node is None or node.counts.is_open or node.counts.running_once:
                return False
            if node.heard_us < oldest_us:
                return False
            if node.counts.running:
                return False
        return True


def _rollback(reason: str) -> Step:
    return Step(Phase.HELD, wanted=OrderState.ROLLED_BACK, reason=reason)
