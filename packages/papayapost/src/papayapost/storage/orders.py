"""Effects on the roll-out orders of the store and inputs with its answers.

The operator writes an order; the mesh writes its status only.
"""

from enum import Enum

from papayapost.define import define
from papayapost.ids import Micros, ServiceName, SoftwareVersion

__all__ = [
    "OrderObject",
    "OrderSpec",
    "OrderState",
    "OrderStatus",
    "OrdersRead",
    "OrdersUnread",
    "StatusConflicted",
    "StatusUncertain",
    "StatusWritten",
    "UnwatchOrders",
    "WatchOrders",
    "WriteOrderStatus",
]


class OrderState(Enum):
    """State of an order as its status in the store tells it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@define(frozen=True)
class OrderSpec:
    """What the operator orders.

    Parameters
    ----------
    service, target_version
        Service whose calls move, and the version of its backend servers that
        they move to.
    duration_us
        Time in µs after the order within which the status must be final.
    """

    service: ServiceName
    target_version: SoftwareVersion
    duration_us: Micros


@define(frozen=True)
class OrderStatus:
    """What the mesh has made of an order.

    A status that names another version than the order belongs to an earlier
    order for the service.
    """

    state: OrderState
    target_version: SoftwareVersion


@define(frozen=True)
class OrderObject:
    """A roll-out order in the store.

    Parameters
    ----------
    name
        Name of the object, which is that of the service.
    revision
        The store's version of the object, changed by each write of the order
        or its status.
    spec
        The order; None if it cannot be decoded.
    status
        The status; None if there is none or it cannot be decoded.
    fault
        Why the order cannot be decoded; empty if it can.
    """

    name: str
    revision: int
    spec: OrderSpec | None
    status: OrderStatus | None
    fault: str = ""

    @property
    def current_state(self) -> OrderState | None:
        """State of this order; None if the mesh has not seen it yet."""
        spec, status = self.spec, self.status
        if spec is None or status is None:
            return None
        is_own = status.target_version == spec.target_version
        return status.state if is_own else None


@define
class WatchOrders:
    """Effect: read all orders, then follow their changes.

    A new watch replaces an earlier one. It goes on until it fails, which
    `OrdersUnread` tells, or until `UnwatchOrders`.
    """


@define
class UnwatchOrders:
    """Effect: end the watch of the orders, if the node has one."""


@define
class WriteOrderStatus:
    """Effect: write the status of an order of the expected revision."""

    name: str
    revision: int
    status: OrderStatus


@define
class OrdersRead:
    """Input: the store answered the watch of the orders.

    Parameters
    ----------
    orders
        All orders, or those that have changed.
    removed
        Names of the orders that were removed.
    is_whole
        Whether `orders` are all orders of the store.
    asked_us
        Tick time in µs at which the answer was asked for; None if not known.
    """

    orders: tuple[OrderObject, ...]
    removed: tuple[str, ...] = ()
    is_whole: bool = False
    asked_us: Micros | None = None


@define
class OrdersUnread:
    """Input: the watch of the orders failed and has ended."""

    reason: str


@define
class StatusWritten:
    """Input: the status was written; the order now has this revision."""

    name: str
    revision: int


@define
class StatusConflicted:
    """Input: the status was not written, as the order has changed.

    Parameters
    ----------
    revision
        Current revision of the order; 0 if it is gone.
    """

    name: str
    revision: int


@define
class StatusUncertain:
    """Input: the write of a status got no answer; its outcome is unknown."""

    name: str
    reason: str
