"""Reads several objects for one question of an operator."""

from dataclasses import dataclass, field
from typing import NewType

from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick
from papayapost.storage import (
    ObjectKey,
    ObjectSeen,
    ReadObject,
    RequestId,
    StoreFailed,
)

__all__ = [
    "GatherAsked",
    "GatherId",
    "GatherObjects",
    "GatherRow",
    "Gathered",
    "GatheredObject",
]

GatherId = NewType("GatherId", str)

_MAX_FAILURES = 3
_PAUSE_MIN_US = 100_000
_PAUSE_MAX_US = 300_000


@dataclass(frozen=True, slots=True)
class GatheredObject:
    """One object, or why it could not be read.

    Parameters
    ----------
    version
        0 if the object does not exist.
    failure
        What the store's last failure said; empty if the object was read.
    """

    key: ObjectKey
    version: int
    value: object
    failure: str = ""


@dataclass(slots=True)
class GatherAsked:
    """Internal: read these objects."""

    gather_id: GatherId
    keys: tuple[ObjectKey, ...]


@dataclass(slots=True)
class Gathered:
    """Internal: all objects were read or given up.

    Parameters
    ----------
    objects
        In the order in which they were asked for.
    """

    gather_id: GatherId
    objects: tuple[GatheredObject, ...]


@dataclass(slots=True)
class GatherRow:
    """Objects being read for one question."""

    keys: tuple[ObjectKey, ...]
    objects: dict[ObjectKey, GatheredObject] = field(default_factory=dict)
    failures: dict[ObjectKey, int] = field(default_factory=dict)


class GatherObjects(System):
    """Reads the objects that are asked for, failed ones a few times."""

    consumes = (GatherAsked, ObjectSeen, ReadObject, StoreFailed)

    def __init__(self):
        self._rows: Table[GatherId, GatherRow] = Table("gathered")

    def run(self, tick: Tick) -> None:
        """Post each answer once it is complete."""
        for asked in tick.take(GatherAsked):
            self._rows.put(asked.gather_id, GatherRow(asked.keys))
            for key in asked.keys:
                tick.emit(ReadObject(key, RequestId(asked.gather_id)))
            self._post_if_whole(tick, asked.gather_id)
        for again in tick.take(ReadObject):
            tick.emit(again)
        for seen in tick.take(ObjectSeen):
            found = GatheredObject(seen.key, seen.version, seen.value)
            self._add(tick, seen.request_id, found)
        for failed in tick.take(StoreFailed):
            self._failed(tick, failed)

    def _failed(self, tick: Tick, failed: StoreFailed) -> None:
        row = self._rows.get(GatherId(failed.request_id or ""))
        if row is None:
            return
        failures = row.failures.get(failed.key, 0) + 1
        row.failures[failed.key] = failures
        if failures >= _MAX_FAILURES:
            found = GatheredObject(failed.key, 0, None, failed.reason)
            self._add(tick, failed.request_id, found)
            return
        assert failed.request_id is not None
        again = ReadObject(failed.key, failed.request_id)
        pause_us = tick.random.randint(_PAUSE_MIN_US, _PAUSE_MAX_US)
        timer = (failed.request_id, failed.key)
        tick.set_timer(timer, Micros(tick.now_us + pause_us), again)

    def _add(
        self, tick: Tick, request_id: RequestId | None, found: GatheredObject
    ) -> None:
        gather_id = GatherId(request_id or "")
        row = self._rows.get(gather_id)
        if row is not None:
            row.objects[found.key] = found
            self._post_if_whole(tick, gather_id)

    def _post_if_whole(self, tick: Tick, gather_id: GatherId) -> None:
        row = self._rows.require(gather_id)
        if len(row.objects) < len(set(row.keys)):
            return
        self._rows.pop(gather_id)
        objects = tuple(row.objects[key] for key in row.keys)
        tick.post(Gathered(gather_id, objects))
