"""Messages of roll-outs between nodes. Their first field is ``sender``."""

from papayapost.define import define
from papayapost.ids import (
    Address,
    Incarnation,
    Micros,
    NodeId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.rollout.counts import RouteCounts
from papayapost.rollout.states import Phase

__all__ = [
    "AnswerCounts",
    "Grant",
    "OrdersKnown",
    "OrdersWanted",
    "RolloutStage",
    "StagedOrder",
    "WatcherBeat",
]


@define(frozen=True)
class StagedOrder:
    """An order and how far it is.

    Parameters
    ----------
    stable_version
        Version that gets the calls unless the order is completed; empty if it
        is not known.
    revision
        Revision of the order in the store when it was found, or of its final
        status. A later order for the service has a higher one.
    """

    service: ServiceName
    target_version: SoftwareVersion
    stable_version: SoftwareVersion
    revision: int
    phase: Phase


@define(frozen=True)
class Grant:
    """How many attempts a server of the target version may get in all.

    Parameters
    ----------
    incarnation
        Process of the owner node that has the grant.
    attempts
        Number since the order. It is no increment, so that two controllers
        or a repeated message cannot add up.
    """

    node_id: NodeId
    incarnation: Incarnation
    attempts: int


@define
class RolloutStage:
    """Controller to all nodes: how far an order is. It is a keep-alive too.

    Parameters
    ----------
    share
        Share of the service's calls that entry nodes offer to the servers
        with a grant.
    exposed, total
        Attempts that servers of the target version and all servers of the
        service have run since the order.
    elapsed_us, elapsed_late_us
        Longest and shortest time in µs since the order was written.
    """

    sender: NodeId
    reply_to: Address
    order: StagedOrder
    share: float = 0.0
    grants: tuple[Grant, ...] = ()
    exposed: int = 0
    total: int = 0
    elapsed_us: Micros = Micros(0)
    elapsed_late_us: Micros = Micros(0)


@define
class AnswerCounts:
    """Owner node to the controller: its server's answers since the order.

    Parameters
    ----------
    incarnation
        Process of the sender, which counts from its start or the order on.
    started, admitted
        Attempts that the server has run, and that the node has admitted.
    running, running_once
        Attempts that have not ended, and those among them that must not run
        twice.
    is_open, is_cold
        Whether the node admits attempts, and whether the server is slower
        than usual after its start.
    """

    sender: NodeId
    incarnation: Incarnation
    service: ServiceName
    target_version: SoftwareVersion
    version: SoftwareVersion
    started: int
    admitted: int
    running: int
    running_once: int
    is_open: bool
    is_cold: bool
    routes: tuple[RouteCounts, ...]


@define
class OrdersWanted:
    """Request for the orders to a peer, by a node that does not know them."""

    sender: NodeId
    reply_to: Address


@define
class OrdersKnown:
    """Answer to `OrdersWanted`.

    Parameters
    ----------
    is_established
        Whether the sender has read the orders or was told them.
    orders
        Orders that the sender knows.
    stable_versions
        Versions that get the calls of services without an order.
    """

    sender: NodeId
    is_established: bool
    orders: tuple[StagedOrder, ...]
    stable_versions: tuple[tuple[ServiceName, SoftwareVersion], ...]


@define
class WatcherBeat:
    """Watcher to the nodes that stand in for it: the store answers it."""

    sender: NodeId
