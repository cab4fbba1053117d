"""Builds the tables and systems of roll-outs."""

from papayapost.define import define
from papayapost.kernel import System, Table
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.rollout.controlling import ControlRollouts
from papayapost.rollout.counting import CountAnswers
from papayapost.rollout.following import FollowOrders
from papayapost.rollout.internal import RolloutStarted
from papayapost.rollout.reading import ControlTable, ReadRolloutOrders
from papayapost.rollout.steps import RolloutSteps
from papayapost.rollout.tables import RolloutLimits, RolloutTables
from papayapost.rollout.versions import OrderedVersions
from papayapost.rollout.watching import OrderWatch, WatchRolloutOrders
from papayapost.traffic import TrafficPart

__all__ = ["RolloutPart", "build_rollout"]


@define
class RolloutPart:
    """Tables, systems and first messages of roll-outs."""

    tables: RolloutTables
    control: ControlTable
    systems: list[System]
    first_messages: list[object]


def build_rollout(
    me: SelfRow,
    directory: Directory,
    limits: RolloutLimits,
    tables: RolloutTables,
    versions: OrderedVersions,
    traffic: TrafficPart,
) -> RolloutPart:
    """Return the roll-outs of a node that knows no orders yet.

    The systems run before those of the traffic part, so that a stage takes
    effect for the calls that arrive in the same tick.
    """
    control: ControlTable = Table("controlled orders")
    watch = OrderWatch(me, directory)
    systems: list[System] = [
        WatchRolloutOrders(me, directory, watch),
        ReadRolloutOrders(directory, tables, control),
        ControlRollouts(
            me,
            directory,
            tables,
            watch,
            control,
            RolloutSteps(directory, limits),
        ),
        FollowOrders(me, directory, tables, versions, traffic.upstreams),
        CountAnswers(me, tables, versions, traffic.owner),
    ]
    return RolloutPart(tables, control, systems, [RolloutStarted()])
