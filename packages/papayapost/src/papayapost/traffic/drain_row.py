"""The row of this node's own drain."""

from dataclasses import dataclass

from papayapost.states import NodeState

__all__ = ["DrainRow"]


@dataclass(slots=True)
class DrainRow:
    """How far this node's own drain has come.

    Parameters
    ----------
    is_announced
        Whether the own row says that this node takes no more work of others.
    is_grace_over
        Whether callers and other nodes have had time to learn of it.
    """

    state: NodeState = NodeState.SERVING
    is_announced: bool = False
    is_grace_over: bool = False
