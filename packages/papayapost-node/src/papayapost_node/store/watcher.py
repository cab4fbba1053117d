"""Carries out the watches that the decisions ask for."""

import asyncio
from collections.abc import Callable

from papayapost.distribution import ObjectSeen, StoreFailed, WatchObject
from papayapost.errors import StoreUnavailable
from papayapost_node.store.client import StoreClient

__all__ = ["StoreWatcher"]

_WAIT_S = 30


class StoreWatcher:
    """Runs at most one watch per object."""

    def __init__(self, client: StoreClient, post: Callable[[object], None]):
        self._client = client
        self._post = post
        self._tasks: dict[tuple[str, str], asyncio.Task] = {}

    def watch(self, request: WatchObject) -> None:
        """Watch the object, in place of an earlier watch of it."""
        key = (request.kind, request.name)
        earlier = self._tasks.get(key)
        if earlier is not None:
            earlier.cancel()
        self._tasks[key] = asyncio.get_running_loop().create_task(self._run(request))

    def close(self) -> None:
        """Cancel all watches."""
        for task in self._tasks.values():
            task.cancel()

    async def _run(self, request: WatchObject) -> None:
        kind, name = request.kind, request.name
        try:
            seen = None
            while seen is None:
                seen = await self._client.watch(
                    kind, name, request.after_version, _WAIT_S
                )
        except StoreUnavailable as error:
            self._post(StoreFailed(kind, name, str(error)))
            return
        self._post(ObjectSeen(kind, name, seen.version, seen.value.decode()))
