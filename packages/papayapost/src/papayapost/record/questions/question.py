"""Questions of an operator that are answered by reading objects."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from random import Random

from papayapost.kernel import System, Tick, World
from papayapost.record.gather import (
    GatherAsked,
    Gathered,
    GatheredObject,
    GatherId,
    GatherObjects,
)
from papayapost.storage import ObjectKey

__all__ = [
    "AnswerQuestion",
    "Question",
    "QuestionAnswered",
    "QuestionAsked",
    "build_question",
]

_GATHER = GatherId("question")


class Question(ABC):
    """What to read, step by step, and what it amounts to."""

    @abstractmethod
    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return what has to be read next; empty once that is all."""

    @abstractmethod
    def take(self, objects: tuple[GatheredObject, ...]) -> None:
        """Take the objects of `next_keys`, in their order."""

    @abstractmethod
    def report(self) -> object:
        """Return the answer, a typed report."""


@dataclass(slots=True)
class QuestionAsked:
    """Input: answer this question."""

    question: Question


@dataclass(slots=True)
class QuestionAnswered:
    """Effect: the question's report."""

    report: object


class AnswerQuestion(System):
    """Reads for one question until it needs nothing more."""

    consumes = (Gathered, QuestionAsked)

    def __init__(self):
        self._question: Question | None = None

    def run(self, tick: Tick) -> None:
        """Take a new question, or what was read for the current one."""
        for asked in tick.take(QuestionAsked):
            self._question = asked.question
            self._go_on(tick, asked.question)
        for gathered in tick.take(Gathered):
            if self._question is not None and gathered.gather_id == _GATHER:
                self._question.take(gathered.objects)
                self._go_on(tick, self._question)

    def _go_on(self, tick: Tick, question: Question) -> None:
        keys = question.next_keys()
        if keys:
            tick.post(GatherAsked(_GATHER, keys))
        else:
            self._question = None
            tick.emit(QuestionAnswered(question.report()))


def build_question(random: Random) -> World:
    """Return the world of a question; it takes one `QuestionAsked`."""
    return World([AnswerQuestion(), GatherObjects()], random)
