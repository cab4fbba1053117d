"""A stand-in of the platform's object API."""

import asyncio
from dataclasses import dataclass

from papayapost.ids import Address
from papayapost_node.http import HttpAnswer, HttpServer, ServerCall

__all__ = ["ObjectStoreStandIn"]


@dataclass(slots=True)
class _Stored:
    version: int
    value: bytes


@dataclass(slots=True)
class _Watch:
    call: ServerCall
    timeout: asyncio.TimerHandle


class ObjectStoreStandIn:
    """Versions, conditional updates and watches, in memory.

    Attributes
    ----------
    reads, writes
        Calls answered so far; a watch counts as a read.
    """

    def __init__(self, address: Address):
        self._server = HttpServer(address, self._on_request, self._on_gone)
        self._objects: dict[str, _Stored] = {}
        self._watches: dict[str, list[_Watch]] = {}
        self._revision = 0
        self.reads = 0
        self.writes = 0

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def _on_request(self, call: ServerCall) -> None:
        request = call.request
        headers = dict(request.headers)
        if request.method == "PUT":
            self.writes += 1
            self._update(call, headers)
        elif request.method == "GET":
            self.reads += 1
            self._read(call, headers)
        else:
            call.answer(HttpAnswer(405))

    def _on_gone(self, call: ServerCall) -> None:
        for watches in self._watches.values():
            watches[:] = [watch for watch in watches if watch.call is not call]

    def _update(self, call: ServerCall, headers: dict[bytes, bytes]) -> None:
        target = call.request.target
        stored = self._objects.get(target)
        current = stored.version if stored else 0
        expected = _expected_version(headers)
        if expected is None:
            call.answer(HttpAnswer(428))
        elif expected != current:
            call.answer(HttpAnswer(412, [_etag(current)]))
        else:
            self._revision += 1
            self._objects[target] = _Stored(self._revision, call.request.body)
            call.answer(HttpAnswer(200, [_etag(self._revision)]))
            self._wake(target)

    def _read(self, call: ServerCall, headers: dict[bytes, bytes]) -> None:
        target = call.request.target
        stored = self._objects.get(target)
        known = headers.get(b"if-none-match")
        current = stored.version if stored else 0
        if known is None or int(known.strip(b'"')) != current:
            self._answer_object(call, stored)
            return
        wait_s = int(headers.get(b"prefer", b"wait=0").rpartition(b"=")[2])
        loop = asyncio.get_running_loop()
        timeout = loop.call_later(wait_s, self._expire, target, call)
        self._watches.setdefault(target, []).append(_Watch(call, timeout))

    def _expire(self, target: str, call: ServerCall) -> None:
        self._on_gone(call)
        call.answer(HttpAnswer(304))

    def _wake(self, target: str) -> None:
        for watch in self._watches.pop(target, []):
            watch.timeout.cancel()
            self._answer_object(watch.call, self._objects[target])

    def _answer_object(self, call: ServerCall, stored: _Stored | None) -> None:
        if stored is None:
            call.answer(HttpAnswer(404))
        else:
            call.answer(HttpAnswer(200, [_etag(stored.version)], stored.value))


def _etag(version: int) -> tuple[bytes, bytes]:
    return (b"etag", b'"%d"' % version)


def _expected_version(headers: dict[bytes, bytes]) -> int | None:
    if headers.get(b"if-none-match") == b"*":
        return 0
    match = headers.get(b"if-match")
    return int(match.strip(b'"')) if match else None
