"""The faults: each acts in steps on the nodes that it draws."""

import signal
from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost.ids import Micros, NodeId
from papayapost_testing.demo.tables import ProcessState
from papayapost_testing.soak.messages import (
    ChangeSettings,
    CommandServer,
    CommandStore,
    ServerCommand,
    SetServerMode,
    StoreCommand,
)
from papayapost_testing.soak.scene import Scene
from papayapost_testing.soak.tables import Link, LinkMode, ServerMode, TroubleRow

__all__ = ["PLANNED_FAULTS", "UNPLANNED_FAULTS", "Fault"]


class Fault(ABC):
    """A fault or planned work that advances in steps.

    Attributes
    ----------
    weight
        How often it is drawn, compared with the others.
    """

    weight: ClassVar[float] = 1.0

    @property
    def name(self) -> str:
        """Name in the soak's log."""
        return type(self).__name__

    @abstractmethod
    def advance(self, scene: Scene) -> Micros | None:
        """Take the next step.

        Returns
        -------
        Micros or None
            Time in µs until the next step, or None after the last one.
        """


class RollingRestart(Fault):
    """Terminates nodes in turn; each is started again after its exit."""

    weight = 2.0

    def __init__(self):
        self._waiting: list[NodeId] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Terminate the next node that still runs."""
        if self._waiting is None:
            share = scene.random.choice([0.25, 0.5, 1.0])
            self._waiting = scene.draw_nodes(int(share * len(scene.tables.nodes)))
        while self._waiting:
            node_id = self._waiting.pop()
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

    def __init__(self):
        self._node_ids: list[NodeId] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Send the signals once, and to some nodes again soon after."""
        if self._node_ids is None:
            count = scene.random.randint(1, len(scene.tables.nodes))
            self._node_ids = scene.draw_nodes(count)
            for node_id in self._node_ids[::2]:
                hold_ms = scene.random.randint(100, 200)
                scene.tick.emit(ChangeSettings(node_id, hold_ms))
            self._send(scene, self._node_ids[1:])
            return scene.draw_ms(5, 400)
        self._send(scene, self._node_ids[::2])
        return None

    def _send(self, scene: Scene, node_ids: list[NodeId]) -> None:
        for node_id in node_ids:
            node = scene.tables.nodes.require(node_id)
            if node.served_us > node.started_us:
                scene.signal(node_id, signal.SIGHUP)


class EarlyHangup(Fault):
    """Sends SIGHUP to nodes whose processes have just been started."""

    weight = 0.3

    def __init__(self):
        self._node_ids: list[NodeId] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Kill a node, and send the signal to its next process."""
        if self._node_ids is None:
            self._node_ids = scene.draw_nodes(1)
            for node_id in self._node_ids:
                scene.kill(node_id)
            return scene.draw_ms(1_700, 2_200)
        for node_id in self._node_ids:
            scene.signal(node_id, signal.SIGHUP)
        return None


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


class SecondTerm(Fault):
    """Terminates a node, and once more during its drain."""

    def __init__(self):
        self._node_ids: list[NodeId] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Send the first signal, then the second."""
        if self._node_ids is None:
            self._node_ids = scene.draw_nodes(scene.random.randint(1, 2))
            for node_id in self._node_ids:
                scene.terminate(node_id, is_planned=False)
            return scene.draw_ms(5, 3_000)
        for node_id in self._node_ids:
            if scene.tables.nodes.require(node_id).state is ProcessState.DRAINING:
                scene.signal(node_id, signal.SIGTERM)
        return None


class Kill(Fault):
    """Kills one node or a few."""

    def advance(self, scene: Scene) -> Micros | None:
        """Send SIGKILL."""
        for node_id in scene.draw_nodes(scene.random.choice([1, 1, 1, 2, 3])):
            scene.kill(node_id)
        return None


class PowerLoss(Fault):
    """Kills all nodes at the same moment."""

    weight = 0.3

    def advance(self, scene: Scene) -> Micros | None:
        """Send SIGKILL to every node."""
        for node in scene.tables.nodes:
            scene.kill(node.node_id)
        return None


class Pause(Fault):
    """Pauses nodes for a while."""

    weight = 1.5

    def __init__(self):
        self._paused: dict[NodeId, TroubleRow] = {}

    def advance(self, scene: Scene) -> Micros | None:
        """Pause nodes, then resume those that are still paused."""
        nodes = scene.tables.nodes
        if not self._paused:
            for node_id in scene.draw_nodes(scene.random.choice([1, 1, 2, 3])):
                self._paused[node_id] = scene.open_trouble(node_id, False, "paused")
                nodes.require(node_id).state = ProcessState.PAUSED
                scene.signal(node_id, signal.SIGSTOP)
            return scene.draw_ms(200, 5_000) if self._paused else None
        for node_id in self._paused:
            node = nodes.require(node_id)
            scene.signal(node_id, signal.SIGCONT)
            if node.state is ProcessState.PAUSED:
                is_draining = node.term_us >= node.started_us
                node.state = (
                    ProcessState.DRAINING if is_draining else ProcessState.RUNNING
                )
        scene.close_troubles(self._paused.values())
        return None


