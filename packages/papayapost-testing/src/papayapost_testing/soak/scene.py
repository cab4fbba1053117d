"""What a fault sees and does: nodes to act on, signals, links and rules."""

import signal
from collections.abc import Iterable
from random import Random

from papayapost.ids import Micros, NodeId
from papayapost.kernel import Tick
from papayapost_testing.demo.tables import ProcessState
from papayapost_testing.soak.bounds import EXIT_SLACK_US, GRACE_US
from papayapost_testing.soak.messages import (
    CommandStore,
    GraceDue,
    RestoreStore,
    SetLink,
    SignalNode,
    StoreCommand,
    WriteRules,
)
from papayapost_testing.soak.rows import (
    NEVER,
    Link,
    LinkMode,
    NodeRow,
    TroubleRow,
)
from papayapost_testing.soak.rules import next_version
from papayapost_testing.soak.tables import SoakTables

__all__ = ["Scene"]

_ALIVE = (ProcessState.RUNNING, ProcessState.PAUSED, ProcessState.DRAINING)


class Scene:
    """The tables and the tick as one fault uses them.

    Parameters
    ----------
    random
        Random source of the fault.
    """

    def __init__(self, tables: SoakTables, tick: Tick, random: Random):
        self.tables = tables
        self.tick = tick
        self.random = random

    def draw_nodes(self, count: int) -> list[NodeId]:
        """Return up to `count` nodes whose processes run."""
        running = [
            row.node_id
            for row in self.tables.nodes
            if row.state is ProcessState.RUNNING
        ]
        return self.random.sample(running, min(count, len(running)))

    def draw_ms(self, least: int, most: int) -> Micros:
        """Return a time in µs between two limits in ms."""
        return Micros(self.random.randint(least, most) * 1000)

    def open_trouble(
        self,
        node_id: NodeId | None,
        is_planned: bool,
        what: str,
        ends_with_start: bool = False,
    ) -> TroubleRow:
        """Record that a trouble begins now, and return its row."""
        now_us = self.tick.now_us
        row = TroubleRow(
            node_id, is_planned, what, now_us, ends_with_start=ends_with_start
        )
        self.tables.troubles.append(row)
        return row

    def close_troubles(self, rows: Iterable[TroubleRow]) -> None:
        """Record that troubles end now."""
        for row in rows:
            row.ended_us = self.tick.now_us

    def terminate(self, node_id: NodeId, is_planned: bool = True) -> None:
        """Send SIGTERM to a node's process if it is alive."""
        node = self.tables.nodes.require(node_id)
        if node.state not in _ALIVE:
            return
        self.open_trouble(node_id, is_planned, "SIGTERM", ends_with_start=True)
        if node.term_us == NEVER:
            node.term_us = self.tick.now_us
            self.tick.set_timer(
                ("grace", node_id),
                Micros(node.term_us + GRACE_US + EXIT_SLACK_US),
                GraceDue(node_id, node.start),
            )
        if node.state is ProcessState.RUNNING:
            node.state = ProcessState.DRAINING
        self.tick.emit(SignalNode(node_id, signal.SIGTERM))

    def kill(self, node_id: NodeId) -> None:
        """Send SIGKILL to a node's process if it is alive."""
        node = self.tables.nodes.require(node_id)
        if node.state not in _ALIVE:
            return
        self.open_trouble(node_id, False, "SIGKILL", ends_with_start=True)
        node.kill_us = self.tick.now_us
        node.state = ProcessState.KILLED
        self.tick.emit(SignalNode(node_id, signal.SIGKILL))

    def signal(self, node_id: NodeId, signal_number: int) -> None:
        """Send any other signal to a node's process if it is alive."""
        if self.is_alive(node_id):
            self.tick.emit(SignalNode(node_id, signal_number))

    def is_alive(self, node_id: NodeId) -> bool:
        """Return whether a node's process runs, paused or draining too."""
        node: NodeRow = self.tables.nodes.require(node_id)
        return node.state in _ALIVE

    def set_link(
        self, node_id: NodeId, link: Link, mode: LinkMode, delay_ms: int = 0
    ) -> None:
        """Set the mode of a node's link."""
        self.tick.emit(SetLink(node_id, link, mode, delay_ms))

    def take_store_away(self) -> None:
        """Let the store answer nobody until it is restored."""
        self.tables.is_store_away = True
        self.tick.emit(CommandStore(StoreCommand.LEAVE))

    def restore_store(self, skipped: int) -> None:
        """Let the store come back from its copy."""
        self.tables.is_store_away = False
        self.tick.emit(RestoreStore(skipped))

    def rewrite_rules(self) -> None:
        """Write the newest rules version to the store once more."""
        if not self.tables.is_store_away:
            self.tick.emit(WriteRules(self.tables.newest()))

    def change_rules(self) -> None:
        """Write the next rules version to the store, unless it is away."""
        if self.tables.is_store_away:
            return
        version = next_version(self.tables.newest(), self.random)
        self.tables.versions.put(version.version, version)
        self.tick.emit(WriteRules(version))
