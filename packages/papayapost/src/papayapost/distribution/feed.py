"""Systems that feed the children of a node."""

from papayapost.distribution.held import RulesTable
from papayapost.distribution.lines import LineEdit, diff_lines, edits_size
from papayapost.distribution.messages import RepushDue, RulesHeld
from papayapost.distribution.peer_messages import (
    RulesDelta,
    RulesNotice,
    RulesProgress,
    RulesRequest,
)
from papayapost.distribution.tables import FeedRow, HistoryRow, RelayTables
from papayapost.ids import Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    ChildAcknowledged,
    ChildJoined,
    ChildLeft,
    ChildRow,
    TreeTables,
)
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["FeedChildren", "KeepHistory"]

_MAX_STEPS = 128
_MAX_HISTORY_BYTES = 2 << 20
_REPUSH_US = 1_500_000
_REPUSH_EVERY = 16


class KeepHistory(System):
    """Keeps the last steps between held versions, for resumed children."""

    consumes = (RulesHeld,)

    def __init__(self, rules: RulesTable, relay: RelayTables, tree: TreeTables):
        self._rules = rules
        self._relay = relay
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Add the newest step and drop what exceeds the bounds."""
        for held in tick.take(RulesHeld):
            self._add(held)

    def _add(self, held: RulesHeld) -> None:
        history = self._relay.history
        edits = self._edits_of(held)
        if held.before is None or edits is None:
            history.clear()
            return
        history.append(
            HistoryRow(
                held.before.version,
                held.before.rules.digest,
                held.version,
                edits,
                edits_size(edits),
            )
        )
        while (
            len(history) > _MAX_STEPS
            or sum(step.size_bytes for step in history) > _MAX_HISTORY_BYTES
        ):
            history.popleft()

    def _edits_of(self, held: RulesHeld) -> tuple[LineEdit, ...] | None:
        if held.edits is not None or held.before is None:
            return held.edits
        tree = self._tree
        if not (tree.is_relay or tree.is_link_relay or len(self._relay.feeds)):
            return None
        now_held = self._rules.held
        if now_held is None:
            return None
        return diff_lines(held.before.rules.text, now_held.rules.text)


class FeedChildren(System):
    """Sends each child the steps it lacks, until it acknowledges them."""

    consumes = (
        RulesHeld,
        RulesRequest,
        RulesProgress,
        ChildJoined,
        ChildAcknowledged,
        ChildLeft,
        RepushDue,
    )

    def __init__(
        self, me: SelfRow, rules: RulesTable, relay: RelayTables, tree: TreeTables
    ):
        self._me = me
        self._rules = rules
        self._relay = relay
        self._tree = tree
        self._is_repush_set = False

    def run(self, tick: Tick) -> None:
        """Follow the children, then push and answer."""
        for joined in tick.take(ChildJoined):
            self._add(joined.child)
        for left in tick.take(ChildLeft):
            self._remove(left.node_id)
        for progress in tick.take(RulesProgress):
            self._see_version(progress.sender, progress.held_version)
        for beat in tick.take(ChildAcknowledged):
            self._see_version(beat.child.node_id, beat.child.version)
        if tick.take(RulesHeld):
            self._push_to_all(tick)
        for request in tick.take(RulesRequest):
            self._answer(tick, request)
        if tick.take(RepushDue):
            self._is_repush_set = False
            self._repush(tick)
        self._set_repush(tick)

    def _add(self, child: ChildRow) -> None:
        row = FeedRow(child.node_id, child.address, child.version)
        self._relay.feeds.put(child.node_id, row)
        self._note_acked(row, child.version)

    def _remove(self, node_id: NodeId) -> None:
        # A child that left and came back within one tick is still there.
        if node_id not in self._tree.children:
            self._relay.feeds.pop(node_id)
            self._relay.behind.pop(node_id, None)

    def _see_version(self, node_id: NodeId, version: RuleVersion) -> None:
        row = self._relay.feeds.get(node_id)
        if row is not None:
            self._note_acked(row, version)

    def _note_acked(self, row: FeedRow, version: RuleVersion) -> None:
        row.acked = max(row.acked, version)
        row.is_fetching = False
        if row.acked >= self._rules.held_version:
            row.pushes = 0
            self._relay.behind.pop(row.node_id, None)
        else:
            self._relay.behind[row.node_id] = None

    def _push_to_all(self, tick: Tick) -> None:
        behind = self._relay.behind
        messages: dict[RuleVersion, RulesDelta | RulesNotice] = {}
        for row in self._relay.feeds:
            if row.acked >= self._rules.held_version or row.is_fetching:
                continue
            # A child that has the last push on its way is sent the next step
            # alone; should it have lost that push, it asks.
            is_fresh = row.node_id in behind and row.pushes == 1
            base = self._previous_version() if is_fresh else row.acked
            message = messages.get(base)
            if message is None:
                message = messages[base] = self._message_from(base)
            self._send(tick, row, message)
            behind[row.node_id] = None
            row.pushes = 1

    def _previous_version(self) -> RuleVersion:
        history = self._relay.history
        return history[-1].base_version if history else RuleVersion(0)

    def _answer(self, tick: Tick, request: RulesRequest) -> None:
        message = self._message_from(request.held_version, request.held_digest)
        row = self._relay.feeds.get(request.sender)
        if row is None:
            tick.emit(PeerSend(request.reply_to, message))
            return
        row.acked = request.held_version
        self._note_acked(row, request.held_version)
        row.pushes = 1
        self._send(tick, row, message)

    def _repush(self, tick: Tick) -> None:
        for node_id in list(self._relay.behind):
            row = self._relay.feeds.require(node_id)
            row.pushes += 1
            if _is_power_of_two(row.pushes) or row.pushes % _REPUSH_EVERY == 0:
                self._send(tick, row, self._message_from(row.acked))

    def _send(
        self, tick: Tick, row: FeedRow, message: RulesDelta | RulesNotice
    ) -> None:
        row.is_fetching = isinstance(message, RulesNotice)
        # The child may hold the version from now on: should it restart before
        # it acknowledges, it must not serve less.
        self._tree.remember_version(row.node_id, message.version, tick.now_us)
        tick.emit(PeerSend(row.address, message))

    def _set_repush(self, tick: Tick) -> None:
        if self._relay.behind and not self._is_repush_set:
            self._is_repush_set = True
            pause_us = tick.random.randint(_REPUSH_US // 2, _REPUSH_US)
            tick.set_timer(RepushDue, Micros(tick.now_us + pause_us), RepushDue())

    def _message_from(
        self, base: RuleVersion, digest: str | None = None
    ) -> RulesDelta | RulesNotice:
        """Return the delta from a version, or the notice of the newest."""
        steps = self._steps_from(base)
        if steps and digest in (None, steps[0].base_digest) and self._is_short(steps):
            return RulesDelta(
                self._me.node_id,
                base,
                steps[0].base_digest,
                steps[-1].version,
                self._rules.held_digest,
                tuple(edit for step in steps for edit in step.edits),
            )
        return RulesNotice(
            self._me.node_id,
            self._rules.held_version,
            self._rules.held_digest,
            self._size_bytes(),
        )

    def _is_short(self, steps: list[HistoryRow]) -> bool:
        # One step is always sent: a rewritten text must reach all children
        # at once, and transfers are admitted a few at a time.
        if len(steps) == 1:
            return True
        return sum(step.size_bytes for step in steps) <= self._size_bytes()

    def _size_bytes(self) -> int:
        held = self._rules.held
        return len(held.rules.text.encode()) if held else 0

    def _steps_from(self, base: RuleVersion) -> list[HistoryRow]:
        steps: list[HistoryRow] = []
        for step in reversed(self._relay.history):
            if step.base_version < base:
                break
            steps.append(step)
        steps.reverse()
        return steps if steps and steps[0].base_version == base else []


def _is_power_of_two(number: int) -> bool:
    return number & (number - 1) == 0
