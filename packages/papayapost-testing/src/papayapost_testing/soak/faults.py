"""Base classes of the faults, and the planned work."""

import signal
from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost.ids import Micros, NodeId
from papayapost_testing.demo.tables import ProcessState
from papayapost_testing.soak.messages import (
    ChangeSettings,
    CommandServer,
    ServerCommand,
)
from papayapost_testing.soak.rows import TroubleRow
from papayapost_testing.soak.scene import Scene

__all__ = ["PLANNED_FAULTS", "Fault", "Spell"]


class Fault(ABC):
    """A fault or planned work that advances in steps.

    Attributes
    ----------
    weight
        How often it is drawn, compared with the others.
    node_ids
        Nodes that it has drawn; None before its first step.
    """

    weight: ClassVar[float] = 1.0

    def __init__(self):
        self.node_ids: list[NodeId] | None = None

    @abstractmethod
    def advance(self, scene: Scene) -> Micros | None:
        """Take the next step.

        Returns
        -------
        Micros or None
            Time in µs until the next step, or None after the last one.
        """


class Spell(Fault):
    """A fault that begins, lasts for a while and ends.

    Attributes
    ----------
    most_ms
        Longest time in ms that it lasts.
    """

    most_ms: ClassVar[int] = 5_000

    def __init__(self):
        super().__init__()
        self._troubles: list[TroubleRow] = []

    def advance(self, scene: Scene) -> Micros | None:
        """Begin, then end."""
        if self.node_ids is None:
            self.node_ids = self.draw(scene)
            what = self.begin(scene, self.node_ids)
            self._troubles = [
                scene.open_trouble(node_id, False, what) for node_id in self.node_ids
            ]
            return scene.draw_ms(100, self.most_ms)
        self.end(scene, self.node_ids)
        scene.close_troubles(self._troubles)
        return None

    def draw(self, scene: Scene) -> list[NodeId]:
        """Return the nodes that it disturbs."""
        return scene.draw_nodes(scene.random.randint(1, 3))

    @abstractmethod
    def begin(self, scene: Scene, node_ids: list[NodeId]) -> str:
        """Begin to disturb the nodes, and return in which way."""

    @abstractmethod
    def end(self, scene: Scene, node_ids: list[NodeId]) -> None:
        """Disturb the nodes no longer."""


class RollingRestart(Fault):
    """Terminates nodes in turn; each is started again after its exit."""

    weight = 2.0

    def advance(self, scene: Scene) -> Micros | None:
        """Terminate the next node that still runs."""
        if self.node_ids is None:
            share = scene.random.choice([0.25, 0.5, 1.0])
            self.node_ids = scene.draw_nodes(int(share * len(scene.tables.nodes)))
        while self.node_ids:
            node_id = self.node_ids.pop()
            if scene.tables.nodes.require(node_id).state is ProcessState.RUNNING:
                scene.terminate(node_id)
                return scene.draw_ms(300, 2_500)
        return None


class JointRestart(Fault):
    """Terminates several nodes at the same moment."""

    def advance(self, scene: Scene) -> Micros | None:
        """Terminate up to half of the nodes."""
        most = max(1, len(scene.tables.nodes) // 2)
        for node_id in scene.draw_nodes(scene.random.randint(1, most)):
            scene.terminate(node_id)
        return None


class Hangup(Fault):
    """Changes settings files and sends SIGHUP to nodes that serve.

    Some files change without a signal, and some nodes get a signal twice.
    """

    def advance(self, scene: Scene) -> Micros | None:
        """Send the signals once, and to some nodes again soon after."""
        if self.node_ids is None:
            count = scene.random.randint(1, len(scene.tables.nodes))
            self.node_ids = scene.draw_nodes(count)
            for node_id in self.node_ids[::2]:
                hold_ms = scene.random.randint(100, 200)
                scene.tick.emit(ChangeSettings(node_id, hold_ms))
            self._send(scene, self.node_ids[1:])
            return scene.draw_ms(5, 400)
        self._send(scene, self.node_ids[::2])
        return None

    def _send(self, scene: Scene, node_ids: list[NodeId]) -> None:
        for node_id in node_ids:
            node = scene.tables.nodes.require(node_id)
            if node.served_us > node.started_us:
                scene.signal(node_id, signal.SIGHUP)


class RulesChange(Fault):
    """Changes the rules once."""

    weight = 2.0

    def advance(self, scene: Scene) -> Micros | None:
        """Write the next version."""
        scene.change_rules()
        return None


class RulesStorm(Fault):
    """Changes the rules many times in quick succession."""

    def __init__(self):
        super().__init__()
        self._left = 0

    def advance(self, scene: Scene) -> Micros | None:
        """Write the next version."""
        self._left = self._left - 1 if self._left else scene.random.randint(6, 20)
        scene.change_rules()
        return scene.draw_ms(100, 350) if self._left > 1 else None


class ServerLeaves(Fault):
    """Lets backend servers drain, leave, and return under other ids."""

    weight = 1.5

    def advance(self, scene: Scene) -> Micros | None:
        """Tell a few backend servers to leave."""
        for node_id in scene.draw_nodes(scene.random.randint(1, 2)):
            away_ms = scene.random.randint(200, 2_000)
            scene.tick.emit(CommandServer(node_id, ServerCommand.LEAVE, away_ms))
        return None


PLANNED_FAULTS: tuple[type[Fault], ...] = (
    RollingRestart,
    JointRestart,
    Hangup,
    RulesChange,
    RulesStorm,
    ServerLeaves,
)
"""Planned work, which callers may not notice."""