class LinkFault(Fault):
    """Disturbs one kind of link of some nodes for a while.

    Attributes
    ----------
    modes
        Modes of which one is drawn.
    """

    link: ClassVar[Link]
    modes: ClassVar[tuple[LinkMode, ...]] = tuple(LinkMode)[1:]

    def __init__(self):
        self._disturbed: dict[NodeId, TroubleRow] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Disturb the links, then let them pass again."""
        if self._disturbed is None:
            self._disturbed = {}
            mode = scene.random.choice(self.modes)
            what = f"link {self.link.value}: {mode.value}"
            for node_id in self._draw(scene):
                self._disturbed[node_id] = scene.open_trouble(node_id, False, what)
                scene.set_link(node_id, self.link, mode, scene.random.randint(20, 900))
            return scene.draw_ms(100, 5_000)
        for node_id in self._disturbed:
            scene.set_link(node_id, self.link, LinkMode.PASS)
        scene.close_troubles(self._disturbed.values())
        return None

    def _draw(self, scene: Scene) -> list[NodeId]:
        return scene.draw_nodes(scene.random.randint(1, 3))


class NodeLink(LinkFault):
    """Disturbs the connections of callers."""

    link = Link.NODE


class ServerLink(LinkFault):
    """Disturbs the connections from nodes to their backend servers."""

    link = Link.SERVER


class StoreLink(LinkFault):
    """Disturbs the connections from some nodes or all to the store."""

    link = Link.STORE
    weight = 2.0

    def _draw(self, scene: Scene) -> list[NodeId]:
        everyone = [node.node_id for node in scene.tables.nodes]
        share = scene.random.choice([0.25, 0.5, 1.0])
        return scene.random.sample(everyone, max(1, int(share * len(everyone))))


class StoreTurnsAway(Fault):
    """Lets the store answer all requests with 503 or 429 for a while."""

    def __init__(self):
        self._trouble: TroubleRow | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Turn requests away, then serve them again."""
        if self._trouble is None:
            command = scene.random.choice([StoreCommand.REFUSE, StoreCommand.LIMIT])
            self._trouble = scene.open_trouble(None, False, command.value)
            scene.tick.emit(CommandStore(command))
            return scene.draw_ms(200, 5_000)
        scene.tick.emit(CommandStore(StoreCommand.SERVE))
        scene.close_troubles([self._trouble])
        return None


class StoreForgets(Fault):
    """Lets the store forget its history."""

    def advance(self, scene: Scene) -> Micros | None:
        """Forget, which disturbs all nodes for this moment."""
        scene.close_troubles([scene.open_trouble(None, False, "history forgotten")])
        scene.tick.emit(CommandStore(StoreCommand.FORGET))
        return None


class ServerCrash(Fault):
    """Ends backend servers without a drain; they return under their ids."""

    def advance(self, scene: Scene) -> Micros | None:
        """End one or two backend servers."""
        for node_id in scene.draw_nodes(scene.random.randint(1, 2)):
            scene.close_troubles(
                [scene.open_trouble(node_id, False, "backend server crashed")]
            )
            away_ms = scene.random.randint(100, 2_000)
            scene.tick.emit(CommandServer(node_id, ServerCommand.CRASH, away_ms))
        return None


class ServerMisbehaves(Fault):
    """Lets backend servers answer late or with wrong bytes for a while."""

    def __init__(self):
        self._spoiled: dict[NodeId, TroubleRow] | None = None

    def advance(self, scene: Scene) -> Micros | None:
        """Spoil the answers, then mend them."""
        if self._spoiled is None:
            mode = scene.random.choice([ServerMode.SLOW, ServerMode.GARBLING])
            what = f"backend server {mode.value}"
            self._spoiled = {}
            for node_id in scene.draw_nodes(scene.random.randint(1, 3)):
                self._spoiled[node_id] = scene.open_trouble(node_id, False, what)
                scene.tick.emit(SetServerMode(node_id, mode))
            return scene.draw_ms(500, 5_000)
        for node_id in self._spoiled:
            scene.tick.emit(SetServerMode(node_id, ServerMode.SOUND))
        scene.close_troubles(self._spoiled.values())
        return None


PLANNED_FAULTS: tuple[type[Fault], ...] = (
    RollingRestart,
    JointRestart,
    Hangup,
    RulesChange,
    RulesStorm,
    ServerLeaves,
)
UNPLANNED_FAULTS: tuple[type[Fault], ...] = (
    EarlyHangup,
    SecondTerm,
    Kill,
    PowerLoss,
    Pause,
    NodeLink,
    ServerLink,
    StoreLink,
    StoreTurnsAway,
    StoreForgets,
    ServerCrash,
    ServerMisbehaves,
)
