"""The faults that are not planned work."""

import signal
from typing import ClassVar

from papayapost.ids import Micros, NodeId
from papayapost_testing.demo.tables import ProcessState
from papayapost_testing.soak.faults import Fault, Spell
from papayapost_testing.soak.messages import (
    ChangeOtherObjects,
    CommandServer,
    CommandStore,
    ServerCommand,
    SetServerMode,
    StoreCommand,
)
from papayapost_testing.soak.rows import (
    Link,
    LinkMode,
    ServerMode,
    TroubleRow,
)
from papayapost_testing.soak.scene import Scene

__all__ = ["UNPLANNED_FAULTS", "KillAfterDeparture", "StoreReturnsFromCopy"]

_ALONE_SHARE = 0.8

# Changes by other programs after the store's copy, and revisions that are not
# given out again: where the revisions of a restored store go on, compared with
# those that nodes have seen.
_FAR_BELOW = (1_000, 0)
_FAR_ABOVE = (0, 2_000)


class SecondTerm(Fault):
    """Terminates nodes, and once more during their drain."""

    def advance(self, scene: Scene) -> Micros | None:
        """Send the first signal, then the second."""
        if self.node_ids is None:
            self.node_ids = scene.draw_nodes(scene.random.randint(1, 2))
            for node_id in self.node_ids:
                scene.terminate(node_id, is_planned=False)
            return scene.draw_ms(5, 3_000)
        for node_id in self.node_ids:
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


class KillAfterDeparture(Fault):
    """Lets a backend server leave, and kills its node or all nodes.

    Its place in the plan is drawn by itself, so that the other faults of a
    seed stay as they are.
    """

    def advance(self, scene: Scene) -> Micros | None:
        """Tell the server to leave, then kill."""
        if self.node_ids is None:
            self.node_ids = scene.draw_nodes(1)
            for node_id in self.node_ids:
                away_ms = scene.random.randint(200, 2_000)
                scene.tick.emit(CommandServer(node_id, ServerCommand.LEAVE, away_ms))
            return scene.draw_ms(5, 2_000)
        everyone = [node.node_id for node in scene.tables.nodes]
        is_alone = scene.random.random() < _ALONE_SHARE
        for node_id in self.node_ids if is_alone else everyone:
            scene.kill(node_id)
        return None


class StoreReturnsFromCopy(Fault):
    """Lets the store come back from an older copy after a moment away.

    The operator writes a rules version after the copy, writes it once more
    when the store is back, and goes on with the next. The store's revisions go
    back and are given out again; changes by other programs decide how far they
    have been. Until the rules are written once more, a node that is started
    reads the keys of the copy, so the steps up to then take less than the
    bound for removed keys. Its place in the plan is drawn by itself, so that
    the other faults of a seed stay as they are.
    """

    def __init__(self):
        super().__init__()
        self._troubles: list[TroubleRow] = []
        self._skipped = 0
        self._steps = iter(
            (self._copy, self._change, self._leave, self._return, self._rewrite)
        )

    def advance(self, scene: Scene) -> Micros | None:
        """Take the next step, and write a newer version in the last one."""
        step = next(self._steps, None)
        if step is not None:
            return step(scene)
        scene.change_rules()
        return None

    def _copy(self, scene: Scene) -> Micros | None:
        if scene.tables.is_store_away:
            return None
        scene.tick.emit(CommandStore(StoreCommand.COPY))
        draw = scene.random
        near = draw.randint(0, 40), draw.randint(0, 40)
        changes, self._skipped = draw.choice([_FAR_BELOW, near, _FAR_ABOVE])
        scene.tick.emit(ChangeOtherObjects(changes))
        return scene.draw_ms(100, 1_500)

    def _change(self, scene: Scene) -> Micros:
        scene.change_rules()
        return scene.draw_ms(200, 1_000)

    def _leave(self, scene: Scene) -> Micros | None:
        if scene.tables.is_store_away:
            return None
        what = "store away, then back from a copy"
        self._troubles = [scene.open_trouble(None, False, what)]
        scene.take_store_away()
        return scene.draw_ms(300, 1_200)

    def _return(self, scene: Scene) -> Micros:
        scene.restore_store(self._skipped)
        scene.close_troubles(self._troubles)
        return scene.draw_ms(5, 800)

    def _rewrite(self, scene: Scene) -> Micros:
        scene.rewrite_rules()
        return scene.draw_ms(200, 1_500)


