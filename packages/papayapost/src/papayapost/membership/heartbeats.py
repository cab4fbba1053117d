"""Heartbeats from a child to its parent."""

from dataclasses import dataclass

from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import ParentChanged, ParentLost, ParentVersionSeen
from papayapost.membership.peer_messages import Heartbeat, HeartbeatAnswer
from papayapost.membership.tables import TreeTables
from papayapost.peering import PeerSend

__all__ = ["HEARTBEAT_US", "SILENCE_US", "KeepParent"]

HEARTBEAT_US = 1_000_000
SILENCE_US = 3_500_000
PAUSE_US = 2 * HEARTBEAT_US


@dataclass(slots=True)
class HeartbeatDue:
    """Timer: tell the parent of this node."""


class KeepParent(System):
    """Sends heartbeats and gives up a parent that does not answer."""

    consumes = (HeartbeatAnswer, HeartbeatDue, ParentChanged)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._sent_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Take answers before silence is judged."""
        for answer in tick.take(HeartbeatAnswer):
            self._see_answer(tick, answer)
        if tick.take(HeartbeatDue):
            self._beat(tick)
        if tick.take(ParentChanged):
            self._restart(tick)

    def _see_answer(self, tick: Tick, answer: HeartbeatAnswer) -> None:
        parent = self._tree.parent
        if parent is None or parent.node_id != answer.sender:
            return
        if not answer.is_child:
            tick.post(ParentLost("it does not know this child"))
            return
        self._tree.acknowledged_us = tick.now_us
        if (parent.version, parent.digest) != (answer.version, answer.digest):
            parent.version, parent.digest = answer.version, answer.digest
            tick.post(ParentVersionSeen(answer.version, answer.digest))

    def _beat(self, tick: Tick) -> None:
        tree = self._tree
        if tree.parent is None:
            return
        if tick.now_us - self._sent_us > PAUSE_US:
            # The process itself was paused; the parent gets its full time.
            tree.acknowledged_us = tick.now_us
        self._sent_us = tick.now_us
        if tick.now_us - tree.acknowledged_us > SILENCE_US:
            tick.post(ParentLost("it does not answer"))
            return
        me, own = self._members.me, self._members.own
        beat = Heartbeat(me.node_id, own.incarnation, tree.own_version, tree.own_digest)
        tick.emit(PeerSend(tree.parent.address, beat))
        due_us = Micros(tick.now_us + HEARTBEAT_US)
        tick.set_timer("heartbeat", due_us, HeartbeatDue())

    def _restart(self, tick: Tick) -> None:
        if self._tree.parent is None:
            tick.cancel_timer("heartbeat")
            return
        self._sent_us = tick.now_us
        # The first beat falls anywhere in the period, so that the beats of
        # children that joined together do not stay together.
        due_us = Micros(tick.now_us + tick.random.randrange(HEARTBEAT_US))
        tick.set_timer("heartbeat", due_us, HeartbeatDue())
