"""Receives the reports that the node's backend server sends about itself."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable

from papayapost.errors import ReportRefused
from papayapost.ids import Address, ReportId
from papayapost.kernel import Table
from papayapost.observe import Event
from papayapost.traffic import (
    BackendServerDeregistered,
    BackendServerReported,
    ReportDeferred,
    ReportTaken,
)
from papayapost_node.event_limit import EventRateLimit
from papayapost_node.http import (
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    ServerCall,
    SharedLimits,
    WholeRequestServer,
)

__all__ = ["Report", "ReportCodec", "ReportServer"]

Report = BackendServerReported | BackendServerDeregistered

_BAD_REQUEST = 400
_UNAVAILABLE = 503


class ReportCodec(ABC):
    """Decodes the reports of a backend server and encodes their answers."""

    @abstractmethod
    def decode(self, report_id: ReportId, request: HttpRequest) -> Report:
        """Decode the report in a request.

        Raises
        ------
        ReportRefused
            If the request holds no valid report, or a report of another
            backend server.
        """

    @abstractmethod
    def acknowledgement(self) -> HttpAnswer:
        """Return the answer to a report that the node has applied."""


class ReportServer:
    """Passes reports to the world and acknowledges the applied ones.

    Parameters
    ----------
    post
        Passes a message to the next tick of the world.
    events
        Records refused reports at a limited rate.
    limits, shared
        Limits of the connections, and the bounds of the whole process.
    """

    def __init__(
        self,
        address: Address,
        codec: ReportCodec,
        post: Callable[[object], None],
        events: EventRateLimit,
        limits: HttpLimits | None = None,
        shared: SharedLimits | None = None,
    ):
        self._codec = codec
        self._post = post
        self._events = events
        self._ids = itertools.count(1)
        self._unacknowledged: Table[ReportId, ServerCall] = Table("reports")
        self._server = WholeRequestServer(
            address,
            self._on_request,
            limits=limits,
            setting="report_address",
            shared=shared,
        )

    def handlers(self) -> dict[type, Callable]:
        """Return the functions that carry out effects, by type of effect."""
        return {ReportTaken: self._acknowledge, ReportDeferred: self._defer}

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        AddressUnavailable
            If the address is in use or does not belong to this machine.
        """
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def _on_request(self, call: ServerCall) -> None:
        report_id = ReportId(next(self._ids))
        try:
            report = self._codec.decode(report_id, call.request)
        except ReportRefused as refused:
            self._events.note(Event.REPORT_REFUSED, str(refused))
            call.answer(HttpAnswer(_BAD_REQUEST))
            return
        self._unacknowledged.put(report_id, call)
        self._post(report)

    def _acknowledge(self, taken: ReportTaken) -> None:
        call = self._unacknowledged.pop(taken.report_id)
        if call is not None:
            call.answer(self._codec.acknowledgement())

    def _defer(self, deferred: ReportDeferred) -> None:
        call = self._unacknowledged.pop(deferred.report_id)
        if call is not None:
            call.answer(HttpAnswer(_UNAVAILABLE))
