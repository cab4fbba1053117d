"""Reads several store objects as one batch, for the operators' tool."""

from dataclasses import field
from typing import NewType

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick
from papayapost.storage import (
    ObjectKey,
    ObjectRead,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
)

__all__ = [
    "BatchReadDone",
    "BatchReadId",
    "BatchReadRequested",
    "BatchReadRow",
    "FetchedObject",
    "ReadBatches",
]

BatchReadId = NewType("BatchReadId", str)
"""Id of a batch read, by which the requesting system finds the result."""

_MAX_FAILURES = 3
_RETRY_PAUSE_MIN_US = 100_000
_RETRY_PAUSE_MAX_US = 300_000


@define(frozen=True)
class FetchedObject:
    """One store object, or the reason why it could not be read.

    Parameters
    ----------
    key
        Key of the object.
    version
        The store's version of the object; 0 if the object does not exist or
        could not be read.
    value
        Value of the object; None if it does not exist or could not be read.
    failure
        Reason of the store's last failure; empty if the object was read.
    """

    key: ObjectKey
    version: int
    value: object
    failure: str = ""


@define
class BatchReadRequested:
    """Internal: request to read several objects.

    Parameters
    ----------
    batch_id
        Id that the result will carry.
    keys
        Keys of the objects to read.
    """

    batch_id: BatchReadId
    keys: tuple[ObjectKey, ...]


@define
class BatchReadDone:
    """Internal: every object of a batch was read or has failed for good.

    Parameters
    ----------
    batch_id
        Id of the batch, from its request.
    objects
        Results in the order of the requested keys.
    """

    batch_id: BatchReadId
    objects: tuple[FetchedObject, ...]


@define
class BatchReadRow:
    """A batch read in progress.

    Parameters
    ----------
    keys
        Keys of the objects to read.
    objects
        Objects that were read or have failed for good, by key.
    failures
        Number of failed reads so far, by key.
    """

    keys: tuple[ObjectKey, ...]
    objects: dict[ObjectKey, FetchedObject] = field(default_factory=dict)
    failures: dict[ObjectKey, int] = field(default_factory=dict)


class ReadBatches(System):
    """Reads the objects of each requested batch.

    A failed read is repeated after a random pause of 100 to 300 ms. An object
    counts as unreadable after its third failure.
    """

    consumes = (BatchReadRequested, ObjectRead, ReadObject, StoreReadFailed)

    def __init__(self):
        self._rows: Table[BatchReadId, BatchReadRow] = Table("batch reads")

    def run(self, tick: Tick) -> None:
        """Read the requested objects, and post each batch that is complete."""
        for request in tick.take(BatchReadRequested):
            self._rows.put(request.batch_id, BatchReadRow(request.keys))
            for key in request.keys:
                tick.emit(ReadObject(key, StoreRequestId(request.batch_id)))
            self._post_if_complete(tick, request.batch_id)
        # The timer of a failed read posts the read to be repeated.
        for retry in tick.take(ReadObject):
            tick.emit(retry)
        for seen in tick.take(ObjectRead):
            fetched = FetchedObject(seen.key, seen.version, seen.value)
            self._add_result(tick, seen.request_id, fetched)
        for failed in tick.take(StoreReadFailed):
            self._handle_failure(tick, failed)

    def _handle_failure(self, tick: Tick, failed: StoreReadFailed) -> None:
        row = self._rows.get(BatchReadId(failed.request_id or ""))
        if row is None:
            return
        failures = row.failures.get(failed.key, 0) + 1
        row.failures[failed.key] = failures
        if failures >= _MAX_FAILURES:
            fetched = FetchedObject(failed.key, 0, None, failed.reason)
            self._add_result(tick, failed.request_id, fetched)
            return
        assert failed.request_id is not None
        retry = ReadObject(failed.key, failed.request_id)
        pause_us = tick.random.randint(_RETRY_PAUSE_MIN_US, _RETRY_PAUSE_MAX_US)
        timer = (failed.request_id, failed.key)
        tick.set_timer(timer, Micros(tick.now_us + pause_us), retry)

    def _add_result(
        self, tick: Tick, request_id: StoreRequestId | None, fetched: FetchedObject
    ) -> None:
        batch_id = BatchReadId(request_id or "")
        row = self._rows.get(batch_id)
        if row is not None:
            row.objects[fetched.key] = fetched
            self._post_if_complete(tick, batch_id)

    def _post_if_complete(self, tick: Tick, batch_id: BatchReadId) -> None:
        row = self._rows.require(batch_id)
        if len(row.objects) < len(set(row.keys)):
            return
        self._rows.pop(batch_id)
        objects = tuple(row.objects[key] for key in row.keys)
        tick.post(BatchReadDone(batch_id, objects))
