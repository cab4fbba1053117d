"""The platform's object store as the decisions see it."""

from papayapost.storage.messages import (
    ObjectKey,
    ObjectKind,
    ObjectSeen,
    ObjectUpdated,
    ReadObject,
    RequestId,
    StoreFailed,
    UnwatchObject,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
    WatchObject,
)

__all__ = [
    "ObjectKey",
    "ObjectKind",
    "ObjectSeen",
    "ObjectUpdated",
    "ReadObject",
    "RequestId",
    "StoreFailed",
    "UnwatchObject",
    "UpdateConflicted",
    "UpdateObject",
    "UpdateUnknown",
    "WatchObject",
]
