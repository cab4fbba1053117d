"""Drains a node, so that it can stop without aborting a call."""

import asyncio
from collections.abc import Callable

from papayapost.define import define
from papayapost.traffic import DrainComplete, DrainRequested
from papayapost_node.http import StreamingServer

__all__ = ["Drain", "StopTimes"]

_EXIT_SHARE = 0.05
_MAX_EXIT_S = 0.5
_FLUSH_SHARE = 0.02


@define(frozen=True)
class StopTimes:
    """Division of the time in which a node must stop.

    Parameters
    ----------
    work_ms
        Time in ms for the calls that are running.
    flush_ms
        Further time in ms to tell the peers of the departure and to send what
        is buffered. What `work_ms` leaves over is added to it.
    """

    work_ms: int
    flush_ms: int

    @classmethod
    def within(cls, stop_limit_s: float) -> "StopTimes":
        """Divide the time until the process is killed, less that of its exit.

        Examples
        --------
        >>> StopTimes.within(6)
        StopTimes(work_ms=5580, flush_ms=120)
        >>> StopTimes.within(30)
        StopTimes(work_ms=28900, flush_ms=600)
        """
        exit_s = min(_MAX_EXIT_S, stop_limit_s * _EXIT_SHARE)
        flush_s = stop_limit_s * _FLUSH_SHARE
        work_ms = round((stop_limit_s - exit_s - flush_s) * 1000)
        return cls(work_ms, round(flush_s * 1000))


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

    async def run(self, limit_ms: int, accept_ms: int = 0, flush_ms: int = 0) -> float:
        """Drain the node, and return when all answers have been sent.

        Parameters
        ----------
        limit_ms
            Time in ms after which the world ends the calls still running.
        accept_ms
            Time in ms for which new connections are still accepted, for
            callers that have not learned of the drain yet.
        flush_ms
            Further time in ms after `limit_ms` for answers that are being
            sent to their callers.

        Returns
        -------
        float
            Time in s that is left of both.
        """
        self._server.drain()
        loop = asyncio.get_running_loop()
        if accept_ms:
            loop.call_later(accept_ms / 1000, self._server.stop_accepting)
        else:
            self._server.stop_accepting()
        due_s = loop.time() + (limit_ms + flush_ms) / 1000
        self._post(DrainRequested(limit_ms))
        await self._complete.wait()
        self._server.stop_accepting()
        # Idle keep-alive connections must not delay the exit: no node can
        # reach the backend server of this VM until the next process runs.
        self._server.close_idle()
        # Give connections time to send the answers that they have buffered.
        await self._server.wait_until_empty(max(0.0, due_s - loop.time()))
        return max(0.0, due_s - loop.time())
