"""Performs the store effects that the systems emit."""

import asyncio
from collections.abc import Callable, Coroutine

from papayapost.errors import (
    StoreConflict,
    StoredValueUnreadable,
    StoreUnavailable,
)
from papayapost.ids import Micros, StoreEra
from papayapost.storage import (
    ListObjects,
    ObjectKey,
    ObjectRead,
    ObjectsListed,
    ObjectUnchanged,
    ObjectUpdated,
    ReadObject,
    StoreEraChanged,
    StoreEraDoubted,
    StoreReadFailed,
    StoreReading,
    StoreRequestId,
    UnwatchObject,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)
from papayapost_node.store.client import StoreClient, StoredObject
from papayapost_node.store.eras import EraListener
from papayapost_node.store.values import decode_value, encode_value

__all__ = ["StoreEffects"]

_WATCH_WAIT_S = 30
# A watch that ends unchanged within 1/6 of the requested time has failed.
_MIN_WATCH_DIVISOR = 6
_READING_INTERVAL_S = 0.3


class EraReports(EraListener):
    """Passes changes of the store's era on to the next tick."""

    def __init__(self, post: Callable[[object], None]):
        self._post = post

    def change_era(self, before: StoreEra, era: StoreEra) -> None:
        """Post that the store has come back from an older copy."""
        self._post(StoreEraChanged(before, era))

    def doubt_era(self, era: StoreEra, shown: str) -> None:
        """Post that an answer does not fit the newest era."""
        self._post(StoreEraDoubted(era, shown))


class StoreEffects:
    """Runs reads, lists and updates, and at most one watch per object.

    Parameters
    ----------
    client
        Client that sends the requests to the store.
    post
        Passes a result to the next tick as an input.
    wait_s
        Time for which a watch asks the store to hold its answer.
    now_us
        Returns the time of the tick clock in µs; None if no answer needs the
        time at which it was asked for.
    """

    def __init__(
        self,
        client: StoreClient,
        post: Callable[[object], None],
        wait_s: float = _WATCH_WAIT_S,
        now_us: Callable[[], Micros | None] | None = None,
    ):
        self._client = client
        self._post = post
        self._wait_s = wait_s
        self._now_us = now_us or _no_time
        self._watches: dict[ObjectKey, asyncio.Task] = {}
        self._requests: set[asyncio.Task] = set()
        client.set_era_listener(EraReports(post))

    def watch(self, request: WatchObject) -> None:
        """Start a watch of the object; it replaces an earlier one."""
        self.unwatch(UnwatchObject(request.key))
        self._watches[request.key] = self._start(self._watch(request))

    def unwatch(self, request: UnwatchObject) -> None:
        """Cancel the watch of the object, if there is one."""
        earlier = self._watches.pop(request.key, None)
        if earlier is not None:
            earlier.cancel()

    def read(self, request: ReadObject) -> None:
        """Read the object once."""
        self._start(self._read(request))

    def list(self, request: ListObjects) -> None:
        """Read all objects of a kind."""
        self._start(self._list(request))

    def update(self, request: UpdateObject) -> None:
        """Update the object if its version is still the expected one."""
        self._start(self._update(request))

    def close(self) -> None:
        """Cancel all requests and watches, and close the client."""
        for task in self._requests:
            task.cancel()
        self._client.close()

    def _start(self, request: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(request)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)
        return task

    async def _watch(self, request: WatchObject) -> None:
        key = request.key
        try:
            stored, asked_us = await self._wait_for_change(request)
        except StoreUnavailable as error:
            is_unreadable = isinstance(error, StoredValueUnreadable)
            self._post(StoreReadFailed(key, str(error), is_unreadable=is_unreadable))
            return
        self._post_object(key, stored, None, asked_us)

    async def _wait_for_change(
        self, request: WatchObject
    ) -> tuple[StoredObject, Micros | None]:
        """Return the changed object, and when it was asked for."""
        key, version = request.key, request.after_version
        loop = asyncio.get_running_loop()
        told_s: float | None = None

        def on_bytes() -> None:
            nonlocal told_s
            if told_s is None:
                # The first bytes of an answer, which most often is complete.
                told_s = loop.time()
            elif loop.time() - told_s >= _READING_INTERVAL_S:
                told_s = loop.time()
                self._post(StoreReading(key))

        while True:
            started_s, told_s = loop.time(), None
            asked_us = self._now_us()
            stored = await self._client.watch(
                key.kind.value,
                key.name,
                version,
                self._wait_s,
                on_bytes,
                request.position,
            )
            if stored is not None:
                return stored, asked_us
            if loop.time() - started_s < self._wait_s / _MIN_WATCH_DIVISOR:
                # A store that answers watches too early would cause a busy
                # loop if the watch were repeated at once.
                raise StoreUnavailable(
                    f"the watch of {key.kind.value}/{key.name} ended too early; "
                    "the node starts it again after a pause"
                )
            self._post(ObjectUnchanged(key, asked_us))

    async def _read(self, request: ReadObject) -> None:
        key, known_version = request.key, request.unless_version
        stored: StoredObject | None
        asked_us = self._now_us()
        try:
            if known_version:
                stored = await self._client.watch(
                    key.kind.value, key.name, known_version, 0
                )
            else:
                stored = await self._client.read(key.kind.value, key.name)
        except StoreUnavailable as error:
            self._post(StoreReadFailed(key, str(error), request.request_id))
            return
        if stored is None:
            unchanged = ObjectRead(
                key, known_version, None, request.request_id, asked_us
            )
            self._post(unchanged)
        else:
            self._post_object(key, stored, request.request_id, asked_us)

    async def _list(self, request: ListObjects) -> None:
        kind, may_be_stale = request.kind, request.may_be_stale
        try:
            listed = await self._client.list_kind(kind.value, may_be_stale)
        except StoreUnavailable as error:
            key = ObjectKey(kind, "")
            self._post(StoreReadFailed(key, str(error), request.request_id))
            return
        objects = []
        for name, stored in listed.items():
            key = ObjectKey(kind, name)
            try:
                value = decode_value(kind, stored.value)
            except ValueError as error:
                reason = f"{kind.value}/{name} does not decode: {error}"
                self._post(StoreReadFailed(key, reason))
                continue
            objects.append(ObjectRead(key, stored.version, value))
        self._post(
            ObjectsListed(kind, request.request_id, tuple(objects), may_be_stale)
        )

    async def _update(self, request: UpdateObject) -> None:
        key, request_id = request.key, request.request_id
        value = encode_value(request.value)
        try:
            version = await self._client.update(
                key.kind.value, key.name, value, request.expected_version
            )
        except StoreConflict as error:
            self._post(UpdateConflicted(key, request_id, error.current_version))
        except StoreUnavailable as error:
            self._post(UpdateOutcomeUnknown(key, request_id, str(error)))
        else:
            self._post(ObjectUpdated(key, request_id, version))

    def _post_object(
        self,
        key: ObjectKey,
        stored: StoredObject,
        request_id: StoreRequestId | None,
        asked_us: Micros | None,
    ) -> None:
        try:
            value = decode_value(key.kind, stored.value) if stored.version else None
        except ValueError as error:
            reason = f"{key.kind.value}/{key.name} does not decode: {error}"
            self._post(StoreReadFailed(key, reason, request_id))
            return
        self._post(
            ObjectRead(
                key,
                stored.version,
                value,
                request_id,
                asked_us,
                stored.findings,
                stored.position,
            )
        )


def _no_time() -> None:
    return None
