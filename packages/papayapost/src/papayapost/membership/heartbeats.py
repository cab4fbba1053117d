"""Sends heartbeats to the parent and detects the failure of the parent."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import System, Tick
from papayapost.membership.members import Members
from papayapost.membership.messages import (
    ParentChanged,
    ParentLost,
    ParentVersionChanged,
)
from papayapost.membership.peer_messages import Heartbeat, HeartbeatAnswer
from papayapost.membership.tables import TreeTables
from papayapost.peering import PeerSend

__all__ = ["HEARTBEAT_INTERVAL_US", "HEARTBEAT_TIMEOUT_US", "MonitorParent"]

HEARTBEAT_INTERVAL_US = 1_000_000
HEARTBEAT_TIMEOUT_US = 3_500_000
# A longer delay of a timer means that this process was paused.
PAUSE_THRESHOLD_US = 2 * HEARTBEAT_INTERVAL_US


@define
class HeartbeatDue:
    """Timer: send the next heartbeat to the parent."""


class MonitorParent(System):
    """Sends heartbeats, and reports a parent that does not answer as lost."""

    consumes = (HeartbeatAnswer, HeartbeatDue, ParentChanged)

    def __init__(self, members: Members, tree: TreeTables):
        self._members = members
        self._tree = tree
        self._last_sent_us = Micros(0)

    def run(self, tick: Tick) -> None:
        """Process answers first, then check whether the parent is silent."""
        for answer in tick.take(HeartbeatAnswer):
            self._handle_answer(tick, answer)
        if tick.take(HeartbeatDue):
            self._send_heartbeat(tick)
        if tick.take(ParentChanged):
            self._restart_heartbeats(tick)

    def _handle_answer(self, tick: Tick, answer: HeartbeatAnswer) -> None:
        parent = self._tree.parent
        if parent is None or parent.node_id != answer.sender:
            return
        if not answer.is_child:
            tick.post(ParentLost("the parent does not list this node as a child"))
            return
        self._tree.parent_answered_us = tick.now_us
        if (parent.version, parent.digest) != (answer.version, answer.digest):
            parent.version, parent.digest = answer.version, answer.digest
            tick.post(ParentVersionChanged(answer.version, answer.digest))

    def _send_heartbeat(self, tick: Tick) -> None:
        tree = self._tree
        if tree.parent is None:
            return
        if tick.now_us - self._last_sent_us > PAUSE_THRESHOLD_US:
            # This process was paused: restart the timeout of the parent.
            tree.parent_answered_us = tick.now_us
        self._last_sent_us = tick.now_us
        if tick.now_us - tree.parent_answered_us > HEARTBEAT_TIMEOUT_US:
            tick.post(ParentLost("the parent does not answer heartbeats"))
            return
        me, own = self._members.me, self._members.own
        heartbeat = Heartbeat(
            me.node_id, own.incarnation, tree.own_version, tree.own_digest
        )
        tick.emit(PeerSend(tree.parent.address, heartbeat))
        due_us = Micros(tick.now_us + HEARTBEAT_INTERVAL_US)
        tick.set_timer("heartbeat", due_us, HeartbeatDue())

    def _restart_heartbeats(self, tick: Tick) -> None:
        if self._tree.parent is None:
            tick.cancel_timer("heartbeat")
            return
        self._last_sent_us = tick.now_us
        # The first heartbeat is sent at a random time within the interval, so
        # that children that joined together do not send them in bursts.
        due_us = Micros(tick.now_us + tick.random.randrange(HEARTBEAT_INTERVAL_US))
        tick.set_timer("heartbeat", due_us, HeartbeatDue())
