"""The system that controls roll-outs on the nodes that watch the orders."""

from dataclasses import replace

from papayapost.ids import Micros, NodeId
from papayapost.kernel import System, Tick
from papayapost.membership import Directory
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rollout.control_tables import ControlRow
from papayapost.rollout.internal import ControlDue
from papayapost.rollout.messages import (
    AnswerCounts,
    OrdersKnown,
    OrdersWanted,
    RolloutStage,
)
from papayapost.rollout.plan import RolloutTimes
from papayapost.rollout.reading import ControlTable, final_phase_of
from papayapost.rollout.states import Phase
from papayapost.rollout.steps import RolloutSteps
from papayapost.rollout.tables import OrderRow, RolloutTables
from papayapost.rollout.watching import OrderWatch
from papayapost.storage import OrderState, WriteOrderStatus

__all__ = ["ControlRollouts"]

_REVIEW_INTERVAL_US = 250_000
_SHIFT_REVIEW_INTERVAL_US = 100_000
_ANNOUNCE_INTERVAL_US = 500_000
_SHIFT_ANNOUNCE_INTERVAL_US = 200_000
_FINAL_ANNOUNCEMENTS = 4
"""Times that a final phase is announced. A node that misses them all asks its
peers when it starts, and counts the order as held until then."""

_CONTACT_US = 2_000_000
"""Time without an answer of the store after which a controller falls silent.
Another one that reaches the store then takes over."""

_SILENCE_US = 1_200_000
_SILENCE_STEP_US = 400_000
"""Time without a stage after which the next watcher in rank takes over."""

_COMPANY_US = 2_000_000
_ASK_INTERVAL_US = 400_000
_ASKED_PEERS = 4
"""Time without a message of another node after which a node controls nothing,
and how often and how many nodes it asks then."""

_WRITE_STEP_US = 250_000
"""Time for which a watcher leaves the first status to those above it."""

_REWRITE_US = 150_000

_OVERDUE_STEP_US = 100_000
"""Time after the last moment for the final status from which the next watcher
in rank writes that the order is rolled back. The controller has stopped then,
or the store takes one of the two statuses only."""


