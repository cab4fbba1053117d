"""A caller's connection to a node, which reads answers strictly."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11

from papayapost.ids import Address, NodeId
from papayapost_node.addresses import split_address
from papayapost_node.clock import SystemClock
from papayapost_testing.soak.http import READ_BYTES, encode_request, hash_of, next_event
from papayapost_testing.soak.messages import CallEnded, CallSent, UnaskedBytes
from papayapost_testing.soak.proxy import Proxy
from papayapost_testing.soak.rows import (
    AnswerRow,
    CallEnd,
    CallRow,
)
from papayapost_testing.soak.wire import Wire

__all__ = ["CallerConnection", "Entry", "Request"]

_GIVE_UP_AFTER_S = 1.0


@dataclass(slots=True)
class Entry:
    """Where a caller connects: to a node or, unless None, to its proxy."""

    node_id: NodeId
    address: Address
    proxy: Proxy | None = None


@dataclass(slots=True)
class Request:
    """A call to send, with its body."""

    call: CallRow
    body: bytes
    is_chunked: bool


class CallerConnection:
    """A connection whose requests are answered in the order of their sending.

    Attributes
    ----------
    is_over
        Whether no further request may be sent.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        entry: Entry,
        wire: Wire,
        post: Callable[[object], None],
    ):
        self._reader = reader
        self._writer = writer
        self._entry = entry
        self._wire = wire
        self._post = post
        self._clock = SystemClock()
        self._http = h11.Connection(h11.CLIENT)
        self._waiting: list[tuple[h11.Request, bytes]] = []
        self._sent = 0
        self.is_over = False

    @classmethod
    async def open(
        cls,
        entry: Entry,
        wire: Wire,
        post: Callable[[object], None],
    ) -> "CallerConnection":
        """Connect to a node or its proxy.

        Raises
        ------
        OSError
            If the connection cannot be established.
        """
        reader, writer = await asyncio.open_connection(*split_address(entry.address))
        return cls(reader, writer, entry, wire, post)

    async def send(self, request: Request, pause_s: float = 0) -> None:
        """Send a request, with a pause in the middle of its bytes."""
        call = request.call
        headers = self._wire.request_headers(call.request_id, call.timeout_ms, call.key)
        head, data = encode_request(
            call.method, call.target, headers, request.body, request.is_chunked
        )
        self._sent += 1
        way = "directly" if self._entry.proxy is None else "by the proxy"
        call.manner = f"{way}, request {self._sent} on its connection, "
        call.manner += f"paused {pause_s:.3f} s"
        call.sent_us = self._clock.now_us()
        self._post(CallSent(call))
        half = len(data) // 2 if pause_s else 0
        if half:
            self._writer.write(data[:half])
            await asyncio.sleep(pause_s)
        self._writer.write(data[half:])
        call.whole_us = self._clock.now_us()
        self._waiting.append((head, request.body))

    async def read(self, call: CallRow) -> None:
        """Read the answer to the oldest request without one, and post it."""
        head, body = self._waiting.pop(0)
        if self.is_over:
            self._end(call, CallEnd.CLOSED)
            return
        # `send` has written these bytes; here they only advance the parser.
        self._http.send(head)
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        answer = None
        try:
            async with asyncio.timeout(call.timeout_ms / 1000 + _GIVE_UP_AFTER_S):
                answer = await self._read_head()
                if answer is None:
                    self._end(call, CallEnd.CLOSED)
                    return
                await self._read_body(answer)
        except TimeoutError:
            self._end(call, CallEnd.EXPIRED)
            return
        except (OSError, h11.RemoteProtocolError):
            self._end(call, CallEnd.CUT if answer else CallEnd.CLOSED, answer)
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._report_trailing()
        else:
            self.is_over = True
        self._post(
            CallEnded(call.request_id, CallEnd.ANSWERED, self._clock.now_us(), answer)
        )

    async def idle(self, seconds: float) -> None:
        """Wait between requests, and notice bytes that nobody asked for."""
        try:
            async with asyncio.timeout(seconds):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return
        except OSError:
            data = b""
        if data:
            self._post(UnaskedBytes(self._entry.node_id, data[:200]))
        self.is_over = True

    def close(self) -> None:
        """Close the connection; a request without an answer is cancelled."""
        self._writer.transport.abort()

    def _report_trailing(self) -> None:
        data, _ = self._http.trailing_data
        if data and not self._waiting:
            self._post(UnaskedBytes(self._entry.node_id, bytes(data[:200])))
            self.is_over = True

    async def _read_head(self) -> AnswerRow | None:
        event = await next_event(self._http, self._reader)
        while isinstance(event, h11.InformationalResponse):
            event = await next_event(self._http, self._reader)
        if not isinstance(event, h11.Response):
            return None
        request_id, signature = self._wire.read_answer(list(event.headers))
        return AnswerRow(event.status_code, request_id, signature, "")

    async def _read_body(self, answer: AnswerRow) -> None:
        chunks = []
        while isinstance(event := await next_event(self._http, self._reader), h11.Data):
            chunks.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("the connection closed within an answer")
        answer.body_hash = hash_of(b"".join(chunks))

    def _end(
        self, call: CallRow, end: CallEnd, answer: AnswerRow | None = None
    ) -> None:
        self.is_over = True
        proxy = self._entry.proxy
        own_address = self._writer.get_extra_info("sockname")
        if end is CallEnd.CLOSED and proxy and own_address not in proxy.reached:
            end = CallEnd.UNREACHED
        self._post(CallEnded(call.request_id, end, self._clock.now_us(), answer))
