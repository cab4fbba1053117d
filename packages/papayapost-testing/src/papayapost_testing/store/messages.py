"""Messages of the object store stand-in's world."""

from dataclasses import dataclass

from papayapost_testing.store.tables import FaultsRow, ReplyKind, RequestNumber

__all__ = [
    "FaultsSet",
    "ListRequested",
    "ListedObject",
    "ReadRequested",
    "Reply",
    "ReplyDelayed",
    "ReplyDropped",
    "ReplyReady",
    "RequestAbandoned",
    "UpdateRequested",
    "WatchExpired",
]


@dataclass(slots=True)
class ReadRequested:
    """Input: a client reads or watches an object.

    Parameters
    ----------
    known_version
        Version that the client holds; a watch waits for another version. None
        for a read that is answered at once.
    wait_ms
        Time in ms after which a watch is answered as not modified.
    """

    number: RequestNumber
    path: str
    known_version: int | None
    wait_ms: int


@dataclass(slots=True)
class ListedObject:
    """One object of a listing, in the form of the JSON answer."""

    version: int
    value: bytes


@dataclass(slots=True)
class ListRequested:
    """Input: a client reads all objects whose path has a prefix."""

    number: RequestNumber
    prefix: str


@dataclass(slots=True)
class UpdateRequested:
    """Input: a client updates an object if its version is still the same.

    Parameters
    ----------
    expected_version
        Version that the object must have; 0 if it must not exist yet.
    """

    number: RequestNumber
    path: str
    expected_version: int
    value: bytes


@dataclass(slots=True)
class RequestAbandoned:
    """Input: the client's connection was closed before the answer."""

    number: RequestNumber


@dataclass(slots=True)
class FaultsSet:
    """Input: simulate these faults from now on."""

    faults: FaultsRow


@dataclass(slots=True)
class WatchExpired:
    """Timer: the wait of a watch is over without a new version."""

    number: RequestNumber


@dataclass(slots=True)
class ReplyReady:
    """Internal: the answer to a request, to which faults may still apply."""

    number: RequestNumber
    kind: ReplyKind
    version: int = 0
    value: bytes = b""
    is_update: bool = False
    listed: dict[str, ListedObject] | None = None


@dataclass(slots=True)
class ReplyDelayed:
    """Timer: the simulated delay of an answer is over."""

    reply: ReplyReady


@dataclass(slots=True)
class Reply:
    """Effect: answer the request.

    Parameters
    ----------
    listed
        Objects of a listing by name, or None for any other answer.
    """

    number: RequestNumber
    kind: ReplyKind
    version: int
    value: bytes
    listed: dict[str, ListedObject] | None = None


@dataclass(slots=True)
class ReplyDropped:
    """Effect: close the connection without an answer."""

    number: RequestNumber
