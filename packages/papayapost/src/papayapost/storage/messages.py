"""Effects on the platform's object store and inputs with its answers.

The value of the rules object is its text. Any other value is a dataclass,
which the code outside the systems encodes according to the object's kind.
"""

from enum import Enum
from typing import NewType

from papayapost.define import define
from papayapost.findings import Finding
from papayapost.ids import Micros, StoreEra
from papayapost.storage.versions import StoreVersion

__all__ = [
    "ListObjects",
    "ObjectKey",
    "ObjectKind",
    "ObjectRead",
    "ObjectUnchanged",
    "ObjectUpdated",
    "ObjectsListed",
    "ReadObject",
    "StoreEraChanged",
    "StoreEraDoubted",
    "StoreReadFailed",
    "StoreReading",
    "StoreRequestId",
    "UnwatchObject",
    "UpdateConflicted",
    "UpdateObject",
    "UpdateOutcomeUnknown",
    "WatchObject",
]

StoreRequestId = NewType("StoreRequestId", str)
"""Id of a store request, by which its sender recognises the answer."""


class ObjectKind(Enum):
    """Kinds of objects that papayapost holds in the store."""

    CONFIG = "config"
    ACCEPTED = "accepted"
    DIRECTORY = "directory"
    STATUS = "status"
    RECORD = "record"
    RECORD_DETAIL = "record-detail"
    CLAIMS = "claims"
    ENTRY = "entry"
    DEPARTURE = "departure"
    QUOTA_LEASE = "quota-lease"


@define(frozen=True)
class ObjectKey:
    """Key of a store object: its kind and its name."""

    kind: ObjectKind
    name: str


@define
class WatchObject:
    """Effect: watch the object until its version changes.

    A new watch on the same object replaces the earlier one.

    Parameters
    ----------
    after_version
        The version that the object has to change from.
    position
        Version of the store at which the object had that version, from which
        the store can go on; 0 if it is not known.
    """

    key: ObjectKey
    after_version: int
    position: StoreVersion = StoreVersion(0)


@define
class UnwatchObject:
    """Effect: end the watch on the object, if the node has one."""

    key: ObjectKey


@define
class ReadObject:
    """Effect: read the object once.

    Parameters
    ----------
    unless_version
        Version that the sender knows. If it is still current, the store
        omits the value and the answer holds None; 0 always reads the value.
    """

    key: ObjectKey
    request_id: StoreRequestId
    unless_version: int = 0


@define
class ListObjects:
    """Effect: read all objects of one kind.

    Parameters
    ----------
    may_be_stale
        Whether a stale state is acceptable, which costs the store less.
    """

    kind: ObjectKind
    request_id: StoreRequestId
    may_be_stale: bool = False


@define
class UpdateObject:
    """Effect: update the object if its version is `expected_version`.

    Parameters
    ----------
    expected_version
        Version that the update replaces; 0 creates the object.
    """

    key: ObjectKey
    request_id: StoreRequestId
    expected_version: int
    value: object


@define
class ObjectRead:
    """Input: the store answered a watch or a read.

    Parameters
    ----------
    version
        The store's version of the object; 0 if the object does not exist.
    value
        The object's value; None if the object does not exist or the read
        omitted the value of a known version.
    request_id
        Id of the read; None for a watch.
    asked_us
        Tick time in µs at which the request was sent, since when the version
        was the newest; None if the answer may be stale.
    findings
        Faulty entries of the stored object, which the value leaves out.
    position
        Version of the store at which the object had this version; 0 if the
        store tells none.
    """

    key: ObjectKey
    version: int
    value: object
    request_id: StoreRequestId | None = None
    asked_us: Micros | None = None
    findings: tuple[Finding, ...] = ()
    position: StoreVersion = StoreVersion(0)


@define
class ObjectUnchanged:
    """Input: a watch was answered without a change, and goes on.

    Parameters
    ----------
    asked_us
        Tick time in µs at which the request was sent; None if not known.
    """

    key: ObjectKey
    asked_us: Micros | None = None


@define
class ObjectsListed:
    """Input: the store answered a request to list objects.

    Parameters
    ----------
    objects
        The objects whose values could be decoded.
    may_be_stale
        Whether the request accepted a stale state.
    """

    kind: ObjectKind
    request_id: StoreRequestId
    objects: tuple[ObjectRead, ...]
    may_be_stale: bool


@define
class ObjectUpdated:
    """Input: an update succeeded.

    Parameters
    ----------
    version
        Version of the object after the update.
    """

    key: ObjectKey
    request_id: StoreRequestId
    version: int


@define
class UpdateConflicted:
    """Input: an update was refused because the object's version had changed.

    Parameters
    ----------
    current_version
        Version of the object in the store.
    """

    key: ObjectKey
    request_id: StoreRequestId
    current_version: int


@define
class UpdateOutcomeUnknown:
    """Input: an update got no answer, so its outcome is unknown.

    The receiver reads the object again before it decides on another update.
    """

    key: ObjectKey
    request_id: StoreRequestId
    reason: str


@define
class StoreReading:
    """Input: the answer to a watch of an object is arriving.

    It is posted at intervals until the answer is complete.
    """

    key: ObjectKey


@define
class StoreReadFailed:
    """Input: a watch or a read failed.

    Parameters
    ----------
    request_id
        Id of the read; None for a watch.
    is_unreadable
        Whether the store answered, but the object's value does not decode.
    """

    key: ObjectKey
    reason: str
    request_id: StoreRequestId | None = None
    is_unreadable: bool = False


@define
class StoreEraChanged:
    """Input: the store has come back from an older copy.

    Parameters
    ----------
    before, era
        Era of the store's earlier answers and of its newest one.
    """

    before: StoreEra
    era: StoreEra


@define
class StoreEraDoubted:
    """Input: an answer of the store names no era, or one that is over.

    Parameters
    ----------
    era
        Era of the store's earlier answers, which still counts.
    shown
        What the answer shows.
    """

    era: StoreEra
    shown: str
