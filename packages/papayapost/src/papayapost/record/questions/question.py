"""Questions of an operator that are answered by reading objects."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random

from papayapost.kernel import System, Tick, World
from papayapost.record.gather import (
    BatchReadDone,
    BatchReadId,
    BatchReadRequested,
    FetchedObject,
    ReadBatches,
)
from papayapost.storage import ObjectKey

__all__ = [
    "Query",
    "QuestionAnswered",
    "QuestionAsked",
    "RunQuery",
    "build_question",
]

_BATCH_ID = BatchReadId("question")


class Query(ABC):
    """What to read, step by step, and what it amounts to."""

    @abstractmethod
    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return what has to be read next; empty once that is all."""

    @abstractmethod
    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Take the objects of `next_keys`, in their order."""

    @abstractmethod
    def report(self) -> object:
        """Return the answer, a typed report."""


@dataclass(slots=True)
class QuestionAsked:
    """Input: answer this question."""

    query: Query


@dataclass(slots=True)
class QuestionAnswered:
    """Effect: the question's report."""

    report: object


class RunQuery(System):
    """Reads for one question until it needs nothing more."""

    consumes = (BatchReadDone, QuestionAsked)

    def __init__(self):
        self._query: Query | None = None

    def run(self, tick: Tick) -> None:
        """Take a new question, or what was read for the current one."""
        for request in tick.take(QuestionAsked):
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
            tick.emit(QuestionAnswered(query.report()))


def build_question(random: Random) -> World:
    """Return the world of a question; it takes one `QuestionAsked`."""
    return World([RunQuery(), ReadBatches()], random)
