"""Queries of the operators' tool, answered by reading store objects."""

from papayapost.record.queries.log import LogFilter, LogReport, ReadLog
from papayapost.record.queries.query import (
    Query,
    QueryAnswered,
    QueryRequested,
    build_query,
)
from papayapost.record.queries.rules import CurrentRules, ReadRules
from papayapost.record.queries.status import (
    DataCentreStatus,
    ReadStatus,
    StatusOverview,
)

__all__ = [
    "CurrentRules",
    "DataCentreStatus",
    "LogFilter",
    "LogReport",
    "Query",
    "QueryAnswered",
    "QueryRequested",
    "ReadLog",
    "ReadRules",
    "ReadStatus",
    "StatusOverview",
    "build_query",
]
