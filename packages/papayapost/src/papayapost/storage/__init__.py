"""Effects and inputs through which systems use the object store."""

from papayapost.storage.messages import (
    ListObjects,
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ObjectsListed,
    ObjectUnchanged,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreReading,
    StoreRequestId,
    UnwatchObject,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)

__all__ = [
    "ListObjects",
    "ObjectKey",
    "ObjectKind",
    "ObjectRead",
    "ObjectUnchanged",
    "ObjectUpdated",
    "ObjectsListed",
    "ReadObject",
    "StoreReadFailed",
    "StoreReading",
    "StoreRequestId",
    "UnwatchObject",
    "UpdateConflicted",
    "UpdateObject",
    "UpdateOutcomeUnknown",
    "WatchObject",
]
