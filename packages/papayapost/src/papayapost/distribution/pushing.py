"""Systems that push new rules versions to the children of a node."""

from papayapost.distribution.line_edits import LineEdit, diff_lines, edits_size
from papayapost.distribution.messages import RepushDue, RulesStaged
from papayapost.distribution.peer_messages import (
    RulesDelta,
    RulesNotice,
    RulesProgress,
    RulesRequest,
)
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.tables import ChildPushRow, DeltaRow, RelayTables
from papayapost.ids import Micros, NodeId, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    ChildJoined,
    ChildLeft,
    ChildRow,
    ChildVersionChanged,
    TreeTables,
)
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["PushToChildren", "RecordDeltaHistory"]

_MAX_DELTAS = 128
_MAX_HISTORY_BYTES = 2 << 20
_REPUSH_US = 1_500_000
_REPUSH_EVERY = 16
"""Interval, in push counts, of the repeated pushes to a lagging child.

A push is also repeated if the push count is a power of two.
"""


class RecordDeltaHistory(System):
    """Keeps the deltas between the last versions that the node held.

    A child that reconnects with an older version is sent these deltas instead
    of the whole text.
    """

    consumes = (RulesStaged,)

    def __init__(self, rules: RulesTable, relay: RelayTables, tree: TreeTables):
        self._rules = rules
        self._relay = relay
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Append the newest delta and evict the oldest beyond the bounds."""
        for staged in tick.take(RulesStaged):
            self._add(staged)

    def _add(self, staged: RulesStaged) -> None:
        history = self._relay.history
        edits = self._edits_of(staged)
        if staged.before is None or edits is None:
            history.clear()
            return
        history.append(
            DeltaRow(
                staged.before.version,
                staged.before.rules.digest,
                staged.version,
                edits,
                edits_size(edits),
            )
        )
        while (
            len(history) > _MAX_DELTAS
            or sum(delta.size_bytes for delta in history) > _MAX_HISTORY_BYTES
        ):
            history.popleft()

    def _edits_of(self, staged: RulesStaged) -> tuple[LineEdit, ...] | None:
        if staged.edits is not None or staged.before is None:
            return staged.edits
        tree = self._tree
        if not (tree.is_relay or tree.is_link_relay or len(self._relay.child_pushes)):
            return None
        current = self._rules.held
        if current is None:
            return None
        return diff_lines(staged.before.rules.text, current.rules.text)


class PushToChildren(System):
    """Pushes missing deltas to each child until it acknowledges them."""

    consumes = (
        RulesStaged,
        RulesRequest,
        RulesProgress,
        ChildJoined,
        ChildVersionChanged,
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
        self._is_repush_scheduled = False

    def run(self, tick: Tick) -> None:
        """Update the rows of the children, then push and answer requests."""
        for joined in tick.take(ChildJoined):
            self._add(joined.child)
        for left in tick.take(ChildLeft):
            self._remove(left.node_id)
        for progress in tick.take(RulesProgress):
            self._record_acknowledgement(progress.sender, progress.held_version)
        for changed in tick.take(ChildVersionChanged):
            self._record_acknowledgement(changed.child.node_id, changed.child.version)
        if tick.take(RulesStaged):
            self._push_to_all(tick)
        for request in tick.take(RulesRequest):
            self._answer(tick, request)
        if tick.take(RepushDue):
            self._is_repush_scheduled = False
            self._repush(tick)
        self._schedule_repush(tick)

    def _add(self, child: ChildRow) -> None:
        row = ChildPushRow(child.node_id, child.address, child.version)
        self._relay.child_pushes.put(child.node_id, row)
        self._apply_acknowledgement(row, child.version)

    def _remove(self, node_id: NodeId) -> None:
        # A child that left and rejoined within one tick keeps its row.
        if node_id not in self._tree.children:
            self._relay.child_pushes.pop(node_id)
            self._relay.lagging.pop(node_id, None)

    def _record_acknowledgement(self, node_id: NodeId, version: RuleVersion) -> None:
        row = self._relay.child_pushes.get(node_id)
        if row is not None:
            self._apply_acknowledgement(row, version)

    def _apply_acknowledgement(self, row: ChildPushRow, version: RuleVersion) -> None:
        row.acked_version = max(row.acked_version, version)
        row.is_fetching = False
        if row.acked_version >= self._rules.held_version:
            row.push_count = 0
            self._relay.lagging.pop(row.node_id, None)
        else:
            self._relay.lagging[row.node_id] = None

    def _push_to_all(self, tick: Tick) -> None:
        lagging = self._relay.lagging
        messages: dict[RuleVersion, RulesDelta | RulesNotice] = {}
        for row in self._relay.child_pushes:
            if row.acked_version >= self._rules.held_version or row.is_fetching:
                continue
            # A child whose only unacknowledged push is still in transit is
            # sent the newest delta alone. If that push was lost, the child
            # refuses the delta and requests the rules.
            is_push_in_transit = row.node_id in lagging and row.push_count == 1
            base = self._previous_version() if is_push_in_transit else row.acked_version
            message = messages.get(base)
            if message is None:
                message = messages[base] = self._message_from(base)
            self._send(tick, row, message)
            lagging[row.node_id] = None
            row.push_count = 1

    def _previous_version(self) -> RuleVersion:
        history = self._relay.history
        return history[-1].base_version if history else RuleVersion(0)

    def _answer(self, tick: Tick, request: RulesRequest) -> None:
        message = self._message_from(request.held_version, request.held_digest)
        row = self._relay.child_pushes.get(request.sender)
        if row is None:
            tick.emit(PeerSend(request.reply_to, message))
            return
        row.acked_version = request.held_version
        self._apply_acknowledgement(row, request.held_version)
        row.push_count = 1
        self._send(tick, row, message)

    def _repush(self, tick: Tick) -> None:
        for node_id in list(self._relay.lagging):
            row = self._relay.child_pushes.require(node_id)
            row.push_count += 1
            if _is_power_of_two(row.push_count) or row.push_count % _REPUSH_EVERY == 0:
                self._send(tick, row, self._message_from(row.acked_version))

    def _send(
        self, tick: Tick, row: ChildPushRow, message: RulesDelta | RulesNotice
    ) -> None:
        row.is_fetching = isinstance(message, RulesNotice)
        # The child may put the version into force before it acknowledges it.
        # This node therefore remembers the version as soon as it sends it. A
        # child that restarts receives this version as its version floor, and
        # puts no older version into force.
        self._tree.remember_version(row.node_id, message.version, tick.now_us)
        tick.emit(PeerSend(row.address, message))

    def _schedule_repush(self, tick: Tick) -> None:
        if self._relay.lagging and not self._is_repush_scheduled:
            self._is_repush_scheduled = True
            pause_us = tick.random.randint(_REPUSH_US // 2, _REPUSH_US)
            tick.set_timer(RepushDue, Micros(tick.now_us + pause_us), RepushDue())

    def _message_from(
        self, base: RuleVersion, digest: str | None = None
    ) -> RulesDelta | RulesNotice:
        """Return the delta from version `base`, or a notice of the newest.

        A notice is returned if the history does not reach back to `base`, if
        the digests differ, or if the delta is larger than the whole text.
        """
        deltas = self._deltas_from(base)
        if (
            deltas
            and digest in (None, deltas[0].base_digest)
            and self._is_small_enough(deltas)
        ):
            return RulesDelta(
                self._me.node_id,
                base,
                deltas[0].base_digest,
                deltas[-1].version,
                self._rules.held_digest,
                tuple(edit for delta in deltas for edit in delta.edits),
            )
        return RulesNotice(
            self._me.node_id,
            self._rules.held_version,
            self._rules.held_digest,
            self._size_bytes(),
        )

    def _is_small_enough(self, deltas: list[DeltaRow]) -> bool:
        # The delta between two consecutive versions is sent at any size. A
        # rewritten text must reach all children at once, whereas transfers of
        # whole texts are admitted only a few at a time.
        if len(deltas) == 1:
            return True
        return sum(delta.size_bytes for delta in deltas) <= self._size_bytes()

    def _size_bytes(self) -> int:
        held = self._rules.held
        return len(held.rules.text.encode()) if held else 0

    def _deltas_from(self, base: RuleVersion) -> list[DeltaRow]:
        deltas: list[DeltaRow] = []
        for delta in reversed(self._relay.history):
            if delta.base_version < base:
                break
            deltas.append(delta)
        deltas.reverse()
        return deltas if deltas and deltas[0].base_version == base else []


def _is_power_of_two(number: int) -> bool:
    return number & (number - 1) == 0