class ControlRollouts(System):
    """Leads the orders of which this node is the controller.

    Who writes the status ``running`` first controls the order; the store
    refuses the others. Another watcher takes over if the controller is silent.
    Two controllers are harmless: grants are totals, and the store takes a
    final status from one of them only.

    The load pattern that it answers: controllers that are stopped, cut off or
    refused by the store at any step of a roll-out.
    """

    consumes = (AnswerCounts, ControlDue, OrdersKnown, RolloutStage)

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        tables: RolloutTables,
        watch: OrderWatch,
        control: ControlTable,
        steps: RolloutSteps,
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._watch = watch
        self._control = control
        self._steps = steps
        self._heard_us: Micros | None = None
        self._asked_us: Micros | None = None
        self._had_others = False

    def run(self, tick: Tick) -> None:
        """Add the counts, then review all orders that are not ended."""
        messages: list[AnswerCounts | OrdersKnown | RolloutStage] = [
            *tick.take(AnswerCounts),
            *tick.take(OrdersKnown),
            *tick.take(RolloutStage),
        ]
        if any(message.sender != self._me.node_id for message in messages):
            self._heard_us = tick.now_us
        for counts in tick.take(AnswerCounts):
            row = self._control.get(counts.service)
            if row is not None and counts.target_version == row.order.target_version:
                row.add(counts, tick.now_us)
        for stage in tick.take(RolloutStage):
            self._hear(stage)
        if not tick.take(ControlDue):
            return
        pauses_us = [
            pause_us
            for row in list(self._control)
            if (pause_us := self._review(tick, row)) is not None
        ]
        if pauses_us:
            due_us = Micros(tick.now_us + min(pauses_us))
            tick.set_timer(ControlDue, due_us, ControlDue())

    def _hear(self, stage: RolloutStage) -> None:
        """Yield to a controller that ranks higher, and adopt what is final."""
        row = self._control.get(stage.order.service)
        if row is None or stage.sender == self._me.node_id:
            return
        if row.order.target_version != stage.order.target_version:
            return
        is_rolled_back = stage.order.phase is Phase.ROLLED_BACK
        if is_rolled_back and stage.order.revision >= row.order.revision:
            # The other controller may not reach the store to write it.
            self._want(row, OrderState.ROLLED_BACK, f"told by {stage.sender}")
        elif row.is_leading and self._ranks_above(stage.sender):
            row.is_leading = False

    def _ranks_above(self, node_id: NodeId) -> bool:
        candidates = self._watch.candidates()
        if node_id not in candidates or self._me.node_id not in candidates:
            return node_id in candidates
        return candidates.index(node_id) < candidates.index(self._me.node_id)

    def _review(self, tick: Tick, row: ControlRow) -> int | None:
        """Take the next step of an order.

        Returns
        -------
        int or None
            Time in µs until the next review, or None if the order has ended.
        """
        phase = Phase.ROLLED_BACK if row.is_removed else final_phase_of(row.found)
        if phase is not None:
            return self._announce_final(tick, row, phase)
        if row.lost_state is not None:
            self._write_again(tick, row, row.lost_state)
            return _REVIEW_INTERVAL_US
        if not self._watch.is_watching and not row.is_leading:
            return _REVIEW_INTERVAL_US
        is_in_contact = self._watch.is_in_contact(tick.now_us, _CONTACT_US)
        if not (is_in_contact and self._has_company(tick)):
            self._pause(row)
            return _REVIEW_INTERVAL_US
        if not row.is_leading and not self._may_lead(tick, row):
            return self._until_overdue(tick, row)
        if row.is_leading:
            self._lead(tick, row)
        is_shift = row.phase is Phase.SHIFT
        return _SHIFT_REVIEW_INTERVAL_US if is_shift else _REVIEW_INTERVAL_US

    def _has_company(self, tick: Tick) -> bool:
        """Return whether other nodes answer; if none has of late, ask some.

        A node that is cut off from all others hears no controller, and would
        roll back an order that goes well without it.
        """
        others = [row for row in self._directory if row.node_id != self._me.node_id]
        self._had_others = self._had_others or bool(others)
        heard_us, asked_us = self._heard_us, self._asked_us
        if heard_us is not None and tick.now_us - heard_us <= _COMPANY_US:
            return True
        if asked_us is None or tick.now_us - asked_us >= _ASK_INTERVAL_US:
            self._asked_us = tick.now_us
            wanted = OrdersWanted(self._me.node_id, self._me.peer_address)
            for row in tick.random.sample(others, min(_ASKED_PEERS, len(others))):
                tick.emit(PeerSend(row.peer_address, wanted))
        return not self._had_others

    def _pause(self, row: ControlRow) -> None:
        """Send no more stages, so that the lease of the last one ends."""
        row.is_leading = False

    def _overdue_us(self, row: ControlRow) -> Micros | None:
        position = self._watch.position()
        if row.times is None or position is None:
            return None
        step_us = (position + 1) * _OVERDUE_STEP_US
        return Micros(row.times.finish_by_us + step_us)

    def _until_overdue(self, tick: Tick, row: ControlRow) -> int:
        """Return the time in µs until the next review of another's order."""
        overdue_us = self._overdue_us(row)
        if overdue_us is None or overdue_us <= tick.now_us:
            return _REVIEW_INTERVAL_US
        return min(_REVIEW_INTERVAL_US, overdue_us - tick.now_us)

    def _may_lead(self, tick: Tick, row: ControlRow) -> bool:
        """Try to become the controller of an order; return whether it is."""
        position = self._watch.position()
        if position is None:
            return False
        known = self._tables.orders.get(row.order.service)
        is_told = known is not None and (
            known.order.target_version == row.order.target_version
            and known.received_us > 0
            and not known.is_final
        )
        heard_us = known.received_us if known is not None and is_told else row.seen_us
        overdue_us = self._overdue_us(row)
        if overdue_us is not None and tick.now_us >= overdue_us:
            self._want(row, OrderState.ROLLED_BACK, "the time is over")
            self._take_over(tick, row, known if is_told else None)
            return True
        silence_us = _SILENCE_US + position * _SILENCE_STEP_US
        if row.found.current_state is None and not is_told:
            silence_us = position * _WRITE_STEP_US
        if tick.now_us - heard_us < silence_us:
            return False
        self._take_over(tick, row, known if is_told else None)
        return True

    def _take_over(self, tick: Tick, row: ControlRow, known: OrderRow | None) -> None:
        row.is_leading, row.led_since_us = True, tick.now_us
        row.is_based, row.base_exposed, row.shift_us = False, 0, None
        spec = row.found.spec
        assert spec is not None
        if known is not None:
            # The former controller may have written that the move is complete.
            row.may_be_completed |= known.order.phase is Phase.SHIFT
            row.order = replace(known.order, phase=Phase.HELD)
            if row.times is None:
                since_us = tick.now_us - known.received_us
                row.times = RolloutTimes(
                    Micros(tick.now_us - known.elapsed_us - since_us),
                    Micros(tick.now_us - known.elapsed_late_us - since_us),
                    spec.duration_us,
                )
        row.order = replace(row.order, phase=Phase.HELD)
        if known is not None or row.found.current_state is not None:
            detail = f"{row.order.service} to {row.order.target_version}"
            tick.emit(Noted(Event.ROLLOUT_TAKEN_OVER, detail=detail))
        if row.times is None:
            reason = "it is not known when the order was written"
            self._want(row, OrderState.ROLLED_BACK, reason)

    def _want(self, row: ControlRow, state: OrderState, reason: str) -> None:
        if row.wanted is not OrderState.ROLLED_BACK:
            row.wanted, row.reason = state, reason

    def _lead(self, tick: Tick, row: ControlRow) -> None:
        """Decide on the phase, write the status, and announce the stage."""
        before = row.order
        if not before.stable_version:
            stable = self._tables.stable_version(before.service)
            if stable is not None:
                row.order = replace(before, stable_version=stable)
        row.refresh_rate(tick.now_us)
        known = self._tables.orders.get(row.order.service)
        self._steps.base_exposure(row, known, tick.now_us)
        if row.wanted is None and row.found.current_state is None:
            self._write(tick, row, OrderState.RUNNING)
        elif row.wanted is None and row.times is not None:
            step = self._steps.next_step(row, row.times, tick.now_us)
            row.order = replace(row.order, phase=step.phase)
            row.has_news = (step.share, step.grants) != (row.share, row.grants)
            row.share, row.grants = step.share, step.grants
            if step.wanted is not None:
                self._want(row, step.wanted, step.reason)
        if row.wanted is not None:
            self._finish(tick, row, row.wanted)
        if row.order != before:
            detail = f"{row.order.service} to {row.order.target_version}: "
            detail += f"{row.order.phase.value}, {row.exposed} of {row.total}"
            tick.emit(Noted(Event.ROLLOUT_STAGE_CHANGED, detail=detail))
        is_shift = row.phase is Phase.SHIFT
        interval_us = _SHIFT_ANNOUNCE_INTERVAL_US if is_shift else _ANNOUNCE_INTERVAL_US
        is_due = tick.now_us - row.announced_us >= interval_us
        if is_due or row.order != before or row.has_news:
            self._announce(tick, row)

    def _finish(self, tick: Tick, row: ControlRow, state: OrderState) -> None:
        """Write a final status; until it is written, nothing is exposed.

        A version that is rolled back gets no more calls at once. Only if
        `COMPLETED` may have been written before, that is open until the store
        has told.
        """
        if state is OrderState.COMPLETED:
            row.may_be_completed = True
        else:
            row.share, row.grants = 0.0, ()
            phase = Phase.HELD if row.may_be_completed else Phase.ROLLED_BACK
            if row.order.phase is not phase:
                detail = f"{row.order.service} {row.order.target_version}: "
                tick.emit(Noted(Event.ROLLOUT_CALLED_OFF, detail=detail + row.reason))
            revision = max(row.order.revision, row.found.revision)
            row.order = replace(row.order, phase=phase, revision=revision)
        self._write(tick, row, state)

    def _write(self, tick: Tick, row: ControlRow, state: OrderState) -> None:
        if row.writing is not None or tick.now_us < row.write_due_us:
            return
        row.writing = state
        row.write_due_us = Micros(tick.now_us + _REWRITE_US)
        found = row.found
        status = row.status_of(state)
        tick.emit(WriteOrderStatus(found.name, found.revision, status))

    def _write_again(self, tick: Tick, row: ControlRow, state: OrderState) -> None:
        """Write a final status that the store has lost; nothing is exposed."""
        position = self._watch.position()
        if position is None or not self._watch.is_watching:
            return
        if tick.now_us - row.lost_us >= position * _WRITE_STEP_US:
            self._write(tick, row, state)

    def _announce_final(self, tick: Tick, row: ControlRow, phase: Phase) -> int | None:
        if row.final_announcements >= _FINAL_ANNOUNCEMENTS:
            return None
        if not row.final_announcements:
            revision = max(row.order.revision, row.found.revision)
            row.order = replace(row.order, phase=phase, revision=revision)
            detail = f"{row.order.service} to {row.order.target_version}: {row.reason}"
            if phase is Phase.COMPLETED:
                tick.emit(Noted(Event.ROLLOUT_COMPLETED, detail=detail))
            else:
                tick.emit(Noted(Event.ROLLOUT_ROLLED_BACK, detail=detail))
        row.is_leading, row.lost_state = False, None
        row.share, row.grants = 0.0, ()
        row.final_announcements += 1
        self._announce(tick, row)
        return _ANNOUNCE_INTERVAL_US

    def _announce(self, tick: Tick, row: ControlRow) -> None:
        row.announced_us, row.has_news = tick.now_us, False
        self._tables.counters.stages += 1
        times = row.times
        elapsed_us = 0 if times is None else tick.now_us - times.early_us
        late_us = 0 if times is None else tick.now_us - times.late_us
        stage = RolloutStage(
            self._me.node_id,
            self._me.peer_address,
            row.order,
            row.share,
            row.grants,
            row.exposed,
            row.total,
            Micros(elapsed_us),
            Micros(late_us),
        )
        for node in self._directory:
            if node.node_id != self._me.node_id:
                tick.emit(PeerSend(node.peer_address, stage))
        tick.post(stage)
