"""Brings a node to its end without cutting a call."""

import asyncio
from collections.abc import Callable

from papayapost.traffic import DrainComplete, DrainRequested
from papayapost_node.http import StreamingServer

__all__ = ["Drain"]

_LAST_WRITES_S = 5.0
_MIN_LAST_WRITES_S = 0.2


class Drain:
    """Asks the decisions to drain and waits until they are done.

    Parameters
    ----------
    post
        Hands a message to the next tick.
    """

    def __init__(self, server: StreamingServer, post: Callable[[object], None]):
        self._server = server
        self._post = post
        self._complete = asyncio.Event()

    def handlers(self) -> dict[type, Callable]:
        """Return what carries out the end of the decisions' drain."""
        return {DrainComplete: lambda effect: self._complete.set()}

    async def run(self, limit_ms: int, accept_ms: int = 0) -> None:
        """Take no new work, and return once all calls are over.

        Parameters
        ----------
        limit_ms
            Time after which the decisions give up what is left.
        accept_ms
            Time for which new connections are still taken, for callers that
            have not learned of it yet.
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
        # Nobody else can reach the backend server of this VM before the next
        # process is there: callers who kept a connection are not waited for.
        self._server.close_idle()
        # Answers that were handed to connections still have to leave.
        left_s = max(_MIN_LAST_WRITES_S, due_s - loop.time())
        await self._server.wait_until_empty(min(_LAST_WRITES_S, left_s))
