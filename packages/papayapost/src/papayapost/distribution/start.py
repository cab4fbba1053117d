"""Systems of a node's first seconds."""

from dataclasses import dataclass

from papayapost.distribution.held import RulesTable
from papayapost.distribution.messages import FloorWaitOver
from papayapost.distribution.peer_messages import RulesProgress
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import ChildJoined, RoleChanged, TreeTables

__all__ = ["LearnFloor", "StartDistribution", "StartDue"]

_FLOOR_WAIT_US = 2_000_000


@dataclass(slots=True)
class StartDue:
    """Input: the node begins its first tick."""


class StartDistribution(System):
    """Starts the wait for the floor and the way to the first rules."""

    consumes = (StartDue,)

    def __init__(self, tree: TreeTables):
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Treat the place that the node starts with as a new one."""
        if tick.take(StartDue):
            due_us = Micros(tick.now_us + _FLOOR_WAIT_US)
            tick.set_timer(FloorWaitOver, due_us, FloorWaitOver())
            tick.post(RoleChanged())


class LearnFloor(System):
    """Raises the floor of a restarted node to what its children hold.

    A child can hold more than a node without rules only if a former process
    of the node, or another parent, had it.
    """

    consumes = (ChildJoined, RulesProgress)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Learn until the first version is in force."""
        if self._rules.in_force is not None:
            return
        versions = [joined.child.version for joined in tick.take(ChildJoined)]
        versions += [progress.held_version for progress in tick.take(RulesProgress)]
        highest = max(versions, default=RuleVersion(0))
        self._tree.floor_version = max(self._tree.floor_version, highest)
