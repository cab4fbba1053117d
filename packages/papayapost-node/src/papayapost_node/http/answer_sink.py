"""Receiver of the backend server's answers, piece by piece."""

from abc import ABC, abstractmethod
from enum import Enum

from papayapost_node.http.messages import Headers

__all__ = ["AnswerReading", "AnswerSink"]


class AnswerReading(Enum):
    """How to read the rest of an answer, decided by its receiver at the head.

    With ``WHOLE``, the deadline applies until the end of the answer. With
    ``STREAMED``, the deadline is cleared, as the head has arrived in time.
    With ``SKIPPED``, the answer is discarded, and the connection waits for
    the answer that follows it. With ``DISCARDED``, the answer is the one that
    is due but its body is not used; the connection reads on for a moment, to
    run another call if the body ends in it, and otherwise fails the answer.
    """

    WHOLE = "whole"
    STREAMED = "streamed"
    SKIPPED = "skipped"
    DISCARDED = "discarded"


class AnswerSink(ABC):
    """Receives one answer of the backend server, piece by piece."""

    @abstractmethod
    def informational_received(self, status: int, headers: Headers) -> None:
        """Handle an informational (1xx) answer before the final one."""

    @abstractmethod
    def answer_begun(self, status: int, headers: Headers) -> AnswerReading:
        """Handle the answer's head and say how to read the rest."""

    @abstractmethod
    def answer_received(self, data: bytes) -> None:
        """Handle a piece of the answer's body."""

    @abstractmethod
    def answer_ended(self, trailers: Headers) -> None:
        """Handle the end of a whole answer.

        The connection has been returned to the pool or closed before.
        """

    @abstractmethod
    def read_ended(self) -> None:
        """Handle the end of one read, whose data has all been passed on."""

    @abstractmethod
    def answer_failed(self, reason: str) -> None:
        """Handle an answer that did not come or broke off.

        Parameters
        ----------
        reason
            Description of the failure, in words for a log.
        """

    @abstractmethod
    def request_writable(self) -> None:
        """Handle that the write buffer has room for more of the body."""
