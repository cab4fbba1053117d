"""Systems that run before a node has put its first version into force."""

from papayapost.define import define
from papayapost.distribution.messages import FloorWaitExpired
from papayapost.distribution.peer_messages import RulesProgress
from papayapost.distribution.rules_table import RulesTable
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import ChildJoined, RoleChanged, TreeTables

__all__ = ["RaiseVersionFloor", "StartDistribution", "StartDue"]

_FLOOR_WAIT_US = 2_000_000
"""How long a started node waits for a parent to report its version floor."""


@define
class StartDue:
    """Input: the node runs its first tick."""


class StartDistribution(System):
    """Starts the wait for the version floor and the search for rules.

    The version floor is the highest version that an earlier process of this
    node is known to have acknowledged. The node serves no version below it.
    """

    consumes = (StartDue,)

    def __init__(self, tree: TreeTables):
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Set the timer and let the other systems act on the initial role."""
        if tick.take(StartDue):
            due_us = Micros(tick.now_us + _FLOOR_WAIT_US)
            tick.set_timer(FloorWaitExpired, due_us, FloorWaitExpired())
            tick.post(RoleChanged())


class RaiseVersionFloor(System):
    """Raises the version floor of a restarted node to its children's versions.

    A child can hold a newer version than a node without rules only if an
    earlier process of the node, or another parent, held that version. The
    node therefore puts no version below the children's into force.
    """

    consumes = (ChildJoined, RulesProgress)

    def __init__(self, rules: RulesTable, tree: TreeTables):
        self._rules = rules
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Raise the floor until the first version is in force."""
        if self._rules.in_force is not None:
            return
        versions = [joined.child.version for joined in tick.take(ChildJoined)]
        versions += [progress.held_version for progress in tick.take(RulesProgress)]
        highest = max(versions, default=RuleVersion(0))
        self._tree.floor_version = max(self._tree.floor_version, highest)
