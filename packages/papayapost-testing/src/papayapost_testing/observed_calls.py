"""Runs the calls of one node in a `WorldRunner` with observers."""

from collections.abc import Sequence

from papayapost.ids import CallId, NodeId
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
)
from papayapost_node.clock import SystemClock
from papayapost_node.observe import RunnerObserver
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.traffic_worlds import TrafficWorld, backend_row, traffic_world

__all__ = ["ObservedCalls"]

_NODE_ID = NodeId("node")
_RULES = "route GET /* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"


class ObservedCalls:
    """Runs calls that enter a node and are served by its own backend server.

    The class needs a running event loop; it opens no sockets.

    Parameters
    ----------
    observers
        Observers of the runner.

    Attributes
    ----------
    node
        World and tables of the node.
    """

    def __init__(self, observers: Sequence[RunnerObserver]):
        own = backend_row(_NODE_ID, "gusts")
        self.node: TrafficWorld = traffic_world(own, [], _RULES)
        self._started: list[BackendCallStart] = []
        handlers: dict[type, EffectHandler] = {BackendCallStart: self._started.append}
        self._runner = WorldRunner(
            self.node.world, SystemClock(), handlers, observers=observers
        )
        self._calls = 0

    def run_one(self) -> None:
        """Run a call from its arrival to the end of its answer."""
        self._calls += 1
        self._started.clear()
        self._tick(CallArrived(CallId(self._calls), "GET", "wind", "/gusts/wanli"))
        attempt_id = self._started[0].attempt_id
        node_id = _NODE_ID
        self._tick(
            BackendCallBegun(attempt_id, 200),
            BackendCallEnded(attempt_id, True, True),
            AnswerBegun(node_id, attempt_id, 200, 4),
            AnswerEnded(node_id, attempt_id, True),
        )

    def close(self) -> None:
        """Close the runner; no further call may run."""
        self._runner.close()

    def _tick(self, *messages: object) -> None:
        self._runner.begin()
        for message in messages:
            self._runner.post(message)
        self._runner.end()
