"""Timers and inputs of the roll-out systems within one node."""

from papayapost.define import define
from papayapost.ids import ServiceName

__all__ = [
    "ControlDue",
    "CountsDue",
    "LeaseEnded",
    "OrdersAskDue",
    "RolloutStarted",
    "WatcherDue",
]


@define
class RolloutStarted:
    """First message of a node in a mesh with roll-outs."""


@define
class OrdersAskDue:
    """Timer: ask peers for the orders again."""


@define
class LeaseEnded:
    """Timer: the latest stage of a live order has ended without a new one."""

    service: ServiceName


@define
class CountsDue:
    """Timer: report the answers of this node's backend server."""


@define
class WatcherDue:
    """Timer: tell other nodes of the watch, or stand in for theirs."""


@define
class ControlDue:
    """Timer: decide on the orders that this node controls."""
