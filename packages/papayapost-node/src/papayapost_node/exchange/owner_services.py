"""What the calls to the backend server share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from papayapost.ids import AttemptId, InstanceId, NodeId
from papayapost_node.exchange.couriers import Courier
from papayapost_node.exchange.dialect import Dialect, NativeDialect
from papayapost_node.exchange.windows import WindowBudget

__all__ = ["OwnerServices"]


def _no_instance() -> InstanceId | None:
    return None


@dataclass(slots=True)
class OwnerServices:
    """What every call of an owner node uses.

    Parameters
    ----------
    post
        Hands a message to the next tick.
    free_slots
        Says how many slots of the backend server are free.
    forget
        Drops a call that is over.
    dialect
        Spells the headers of requests and answers.
    instance
        Says which backend server is to run a request; None for any.
    hold_bytes
        Answers up to this size are passed on once they are whole.
    """

    node_id: NodeId
    courier: Courier
    post: Callable[[object], None]
    free_slots: Callable[[], int]
    budget: WindowBudget
    forget: Callable[[AttemptId], None]
    dialect: Dialect = field(default_factory=NativeDialect)
    instance: Callable[[], InstanceId | None] = _no_instance
    hold_bytes: int = 0
