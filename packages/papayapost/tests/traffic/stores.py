"""Stand-in of the object store that injects faults."""

from enum import Enum

from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)


class StoreFault(Enum):
    NONE = "none"
    DOWN = "down"
    LOST_REPLY = "lost-reply"


class FakeStore:
    def __init__(self):
        self.objects = {}
        self.writes = 0

    def is_store_effect(self, effect):
        return isinstance(effect, (UpdateObject, ReadObject))

    def apply_effect(self, effect, fault=StoreFault.NONE):
        """Apply a store effect and return the input with its result."""
        if isinstance(effect, ReadObject):
            return self._read(effect, fault)
        if fault is StoreFault.DOWN:
            return UpdateOutcomeUnknown(effect.key, effect.request_id, "down")
        version, _ = self.objects.get(effect.key, (0, None))
        if version != effect.expected_version:
            return UpdateConflicted(effect.key, effect.request_id, version)
        self.objects[effect.key] = (version + 1, effect.value)
        self.writes += 1
        if fault is StoreFault.LOST_REPLY:
            return UpdateOutcomeUnknown(effect.key, effect.request_id, "reply lost")
        return ObjectUpdated(effect.key, effect.request_id, version + 1)

    def _read(self, effect, fault):
        if fault is StoreFault.DOWN:
            return StoreReadFailed(effect.key, "down", effect.request_id)
        version, value = self.objects.get(effect.key, (0, None))
        return ObjectRead(effect.key, version, value, effect.request_id)

    def tokens(self):
        return [token for _, value in self.objects.values() for token in value.tokens]
