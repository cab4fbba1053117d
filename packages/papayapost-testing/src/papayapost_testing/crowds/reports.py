"""Surroundings of a node whose backend server reports itself in plain JSON.

A node's settings name this module under ``surroundings``.
"""

import itertools

import msgspec

from papayapost.errors import ReportRefused
from papayapost.ids import InstanceId, ReportId, ServiceName
from papayapost.states import BackendServerState
from papayapost.traffic import BackendServerReported
from papayapost_node.http import HttpAnswer, HttpRequest
from papayapost_node.reports import Report, ReportCodec
from papayapost_node.settings import Settings
from papayapost_node.surroundings import NativeSurroundings

__all__ = ["SURROUNDINGS", "ReportingSurroundings"]


class _ReportBody(msgspec.Struct):
    slots: int


class _JsonReportCodec(ReportCodec):
    def __init__(self, service: ServiceName):
        self._service = service
        self._numbers = itertools.count(1)

    def decode(self, report_id: ReportId, request: HttpRequest) -> Report:
        try:
            body = msgspec.json.decode(request.body, type=_ReportBody)
        except ValueError as error:
            raise ReportRefused(f"the report does not decode: {error}") from None
        return BackendServerReported(
            report_id,
            InstanceId("stand-in"),
            1,
            next(self._numbers),
            self._service,
            body.slots,
            BackendServerState.READY,
        )

    def acknowledgement(self) -> HttpAnswer:
        return HttpAnswer(200)


class ReportingSurroundings(NativeSurroundings):
    """Creates papayapost's own adapters, with a codec of reports."""

    def report_codec(self, settings: Settings) -> ReportCodec | None:
        """Return the codec of reports; None without a backend server."""
        backend = settings.backend_server
        return _JsonReportCodec(ServiceName(backend.service)) if backend else None


SURROUNDINGS = ReportingSurroundings()
