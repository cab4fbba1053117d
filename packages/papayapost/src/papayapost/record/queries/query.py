"""Base class of the operators' queries, and the system that runs one."""

from abc import ABC, abstractmethod
from random import Random

from papayapost.define import define
from papayapost.kernel import System, Tick, World
from papayapost.record.batch_read import (
    BatchReadDone,
    BatchReadId,
    BatchReadRequested,
    FetchedObject,
    ReadBatches,
)
from papayapost.storage import ObjectKey

__all__ = [
    "Query",
    "QueryAnswered",
    "QueryRequested",
    "RunQuery",
    "build_query",
]

_BATCH_ID = BatchReadId("query")


class Query(ABC):
    """A query that reads store objects in rounds and builds a report.

    A subclass chooses the objects of each round, so that a later round can
    depend on what earlier rounds have read.
    """

    @abstractmethod
    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys to read next; empty to end the query."""

    @abstractmethod
    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Take the results of a round, in the order of its `next_keys`."""

    @abstractmethod
    def report(self) -> object:
        """Return the report, a dataclass of the query's own type."""


@define
class QueryRequested:
    """Input: request to run a query."""

    query: Query


@define
class QueryAnswered:
    """Effect: the query has ended with this report."""

    report: object


class RunQuery(System):
    """Reads the objects of one query, round by round, until it ends."""

    consumes = (BatchReadDone, QueryRequested)

    def __init__(self):
        self._query: Query | None = None

    def run(self, tick: Tick) -> None:
        """Start a new query, or continue it with the objects of a round."""
        for request in tick.take(QueryRequested):
            self._query = request.query
            self._advance(tick, request.query)
        for batch in tick.take(BatchReadDone):
            if self._query is not None and batch.batch_id == _BATCH_ID:
                self._query.take(batch.objects)
                self._advance(tick, self._query)

    def _advance(self, tick: Tick, query: Query) -> None:
        keys = query.next_keys()
        if keys:
            tick.post(BatchReadRequested(_BATCH_ID, keys))
        else:
            self._query = None
            tick.emit(QueryAnswered(query.report()))


def build_query(random: Random) -> World:
    """Return a world that runs a single query.

    The world takes one `QueryRequested` as input and emits one
    `QueryAnswered`.

    Parameters
    ----------
    random
        Seeded random source of the pauses between reads that fail.
    """
    return World([RunQuery(), ReadBatches()], random)
