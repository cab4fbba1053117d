"""The table row that holds the state of this node's drain."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.states import NodeState

__all__ = ["DrainRow"]


@define
class DrainRow:
    """Progress of this node's drain.

    Parameters
    ----------
    state
        ``SERVING``, then ``DRAINING``, then ``STOPPED``.
    is_announced
        Whether this node's directory row says that the node accepts no more
        attempts from other nodes.
    is_grace_period_over
        Whether the grace period has ended in which callers and other nodes
        learn of the drain.
    started_us, grace_end_us, end_us
        Times of the tick clock in µs at which the drain began, at which that
        period ends and at which the process stops even if calls are left; 0
        before a drain.
    """

    state: NodeState = NodeState.SERVING
    is_announced: bool = False
    is_grace_period_over: bool = False
    started_us: Micros = Micros(0)
    grace_end_us: Micros = Micros(0)
    end_us: Micros = Micros(0)
