"""HTTP client for whole requests and answers on one connection."""

import asyncio
from collections.abc import Callable

import h11

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.http.head_check import check_final_head
from papayapost_node.http.messages import HttpAnswer, HttpRequest

__all__ = ["ClientConnection"]

_READ_BYTES = 65_536

_MAX_INFORMATIONAL = 32
"""Most informational answers to a request; real ones are one or two."""


class ClientConnection:
    """A connection that runs calls one at a time.

    Attributes
    ----------
    is_sent
        Whether bytes of the current request may have been sent. If not, the
        request can safely be repeated on another connection.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self._on_read: Callable[[], None] = lambda: None
        self.is_sent = False

    @classmethod
    async def open(cls, address: Address) -> "ClientConnection":
        """Connect to an address.

        Raises
        ------
        OSError
            If the connection cannot be established.
        """
        ip, port = split_address(address)
        return cls(*await asyncio.open_connection(ip, port))

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made on this connection."""
        return self._http.our_state is h11.IDLE and not self._reader.at_eof()

    async def call(
        self,
        request: HttpRequest,
        max_body_bytes: int | None = None,
        on_read: Callable[[], None] = lambda: None,
    ) -> HttpAnswer:
        """Send a request and read its answer to the end.

        Parameters
        ----------
        max_body_bytes
            Largest body of the answer that is read; None for any.
        on_read
            Called whenever bytes of the answer have arrived.

        Returns
        -------
        HttpAnswer
            Its `is_whole` is False if the connection failed in the body, or
            if the body is too large.

        Raises
        ------
        OSError, h11.RemoteProtocolError
            If the connection closes, or malformed data or too many
            informational answers arrive, before the head of the answer.
        """
        self._on_read = on_read
        self._send(request)
        head = await self._read_head()
        if not isinstance(head, h11.Response):
            raise ConnectionResetError(
                "the connection closed before the head of an answer arrived"
            )
        check_final_head(head)
        answer = HttpAnswer(head.status_code, list(head.headers))
        await self._read_body(answer, max_body_bytes)
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def _send(self, request: HttpRequest) -> None:
        self.is_sent = False
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self.is_sent = True
        self._writer.write(b"".join(part for part in parts if part))

    async def _read_head(self):
        for _ in range(_MAX_INFORMATIONAL + 1):
            head = await self._next_event()
            if not isinstance(head, h11.InformationalResponse):
                return head
        raise h11.RemoteProtocolError("too many informational answers")

    async def _read_body(self, answer: HttpAnswer, max_bytes: int | None) -> None:
        body = bytearray()
        try:
            while isinstance(event := await self._next_event(), h11.Data):
                body += event.data
                if max_bytes is not None and len(body) > max_bytes:
                    answer.is_whole = False
                    break
        except (OSError, h11.RemoteProtocolError):
            answer.is_whole = False
        answer.body = bytes(body)
        if answer.is_whole and self._http.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            self._http.start_next_cycle()

    async def _next_event(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._reader.read(_READ_BYTES))
            self._on_read()
