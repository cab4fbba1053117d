"""Bounds the memory for answers that their callers do not read."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["UnsentAnswer", "UnsentAnswers"]

_KEPT_SHARE = 0.75
"""Fraction of the limit that is kept when answers are ended, so that this is
rarely done."""


class UnsentAnswer(ABC):
    """An answer of a backend server, which waits to be sent."""

    @property
    @abstractmethod
    def waits_for_caller(self) -> bool:
        """Whether only its caller keeps the answer from going on."""

    @abstractmethod
    def end_unread(self) -> None:
        """End the answer as incomplete, and free its memory."""


class UnsentAnswers:
    """Sums what the answers of a node hold, and ends some above a limit.

    A backend server's slot is free as soon as it has answered, so that nothing
    else bounds how many answers wait. Load pattern: a crowd asks for large
    answers and reads none. Those that have waited for their caller longest are
    ended first; a caller that reads makes its answer the last in the order.

    Parameters
    ----------
    limit_bytes
        Largest number of bytes that may wait.
    on_limit
        Called for each answer that is ended.

    Attributes
    ----------
    total_bytes
        What all answers hold.
    """

    def __init__(self, limit_bytes: int, on_limit: Callable[[], None] = lambda: None):
        self._limit_bytes = limit_bytes
        self._on_limit = on_limit
        # Ordered by the time of the last progress.
        self._sizes: dict[UnsentAnswer, int] = {}
        self.total_bytes = 0

    def update(self, answer: UnsentAnswer, size_bytes: int) -> None:
        """Record what an answer holds that began to wait, or has gone on."""
        self.remove(answer)
        self._sizes[answer] = size_bytes
        self.total_bytes += size_bytes
        if self.total_bytes > self._limit_bytes:
            self._end_unread()

    def remove(self, answer: UnsentAnswer) -> None:
        """Forget an answer that has ended."""
        self.total_bytes -= self._sizes.pop(answer, 0)

    def _end_unread(self) -> None:
        for answer in list(self._sizes):
            if self.total_bytes <= self._limit_bytes * _KEPT_SHARE:
                return
            if answer.waits_for_caller:
                self.remove(answer)
                self._on_limit()
                answer.end_unread()
