"""HTTP server of the object store stand-in.

It serves the object API of the platform and two control paths with JSON
bodies: ``PUT /faults`` takes the fields of `FaultsRow`, and ``GET /account``
returns those of `StoreCountsRow`.
"""

import itertools
from random import Random

import msgspec

from papayapost.ids import Address
from papayapost.kernel import World
from papayapost_node.clock import SystemClock
from papayapost_node.http import HttpAnswer, ServerCall, WholeRequestServer
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.store.messages import (
    FaultsSet,
    ListRequested,
    ReadRequested,
    Reply,
    ReplyDropped,
    RequestAbandoned,
    UpdateRequested,
)
from papayapost_testing.store.systems import (
    AnswerReads,
    ApplyFaults,
    ApplyUpdates,
    SendReplies,
)
from papayapost_testing.store.tables import (
    FaultsRow,
    ListenerId,
    RequestNumber,
    StoreCountsRow,
    StoreTables,
)

__all__ = ["ObjectStoreStandIn"]


class ObjectStoreStandIn:
    """An object store in memory with versions, updates and watches.

    Parameters
    ----------
    addresses
        Addresses on which it listens. All of them serve ``/faults`` and
        ``/account``, also while their listener is cut off.
    """

    def __init__(self, *addresses: Address):
        self.tables = StoreTables()
        self._servers = [
            WholeRequestServer(
                address, self._handler_for(ListenerId(number)), self._on_disconnect
            )
            for number, address in enumerate(addresses)
        ]
        self._numbers = itertools.count(1)
        self._calls: dict[RequestNumber, ServerCall] = {}
        self._number_of: dict[int, RequestNumber] = {}
        self._listener_of: dict[RequestNumber, ListenerId] = {}
        self._runner: WorldRunner | None = None

    @property
    def counts(self) -> StoreCountsRow:
        """Counts of the calls answered so far."""
        return self.tables.counts

    async def start(self) -> None:
        """Start to accept requests on all addresses."""
        systems = [
            ApplyFaults(self.tables),
            ApplyUpdates(self.tables),
            AnswerReads(self.tables),
            SendReplies(self.tables),
        ]
        world = World(systems, Random(0))
        handlers: dict[type, EffectHandler] = {
            Reply: self._reply,
            ReplyDropped: self._drop,
        }
        self._runner = WorldRunner(world, SystemClock(), handlers)
        for server in self._servers:
            await server.start()

    async def close(self) -> None:
        """Close all connections and stop."""
        for server in self._servers:
            await server.close()
        if self._runner is not None:
            self._runner.close()

    def set_faults(self, faults: FaultsRow) -> None:
        """Set the faults and close open requests of cut-off listeners."""
        self._post(FaultsSet(faults))
        for number, listener in list(self._listener_of.items()):
            if listener in faults.cut_listeners:
                self._drop(ReplyDropped(number))
                self._post(RequestAbandoned(number))

    def _handler_for(self, listener: ListenerId):
        def handle(call: ServerCall) -> None:
            self._handle_call(listener, call)

        return handle

    def _handle_call(self, listener: ListenerId, call: ServerCall) -> None:
        request = call.request
        if request.target == "/account":
            body = msgspec.json.encode(self.tables.counts)
            call.answer(HttpAnswer(200, [], body))
        elif request.target == "/faults":
            faults = msgspec.json.decode(request.body, type=FaultsRow)
            self.set_faults(faults)
            call.answer(HttpAnswer(200))
        elif listener in self.tables.faults.cut_listeners:
            call.connection.close()
        else:
            self._handle_object_request(listener, call)

    def _handle_object_request(self, listener: ListenerId, call: ServerCall) -> None:
        number = RequestNumber(next(self._numbers))
        message = _parse_request(number, call)
        if message is None:
            call.answer(HttpAnswer(428 if call.request.method == "PUT" else 405))
            return
        self._calls[number] = call
        self._number_of[id(call)] = number
        self._listener_of[number] = listener
        self._post(message)

    def _on_disconnect(self, call: ServerCall) -> None:
        number = self._number_of.get(id(call))
        if number is not None:
            self._remove_call(number)
            self._post(RequestAbandoned(number))

    def _reply(self, reply: Reply) -> None:
        call = self._remove_call(reply.number)
        if call is not None:
            headers = [(b"etag", b'"%d"' % reply.version)] if reply.version else []
            listed = reply.listed
            body = reply.value if listed is None else msgspec.json.encode(listed)
            call.answer(HttpAnswer(reply.kind.value, headers, body))

    def _drop(self, dropped: ReplyDropped) -> None:
        call = self._remove_call(dropped.number)
        if call is not None:
            call.connection.close()

    def _remove_call(self, number: RequestNumber) -> ServerCall | None:
        call = self._calls.pop(number, None)
        if call is not None:
            del self._number_of[id(call)]
            del self._listener_of[number]
        return call

    def _post(self, message: object) -> None:
        if self._runner is not None:
            self._runner.post(message)


def _parse_request(
    number: RequestNumber, call: ServerCall
) -> ListRequested | ReadRequested | UpdateRequested | None:
    request = call.request
    headers = dict(request.headers)
    if_none_match = headers.get(b"if-none-match")
    if request.method == "GET" and request.target.endswith("/"):
        return ListRequested(number, request.target)
    if request.method == "GET":
        wait_s = int(headers.get(b"prefer", b"wait=0").rpartition(b"=")[2])
        version = None if if_none_match is None else _parse_etag(if_none_match)
        return ReadRequested(number, request.target, version, wait_s * 1_000)
    if_match = headers.get(b"if-match")
    if request.method != "PUT" or (if_none_match != b"*" and if_match is None):
        return None
    version = 0 if if_match is None else _parse_etag(if_match)
    return UpdateRequested(number, request.target, version, request.body)


def _parse_etag(tag: bytes) -> int:
    return int(tag.strip(b'"'))
