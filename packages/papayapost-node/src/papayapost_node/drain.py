"""Drains a node, so that it can stop without aborting a call."""

import asyncio
from collections.abc import Callable

from papayapost.traffic import DrainComplete, DrainRequested
from papayapost_node.http import StreamingServer

__all__ = ["Drain"]

_FLUSH_TIMEOUT_S = 5.0
_MIN_FLUSH_TIMEOUT_S = 0.2


class Drain:
    """Asks the world to drain the node and waits until the drain is complete.

    Parameters
    ----------
    post
        Passes a message to the next tick of the world.
    """

    def __init__(self, server: StreamingServer, post: Callable[[object], None]):
        self._server = server
        self._post = post
        self._complete = asyncio.Event()

    def handlers(self) -> dict[type, Callable]:
        """Return the handler of the effect that reports a complete drain."""
        return {DrainComplete: lambda effect: self._complete.set()}

    async def run(self, limit_ms: int, accept_ms: int = 0) -> None:
        """Drain the node, and return when all running calls have ended.

        Parameters
        ----------
        limit_ms
            Time in ms after which the world ends the calls still running.
        accept_ms
            Time in ms for which new connections are still accepted, for
            callers that have not learned of the drain yet.
        """
        self._server.drain()
        loop = asyncio.get_running_loop()
        if accept_ms:
            loop.call_later(accept_ms / 1000, self._server.stop_accepting)
        else:
            self._server.stop_accepting()
        due_s = loop.time() + limit_ms / 1000
        self._post(DrainRequested(limit_ms))
        await self._complete.wait()
        self._server.stop_accepting()
        # Idle keep-alive connections must not delay the exit: no node can
        # reach the backend server of this VM until the next process runs.
        self._server.close_idle()
        # Give connections time to send the answers that they have buffered.
        remaining_s = max(_MIN_FLUSH_TIMEOUT_S, due_s - loop.time())
        await self._server.wait_until_empty(min(_FLUSH_TIMEOUT_S, remaining_s))
