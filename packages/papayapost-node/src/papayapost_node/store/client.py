"""Clients of the platform's object API.

papayapost uses these requests of the API:

- ``GET /objects/KIND/NAME`` reads an object. The store answers 200 with the
  value as the body and the version as ``ETag``, or 404.
- The same request with ``If-None-Match: "V"`` and ``Prefer: wait=SECONDS`` is
  a watch. The store answers as soon as the version differs from V, or 304
  after SECONDS.
- ``PUT /objects/KIND/NAME`` with ``If-Match: "V"`` is a conditional update;
  with ``If-None-Match: *`` it creates the object. The store answers 200 with
  the new version as ``ETag``, or 412 with the current version.
- ``GET /objects/KIND/`` lists all objects of a kind. The store answers a JSON
  object that maps each name to its ``version`` and its ``value`` in base 64.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from papayapost.define import define
from papayapost.errors import StoreConflict, StoreUnavailable
from papayapost.findings import Finding
from papayapost.ids import Address
from papayapost.storage import NO_STORE_VERSION, StoreVersion
from papayapost_node.foreign_json import decode_json
from papayapost_node.http import Headers, HttpAnswer
from papayapost_node.store.connections import StoreConnections
from papayapost_node.store.eras import EraListener

__all__ = ["HttpStoreClient", "StoreClient", "StoredObject"]


_TIMEOUT_S = 5.0
_EXPECTED_STATUSES = frozenset([200, 304, 404, 412])


@define
class StoredObject:
    """An object's value and version.

    Version 0 means that the object does not exist; its value is then empty.

    Parameters
    ----------
    findings
        Faulty entries of the stored object, which the value leaves out.
    position
        Version of the store at which the object had this version; 0 if the
        store tells none.
    """

    version: int
    value: bytes
    findings: tuple[Finding, ...] = ()
    position: StoreVersion = StoreVersion(0)


class StoreClient(ABC):
    """Reads, lists, watches and conditionally updates objects of the store."""

    @abstractmethod
    async def read(self, kind: str, name: str) -> StoredObject:
        """Return the current value and version of an object.

        Raises
        ------
        StoreUnavailable
            If the store does not answer in time.
        """

    @abstractmethod
    async def list_kind(self, kind: str, may_be_stale: bool) -> dict[str, StoredObject]:
        """Return a mapping of names to objects for all objects of a kind.

        Parameters
        ----------
        may_be_stale
            Whether the store may answer with an older state, which costs it
            less than the current one.

        Raises
        ------
        StoreUnavailable
            If the store does not answer in time.
        """

    @abstractmethod
    async def watch(
        self,
        kind: str,
        name: str,
        after_version: int,
        wait_s: float,
        on_bytes: Callable[[], None] | None = None,
        position: StoreVersion = NO_STORE_VERSION,
    ) -> StoredObject | None:
        """Wait until an object's version changes, and return the object.

        Parameters
        ----------
        after_version
            Version that the caller knows; 0 if the object does not exist.
        wait_s
            Time for which the store holds its answer if nothing changes.
        on_bytes
            Called for each part of the answer that arrives.
        position
            Version of the store at which the object had `after_version`; 0 if
            it is not known.

        Returns
        -------
        StoredObject or None
            None if the version is still `after_version` after `wait_s`.

        Raises
        ------
        StoreUnavailable
            If the store does not answer in time.
        """

    @abstractmethod
    async def update(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Replace the expected version of an object and return the new one.

        Parameters
        ----------
        expected_version
            Version that the update replaces; 0 creates the object.

        Raises
        ------
        StoreConflict
            If the store holds another version than `expected_version`.
        StoreUnavailable
            If the store does not answer in time. The update may have taken
            effect.
        """

    @abstractmethod
    def set_era_listener(self, listener: EraListener) -> None:
        """Have a listener told of the store's eras, if it names them."""

    @abstractmethod
    def close(self) -> None:
        """Close the idle connections to the store."""


class HttpStoreClient(StoreClient):
    """Calls the object API over HTTP and reuses its connections.

    Parameters
    ----------
    address
        Address of the store.
    timeout_s
        Time within which the store must answer. A watch adds its `wait_s`.
    """

    def __init__(self, address: Address, timeout_s: float = _TIMEOUT_S):
        self._connections = StoreConnections(address, timeout_s)

    async def read(self, kind: str, name: str) -> StoredObject:
        """Return the current value and version of an object."""
        return _object_of(await self._call("GET", kind, name, []))

    async def list_kind(self, kind: str, may_be_stale: bool) -> dict[str, StoredObject]:
        """Return a mapping of names to objects for all objects of a kind."""
        answer = await self._call("GET", kind, "", [])
        if answer.status == 404:
            return {}
        try:
            listed = decode_json(answer.body, dict[str, StoredObject])
        except ValueError as error:
            raise StoreUnavailable(
                f"the list of {kind} objects does not decode: {error}; check that "
                "this is the platform's object API"
            ) from None
        return listed

    async def watch(
        self,
        kind: str,
        name: str,
        after_version: int,
        wait_s: float,
        on_bytes: Callable[[], None] | None = None,
        position: StoreVersion = NO_STORE_VERSION,
    ) -> StoredObject | None:
        """Wait until an object's version changes, and return the object."""
        headers = [
            (b"if-none-match", _etag_of(after_version)),
            (b"prefer", b"wait=%d" % round(wait_s)),
        ]
        answer = await self._call(
            "GET", kind, name, headers, wait_s=wait_s, on_bytes=on_bytes
        )
        if answer.status == 304:
            return None
        return _object_of(answer)

    async def update(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Replace the expected version of an object and return the new one."""
        condition = (
            (b"if-match", _etag_of(expected_version))
            if expected_version
            else (b"if-none-match", b"*")
        )
        answer = await self._call("PUT", kind, name, [condition], value)
        if answer.status == 412:
            raise StoreConflict(f"{kind}/{name}", expected_version, _version_of(answer))
        if answer.status != 200:
            raise StoreUnavailable(
                f"the store answered {answer.status} to an update of {kind}/{name}; "
                "read the object back before trying again"
            )
        return _version_of(answer)

    def set_era_listener(self, listener: EraListener) -> None:
        """Do nothing, as this store names no eras."""

    def close(self) -> None:
        """Close the idle connections to the store."""
        self._connections.close()

    async def _call(
        self,
        method: str,
        kind: str,
        name: str,
        headers: Headers,
        body: bytes = b"",
        wait_s: float = 0,
        on_bytes: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        target = f"/objects/{kind}/{name}"
        answer = await self._connections.call(
            method, target, headers, body, wait_s, on_bytes
        )
        if answer.status not in _EXPECTED_STATUSES:
            raise self._connections.unusable_answer_error(answer)
        return answer


def _etag_of(version: int) -> bytes:
    return b'"%d"' % version


def _version_of(answer: HttpAnswer) -> int:
    etag = (answer.header(b"etag") or b'"0"').strip(b'"')
    if not etag.isdigit():
        raise StoreUnavailable(
            f"the store answered {answer.status} with the version {etag!r}, which is "
            "no number; check that this is the platform's object API"
        )
    return int(etag)


def _object_of(answer: HttpAnswer) -> StoredObject:
    if answer.status == 404:
        return StoredObject(0, b"")
    return StoredObject(_version_of(answer), answer.body)
