"""Answers readiness checks: whether callers may send calls to this node."""

from papayapost.ids import Address
from papayapost.node import NodeWorld
from papayapost.states import NodeState
from papayapost_node.http import (
    HttpAnswer,
    HttpLimits,
    ServerCall,
    SharedLimits,
    WholeRequestServer,
)

__all__ = ["ReadinessServer"]

_READY = HttpAnswer(200)
_NOT_READY = HttpAnswer(503)


class ReadinessServer:
    """Answers 200 if the node has active rules and is not draining, else 503.

    A node without a backend server is ready too, because it forwards calls to
    the backend servers of other nodes.

    Parameters
    ----------
    limits, shared
        Limits of the connections, and the bounds of the whole process.
    """

    def __init__(
        self,
        address: Address,
        world: NodeWorld,
        limits: HttpLimits | None = None,
        shared: SharedLimits | None = None,
    ):
        self._world = world
        self._server = WholeRequestServer(
            address,
            self._answer,
            limits=limits,
            setting="readiness_address",
            shared=shared,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may send calls to this node."""
        is_serving = self._world.traffic.drain.state is NodeState.SERVING
        return is_serving and self._world.rules.in_force is not None

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        AddressUnavailable
            If the address is in use or does not belong to this machine.
        """
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def _answer(self, call: ServerCall) -> None:
        call.answer(_READY if self.is_ready else _NOT_READY)