class PowerLoss(Fault):
    """Kills all nodes at the same moment."""

    weight = 0.3

    def advance(self, scene: Scene) -> Micros | None:
        """Send SIGKILL to every node."""
        for node in scene.tables.nodes:
            scene.kill(node.node_id)
        return None


class EarlyHangup(Fault):
    """Sends SIGHUP to a node whose process has just been started."""

    weight = 0.3

    def advance(self, scene: Scene) -> Micros | None:
        """Kill a node, and send the signal to its next process."""
        if self.node_ids is None:
            self.node_ids = scene.draw_nodes(1)
            for node_id in self.node_ids:
                scene.kill(node_id)
            return scene.draw_ms(1_700, 2_200)
        for node_id in self.node_ids:
            scene.signal(node_id, signal.SIGHUP)
        return None


class Pause(Spell):
    """Pauses nodes for a while."""

    weight = 1.5

    def begin(self, scene: Scene, node_ids: list[NodeId]) -> str:
        """Pause the processes."""
        for node_id in node_ids:
            scene.tables.nodes.require(node_id).state = ProcessState.PAUSED
            scene.signal(node_id, signal.SIGSTOP)
        return "paused"

    def end(self, scene: Scene, node_ids: list[NodeId]) -> None:
        """Resume the processes that are still paused."""
        for node_id in node_ids:
            node = scene.tables.nodes.require(node_id)
            scene.signal(node_id, signal.SIGCONT)
            if node.state is ProcessState.PAUSED:
                is_draining = node.term_us >= node.started_us
                node.state = (
                    ProcessState.DRAINING if is_draining else ProcessState.RUNNING
                )


class LinkFault(Spell):
    """Disturbs one kind of link of some nodes for a while."""

    link: ClassVar[Link]

    def begin(self, scene: Scene, node_ids: list[NodeId]) -> str:
        """Disturb the links."""
        mode = scene.random.choice(list(LinkMode)[1:])
        for node_id in node_ids:
            scene.set_link(node_id, self.link, mode, scene.random.randint(20, 900))
        return f"link {self.link.value}: {mode.value}"

    def end(self, scene: Scene, node_ids: list[NodeId]) -> None:
        """Let the links pass again."""
        for node_id in node_ids:
            scene.set_link(node_id, self.link, LinkMode.PASS)


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

    def draw(self, scene: Scene) -> list[NodeId]:
        """Return a share of all nodes."""
        everyone = [node.node_id for node in scene.tables.nodes]
        share = scene.random.choice([0.25, 0.5, 1.0])
        return scene.random.sample(everyone, max(1, int(share * len(everyone))))


class StoreTurnsAway(Spell):
    """Lets the store answer all requests with 503 or 429 for a while."""

    def draw(self, scene: Scene) -> list[NodeId]:
        """Return all nodes."""
        return [node.node_id for node in scene.tables.nodes]

    def begin(self, scene: Scene, node_ids: list[NodeId]) -> str:
        """Turn requests away."""
        command = scene.random.choice([StoreCommand.REFUSE, StoreCommand.LIMIT])
        scene.tick.emit(CommandStore(command))
        return f"store: {command.value}"

    def end(self, scene: Scene, node_ids: list[NodeId]) -> None:
        """Serve requests again."""
        scene.tick.emit(CommandStore(StoreCommand.SERVE))


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
            what = "backend server crashed"
            scene.close_troubles([scene.open_trouble(node_id, False, what)])
            away_ms = scene.random.randint(100, 2_000)
            scene.tick.emit(CommandServer(node_id, ServerCommand.CRASH, away_ms))
        return None


class ServerMisbehaves(Spell):
    """Lets backend servers answer late or with wrong bytes for a while."""

    def begin(self, scene: Scene, node_ids: list[NodeId]) -> str:
        """Spoil the answers."""
        mode = scene.random.choice([ServerMode.SLOW, ServerMode.GARBLING])
        for node_id in node_ids:
            scene.tick.emit(SetServerMode(node_id, mode))
        return f"backend server {mode.value}"

    def end(self, scene: Scene, node_ids: list[NodeId]) -> None:
        """Mend the answers."""
        for node_id in node_ids:
            scene.tick.emit(SetServerMode(node_id, ServerMode.SOUND))


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
"""Faults after which bounds hold only once the stable window is over."""
