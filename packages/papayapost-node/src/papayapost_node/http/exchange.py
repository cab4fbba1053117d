"""A request with its answer at an HTTP server, and the handler interface."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

import h11

from papayapost_node.http.heads import body_bytes
from papayapost_node.http.messages import Headers

__all__ = ["NO_HEADERS", "AnswerChannel", "RequestHandler", "ServerExchange"]

NO_HEADERS: Headers = []


class AnswerChannel(ABC):
    """Sends the answers of exchanges on the connection of their requests."""

    @abstractmethod
    def begin(
        self,
        exchange: ServerExchange,
        status: int,
        headers: Headers,
        data: bytes,
        is_ended: bool,
        trailers: Headers,
    ) -> None:
        """Send an answer's head, with the first or only piece of its body."""

    @abstractmethod
    def send(
        self, exchange: ServerExchange, data: bytes, is_ended: bool, trailers: Headers
    ) -> None:
        """Send a further piece of an answer's body."""

    @abstractmethod
    def send_informational(
        self, exchange: ServerExchange, status: int, headers: Headers
    ) -> None:
        """Send an informational (1xx) answer."""

    @abstractmethod
    def cut_short(self, exchange: ServerExchange) -> None:
        """End an answer so that the caller sees that it is incomplete."""

    @abstractmethod
    def pause_body(self, exchange: ServerExchange) -> None:
        """Stop reading a request's body until `resume_body`."""

    @abstractmethod
    def resume_body(self, exchange: ServerExchange) -> None:
        """Continue to read a request's body."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection once all written bytes are sent."""


class RequestHandler(ABC):
    """Handles the requests of an HTTP server, piece by piece.

    Attributes
    ----------
    held_body_bytes
        Most bytes of a request's body that the handler keeps.
    request_units
        Processor time of a request's handling, in the units of `Turns`.
    """

    held_body_bytes: int = 16 << 10
    request_units: int = 16

    @abstractmethod
    def request_begun(self, exchange: ServerExchange) -> None:
        """Handle a request's head."""

    @abstractmethod
    def body_received(self, exchange: ServerExchange, data: bytes) -> None:
        """Handle a piece of the request's body."""

    @abstractmethod
    def body_ended(self, exchange: ServerExchange, trailers: Headers) -> None:
        """Handle the end of the request's body."""

    @abstractmethod
    def answer_writable(self, exchange: ServerExchange) -> None:
        """Handle that the write buffer has room for more of the answer."""

    @abstractmethod
    def caller_gone(self, exchange: ServerExchange) -> None:
        """Handle a connection that closed before the answer was complete."""


class ServerExchange:
    """A request and its answer on a caller's connection.

    Headers have lower-case names.

    Attributes
    ----------
    body_bytes
        Length of the request's body, or None if the body is chunked.
    waits_for_continue
        Whether the caller waits for ``100 Continue`` before it sends the body.
    is_writable
        False while the write buffer is full because the caller reads the
        answer slowly, or while the answers before this one are incomplete.
    may_have_run
        Whether the handler has passed the request on, so that no answer may
        promise any more that it did not run.
    context
        Data that the handler stores with the exchange.
    """

    __slots__ = (
        "body_bytes",
        "connection",
        "context",
        "headers",
        "is_writable",
        "may_have_run",
        "method",
        "target",
        "waits_for_continue",
    )

    def __init__(
        self, connection: AnswerChannel, head: h11.Request, waits_for_continue: bool
    ):
        self.connection = connection
        self.method = head.method.decode("ascii")
        self.target = head.target.decode("ascii")
        self.headers: Headers = list(head.headers)
        self.body_bytes = body_bytes(self.headers)
        self.waits_for_continue = waits_for_continue
        self.is_writable = True
        self.may_have_run = False
        self.context: Any = None

    def begin(
        self,
        status: int,
        headers: Headers,
        data: bytes = b"",
        is_ended: bool = False,
        trailers: Headers = NO_HEADERS,
    ) -> None:
        """Send the answer's head, with the first or only piece of its body.

        Parameters
        ----------
        is_ended
            Whether `data` is the whole body.
        """
        self.connection.begin(self, status, headers, data, is_ended, trailers)

    def send(
        self, data: bytes, is_ended: bool = False, trailers: Headers = NO_HEADERS
    ) -> None:
        """Send a further piece of the answer's body.

        Parameters
        ----------
        is_ended
            Whether this is the last piece.
        """
        self.connection.send(self, data, is_ended, trailers)

    def send_informational(self, status: int, headers: Headers) -> None:
        """Send an informational (1xx) answer before the final one."""
        self.connection.send_informational(self, status, headers)

    def cut_short(self) -> None:
        """End an answer so that the caller sees that it is incomplete."""
        self.connection.cut_short(self)

    def pause_body(self) -> None:
        """Stop reading the request's body until `resume_body`."""
        self.connection.pause_body(self)

    def resume_body(self) -> None:
        """Continue to read the request's body."""
        self.connection.resume_body(self)
