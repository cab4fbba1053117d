"""Callers: they use a node's connections until these are gone."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from papayapost.ids import Micros, NodeId, RequestName
from papayapost.kernel import Table
from papayapost_node.clock import SystemClock
from papayapost_testing.soak.connection import CallerConnection, Entry, Request
from papayapost_testing.soak.http import hash_of
from papayapost_testing.soak.messages import CallEnded
from papayapost_testing.soak.rows import (
    NO_KEY,
    CallEnd,
    CallRow,
    NodeRow,
    RouteKind,
    RouteRow,
    SecretKey,
    Start,
)
from papayapost_testing.soak.rules import BASE_PREFIXES, LASTING_KEY
from papayapost_testing.soak.tables import SoakTables
from papayapost_testing.soak.wire import Wire

__all__ = ["CALLER_KINDS", "Caller"]

_REOPEN_PAUSE_S = 0.1
_MAX_BODY_BYTES = 3_000
_ADDED_ROUTE_SHARE = 0.3
_CHUNKED_SHARE = 0.3
_CHANGING_KEY_SHARE = 0.25
_RECENT_VERSIONS = 8
_OPEN_TIMEOUT_S = 1.0

_numbers = itertools.count(1)


class Caller(ABC):
    """A caller on one VM that sends its requests to the node there.

    Parameters
    ----------
    pace
        Factor by which the pauses between its requests are longer.
    post
        Receives what the caller sends and sees, as input messages.
    """

    def __init__(
        self,
        entry: Entry,
        wire: Wire,
        tables: SoakTables,
        random: Random,
        pace: float,
        post: Callable[[object], None],
    ):
        self._entry = entry
        self._wire = wire
        self._tables = tables
        self.random = random
        self._pace = pace
        self._post = post
        self._clock = SystemClock()

    @property
    def _nodes(self) -> Table[NodeId, NodeRow]:
        return self._tables.nodes

    async def run(self) -> None:
        """Open connections and use each until it is gone."""
        while True:
            start = self._nodes.require(self._entry.node_id).start
            try:
                async with asyncio.timeout(_OPEN_TIMEOUT_S):
                    connection = await CallerConnection.open(
                        self._entry, self._wire, self._post
                    )
            except OSError:
                await asyncio.sleep(_REOPEN_PAUSE_S)
                continue
            try:
                if start == self._nodes.require(self._entry.node_id).start:
                    await self.use(connection, start)
            finally:
                connection.close()
            await asyncio.sleep(self.random.uniform(0, 4 * _REOPEN_PAUSE_S))

    @abstractmethod
    async def use(self, connection: CallerConnection, start: Start) -> None:
        """Send requests on a connection until it is of no more use."""

    def draw_pause_s(self, mean_s: float) -> float:
        """Return the length of a pause in s."""
        return self._pace * self.random.expovariate(1 / mean_s)

    def draw_request(self, start: Start, kinds: Sequence[RouteKind]) -> Request:
        """Return a request on a route of the newest rules version."""
        newest = self._tables.newest()
        routes = [route for route in newest.routes.values() if route.kind in kinds]
        added = [route for route in routes if route.prefix not in BASE_PREFIXES]
        base = [route for route in routes if route.prefix in BASE_PREFIXES]
        if added and self.random.random() < _ADDED_ROUTE_SHARE:
            route = self.random.choice(added[-2:])
        else:
            route = self.random.choice(base)
        return self._request(route, start)

    def draw_dropped(self, start: Start) -> Request | None:
        """Return a request on a route that the newest version has dropped."""
        versions = list(self._tables.versions)
        dropped = [
            route
            for version in versions[-_RECENT_VERSIONS:]
            for route in version.routes.values()
            if route.prefix not in versions[-1].routes
        ]
        return self._request(self.random.choice(dropped), start) if dropped else None

    def _request(self, route: RouteRow, start: Start) -> Request:
        number = next(_numbers)
        request_id = RequestName(f"{number:x}-{self.random.getrandbits(48):012x}")
        is_read = route.kind is not RouteKind.NON_IDEMPOTENT
        body = b"" if is_read else self.random.randbytes(self._body_bytes())
        call = CallRow(
            request_id,
            self._entry.node_id,
            start,
            "GET" if is_read else "POST",
            f"{route.prefix}{request_id}?n={number}",
            hash_of(body),
            route.kind,
            route.timeout_ms,
            self._clock.now_us(),
            key=NO_KEY if route.is_anonymous else self._draw_key(),
        )
        is_chunked = bool(body) and self.random.random() < _CHUNKED_SHARE
        return Request(call, body, is_chunked)

    def _draw_key(self) -> SecretKey:
        """Return the lasting key, or one that a recent version holds."""
        if self.random.random() >= _CHANGING_KEY_SHARE:
            return LASTING_KEY
        recent = list(self._tables.versions)[-_RECENT_VERSIONS:]
        return self.random.choice([key for version in recent for key in version.keys])

    def _body_bytes(self) -> int:
        return self.random.randint(0, _MAX_BODY_BYTES)

    def end_call(self, call: CallRow, end: CallEnd) -> None:
        """Post how a call ended without an answer."""
        at_us: Micros = self._clock.now_us()
        self._post(CallEnded(call.request_id, end, at_us))


class KeepingCaller(Caller):
    """Sends one request after the other on a kept connection."""

    kinds: tuple[RouteKind, ...] = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)

    async def use(self, connection: CallerConnection, start: Start) -> None:
        """Send requests, some in two parts, and pause between them."""
        while not connection.is_over:
            request = self.draw_request(start, self.kinds)
            if self.random.random() < 0.05:
                request = self.draw_dropped(start) or request
            pause_s = self.random.choice([0, 0, 0, self.random.uniform(0.01, 0.2)])
            await connection.send(request, pause_s)
            await connection.read(request.call)
            if not connection.is_over:
                await connection.idle(self.draw_pause_s(0.12))


class BookingCaller(KeepingCaller):
    """Sends only requests that may not run twice."""

    kinds = (RouteKind.NON_IDEMPOTENT,)


class DownloadingCaller(KeepingCaller):
    """Fetches large answers."""

    kinds = (RouteKind.DOWNLOAD,)


class PipeliningCaller(Caller):
    """Sends further requests before the first is answered."""

    async def use(self, connection: CallerConnection, start: Start) -> None:
        """Send a few idempotent requests and read their answers in order."""
        kinds = (RouteKind.IDEMPOTENT,)
        while not connection.is_over:
            count = self.random.randint(1, 5)
            requests = [self.draw_request(start, kinds) for _ in range(count)]
            for position, request in enumerate(requests):
                request.call.is_behind = position > 0
                await connection.send(request)
                if self.random.random() < 0.3:
                    await asyncio.sleep(self.random.uniform(0, 0.05))
            for request in requests:
                await connection.read(request.call)
            if not connection.is_over:
                await connection.idle(self.draw_pause_s(0.25))


class LeavingCaller(Caller):
    """Closes its connection before the answer, often enough."""

    async def use(self, connection: CallerConnection, start: Start) -> None:
        """Send a request and leave, or wait for its answer."""
        kinds = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)
        request = self.draw_request(start, kinds)
        await connection.send(request)
        if self.random.random() < 0.6:
            await asyncio.sleep(self.random.uniform(0, 0.25))
            self.end_call(request.call, CallEnd.LEFT)
        else:
            await connection.read(request.call)
        await asyncio.sleep(self.draw_pause_s(0.2))


CALLER_KINDS: tuple[type[Caller], ...] = (
    KeepingCaller,
    BookingCaller,
    PipeliningCaller,
    DownloadingCaller,
    LeavingCaller,
)
