"""One request and its answer, and who takes them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

import h11

from papayapost_node.http.heads import body_bytes
from papayapost_node.http.messages import Headers

if TYPE_CHECKING:
    from papayapost_node.http.server_connection import ServerConnection

__all__ = ["NO_HEADERS", "RequestHandler", "ServerExchange"]

NO_HEADERS: Headers = []


class RequestHandler(ABC):
    """Takes requests as they arrive, in pieces."""

    @abstractmethod
    def request_begun(self, exchange: ServerExchange) -> None:
        """Take a request's head."""

    @abstractmethod
    def body_received(self, exchange: ServerExchange, data: bytes) -> None:
        """Take a piece of the request's body."""

    @abstractmethod
    def body_ended(self, exchange: ServerExchange, trailers: Headers) -> None:
        """Note that the request's body is whole."""

    @abstractmethod
    def answer_writable(self, exchange: ServerExchange) -> None:
        """Note that a caller who fell behind has caught up."""

    @abstractmethod
    def caller_gone(self, exchange: ServerExchange) -> None:
        """Note that the connection ended before the answer did."""


class ServerExchange:
    """One request and its answer on a connection.

    Attributes
    ----------
    body_bytes
        Length of the request's body, or None if it is not known yet.
    waits_for_continue
        Whether the caller sends the body only after ``100 Continue``.
    is_writable
        False while the caller takes the answer more slowly than it comes.
    context
        What the handler keeps with the exchange.
    """

    __slots__ = (
        "body_bytes",
        "connection",
        "context",
        "headers",
        "is_writable",
        "method",
        "target",
        "waits_for_continue",
    )

    def __init__(self, connection: ServerConnection, head: h11.Request, waits: bool):
        self.connection = connection
        self.method = head.method.decode("ascii")
        self.target = head.target.decode("ascii")
        self.headers: Headers = list(head.headers)
        self.body_bytes = body_bytes(self.headers)
        self.waits_for_continue = waits
        self.is_writable = True
        self.context: Any = None

    def begin(
        self,
        status: int,
        headers: Headers,
        data: bytes = b"",
        is_ended: bool = False,
        trailers: Headers = NO_HEADERS,
    ) -> None:
        """Send the answer's head with what there is of its body."""
        self.connection.begin(self, status, headers, data, is_ended, trailers)

    def send(
        self, data: bytes, is_ended: bool = False, trailers: Headers = NO_HEADERS
    ) -> None:
        """Send a further piece of the answer's body."""
        self.connection.send(self, data, is_ended, trailers)

    def inform(self, status: int, headers: Headers) -> None:
        """Send an informational answer ahead of the final one."""
        self.connection.inform(self, status, headers)

    def cut_short(self) -> None:
        """End an answer that cannot be completed, visibly so."""
        self.connection.cut_short(self)

    def pause_body(self) -> None:
        """Take no more of the request's body for now."""
        self.connection.pause_body(self)

    def resume_body(self) -> None:
        """Take more of the request's body."""
        self.connection.resume_body(self)
