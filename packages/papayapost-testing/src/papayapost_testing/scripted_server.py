"""A backend server that runs a script of the test on each connection."""

import asyncio
from collections.abc import Awaitable, Callable

from papayapost.ids import Address
from papayapost_node.addresses import split_address

__all__ = ["ScriptedServer"]

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ScriptedServer:
    """A TCP server that runs a script on each connection.

    Attributes
    ----------
    connections
        Number of connections accepted so far.
    ended
        Event that is set when a script ends, also by cancellation.
    """

    def __init__(self, address: Address, script: Script):
        self._address = address
        self._script = script
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.connections = 0
        self.ended = asyncio.Event()

    async def start(self) -> None:
        """Start to accept connections."""
        ip, port = split_address(self._address)
        self._server = await asyncio.start_server(self._run, ip, port)

    async def close(self) -> None:
        """Stop accepting connections and cancel all scripts."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _run(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._script(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.ended.set()
            writer.close()
