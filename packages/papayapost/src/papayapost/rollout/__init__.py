"""Roll-outs of service versions: orders, trials, verdicts and the move.

An operator orders that the calls of a service move to servers of another
version. A controller gives that version few calls, compares its answers with
those of the old version, and moves all calls shortly before the deadline, or
none. Owner nodes admit attempts only to versions that an order allows.
"""

from papayapost.rollout.counts import RouteCounts
from papayapost.rollout.messages import (
    AnswerCounts,
    Grant,
    OrdersKnown,
    OrdersWanted,
    RolloutStage,
    StagedOrder,
    WatcherBeat,
)
from papayapost.rollout.part import RolloutPart, build_rollout
from papayapost.rollout.states import Phase
from papayapost.rollout.tables import (
    OrderRow,
    RolloutCounters,
    RolloutLimits,
    RolloutTables,
)
from papayapost.rollout.versions import OrderedVersions

__all__ = [
    "AnswerCounts",
    "Grant",
    "OrderRow",
    "OrderedVersions",
    "OrdersKnown",
    "OrdersWanted",
    "Phase",
    "RolloutCounters",
    "RolloutLimits",
    "RolloutPart",
    "RolloutStage",
    "RolloutTables",
    "RouteCounts",
    "StagedOrder",
    "WatcherBeat",
    "build_rollout",
]
