"""A caller's connection at an HTTP server, with streamed bodies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from papayapost_node.http.exchange import NO_HEADERS, ServerExchange
from papayapost_node.http.heads import refusal_status
from papayapost_node.http.messages import Headers
from papayapost_node.http.pipeline import SAFE_METHODS, Pipeline, PipelineSlot
from papayapost_node.http.progress_timer import ProgressTimer

if TYPE_CHECKING:
    from papayapost_node.http.server import StreamingServer

__all__ = ["ServerConnection"]

_WRITE_BUFFER_BYTES = 64 << 10
_LINGER_S = 1.0
"""Time that the caller has to close its side of a closing connection."""

_DRAIN_IDLE_S = 2.0
"""Time until an idle connection is closed while the server drains."""

_REQUEST_TIMEOUT = 408


class ServerConnection(asyncio.BufferedProtocol):
    """Parses requests and sends their answers in the same order.

    A caller may pipeline requests: send the next before it has the answer to
    the last. Safe requests (GET and HEAD) are then served concurrently. A
    request with another method starts when all answers before it are sent.
    """

    def __init__(self, server: StreamingServer):
        self._server = server
        self._limits = server.limits
        self._pipeline = Pipeline(server.limits.head_bytes, server.limits.pipelined)
        self._deferred_head: h11.Request | None = None
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._is_processing = False
        self._is_closing = False
        self._is_writable = True
        self._timer = ProgressTimer(server.limits, self._on_timeout)

    def connection_made(self, transport) -> None:
        """Set up the connection, or close it if the server has too many."""
        self._transport = transport
        if not self._server.admit(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._timer.start(transport)

    def connection_lost(self, error) -> None:
        """Report every incomplete exchange to the handler."""
        self._transport = None
        self._timer.close()
        self._server.remove(self)
        self._drop_exchanges()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its writing side."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that the event loop has read into the buffer."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_closing:
            return
        last = self._pipeline.last
        if last.exchange is None and not last.is_answered:
            if not self._timer.received_bytes:
                self._timer.expect_head()
        elif last.is_body_ended and last.waiting_bytes:
            # A further request has arrived but must not start yet. If more
            # bytes were read, a caller could fill this node's memory.
            self._pause_reading()
        self._timer.received_bytes += len(data)
        last.http.receive_data(data)
        self._server.batch.begin()
        try:
            self._process_events()
        finally:
            self._server.batch.end()

    def pause_writing(self) -> None:
        """Record a full write buffer, and require progress of the answer."""
        self._is_writable = False
        exchange = self._pipeline.first.exchange
        if exchange is not None:
            exchange.is_writable = False
        self._timer.expect_body()

    def resume_writing(self) -> None:
        """Record that the write buffer has room, and notify the handler."""
        self._is_writable = True
        exchange = self._pipeline.first.exchange
        if exchange is not None:
            exchange.is_writable = True
            self._server.handler.answer_writable(exchange)

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
        slot = self._pipeline.slot_of(exchange)
        if slot is None:
            return
        if self._closes_after(slot):
            headers = [*headers, (b"connection", b"close")]
        try:
            encoded = slot.framing.head(status, headers)
            encoded += slot.framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            self.cut_short(exchange)
            return
        self._write(slot, encoded, is_ended)

    def send(
        self, exchange: ServerExchange, data: bytes, is_ended: bool, trailers: Headers
    ) -> None:
        """Send a further piece of an answer's body."""
        slot = self._pipeline.slot_of(exchange)
        if slot is None:
            return
        try:
            encoded = slot.framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            # The body is longer or shorter than its Content-Length. The
            # caller must see that the answer is incomplete.
            self.cut_short(exchange)
            return
        self._write(slot, encoded, is_ended)

    def send_informational(
        self, exchange: ServerExchange, status: int, headers: Headers
    ) -> None:
        """Send an informational (1xx) answer; HTTP/1.0 callers get none."""
        slot = self._pipeline.slot_of(exchange)
        if slot is not None and self._transport and slot.framing.can_send_informational:
            self._write(slot, slot.framing.informational(status, headers), False)

    def cut_short(self, exchange: ServerExchange) -> None:
        """End an incomplete answer by closing the connection.

        The caller sees that it is incomplete because its Content-Length is
        not reached, its last chunk is missing, or the connection is reset.
        """
        slot = self._pipeline.slot_of(exchange)
        if slot is None or self._transport is None:
            return
        slot.exchange = None
        if slot is not self._pipeline.first:
            # The incomplete answer must wait for the answers before it. The
            # connection is closed when it has been sent.
            slot.is_answered = True
            slot.is_safe = False
        elif slot.framing.is_delimited_by_close:
            # A normal close would end this answer as complete, so only a
            # reset shows the caller that it is incomplete.
            self._transport.abort()
        else:
            self._close_gracefully()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Stop reading a request's body until `resume_body`."""
        last = self._pipeline.last
        if exchange is last.exchange and not last.is_body_ended:
            self._pause_reading()

    def resume_body(self, exchange: ServerExchange) -> None:
        """Continue to read a request's body; send 100 Continue if expected."""
        if exchange is not self._pipeline.last.exchange or self._transport is None:
            return
        if exchange.waits_for_continue:
            exchange.waits_for_continue = False
            self.send_informational(exchange, 100, NO_HEADERS)
        self._timer.expect_body()
        self._resume_reading()

    def drain(self) -> None:
        """Close an idle connection after `_DRAIN_IDLE_S`.

        An immediate close could lose a request that the caller has just sent.
        A busy connection is closed after its current answer, since the server
        is draining.
        """
        if self._is_idle:
            self._timer.expect_within(_DRAIN_IDLE_S)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive."""
        if self._is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection once the write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _is_idle(self) -> bool:
        return self._pipeline.is_idle and not self._timer.received_bytes

    def _closes_after(self, slot: PipelineSlot) -> bool:
        """Return whether the connection closes after a slot's answer.

        It does while the server drains, but not if requests behind this one
        have arrived: they may have been started and must be answered too.
        """
        is_last = slot is self._pipeline.last and not slot.waiting_bytes
        return self._server.is_draining and is_last

    def _write(self, slot: PipelineSlot, encoded: bytes, is_ended: bool) -> None:
        if slot is not self._pipeline.first:
            slot.unsent_output += encoded
            if is_ended:
                slot.exchange = None
                slot.is_answered = True
            return
        self._write_bytes(encoded)
        if is_ended:
            self._end_exchange(slot)

    def _write_bytes(self, encoded: bytes) -> None:
        self._timer.count_sent(len(encoded))
        if self._transport is not None and encoded:
            self._transport.write(encoded)

    def _end_exchange(self, slot: PipelineSlot) -> None:
        slot.exchange = None
        if slot.http.our_state is not h11.DONE or not slot.is_body_ended:
            self._close_gracefully()
        elif len(self._pipeline) > 1:
            self._send_unsent_output(self._pipeline.advance())
        elif self._server.is_draining and not slot.waiting_bytes:
            self.close()
        else:
            self._expect_next_request(slot)

    def _send_unsent_output(self, slot: PipelineSlot) -> None:
        """Send the held answer of a slot that has become the first."""
        self._write_bytes(bytes(slot.unsent_output))
        slot.unsent_output.clear()
        exchange = slot.exchange
        if slot.is_answered:
            self._end_exchange(slot)
        elif self._deferred_head is not None and slot is self._pipeline.last:
            head, self._deferred_head = self._deferred_head, None
            if self._begin_request(head):
                self._resume_reading()
        elif exchange is not None:
            exchange.is_writable = self._is_writable
            if exchange.is_writable:
                self._server.handler.answer_writable(exchange)

    def _expect_next_request(self, slot: PipelineSlot) -> None:
        waiting_bytes = slot.waiting_bytes
        slot.reset()
        # Bytes that have arrived already are the start of a pipelined request.
        self._timer.received_bytes = waiting_bytes
        if waiting_bytes:
            self._timer.expect_head()
            self._resume_reading()
        else:
            self._timer.expect_request()
            if self._is_paused:
                self._resume_reading()

    def _close_gracefully(self) -> None:
        """Close the writing side now, and the connection after a short wait.

        If the connection were closed while the caller still sends, a reset
        could reach the caller before the answer does.
        """
        self._drop_exchanges()
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof() and not transport.is_closing():
            try:
                transport.write_eof()
            except OSError:
                # The caller has reset the connection; nobody reads the rest.
                transport.abort()
                return
        self._is_closing = self._is_paused = True
        if transport.get_write_buffer_size():
            self._timer.expect_body()
        else:
            self._timer.expect_within(_LINGER_S)

    def _close_after_output(self) -> None:
        """Close an idle connection, whose caller may still read an answer."""
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size():
            self._is_closing = self._is_paused = True
            self._timer.expect_body()
            transport.close()
        else:
            transport.abort()

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        if not self._is_processing:
            self._process_events()

    def _process_events(self) -> None:
        self._is_processing = True
        try:
            while not self._is_paused:
                if not self._handle_event(self._pipeline.last.http.next_event()):
                    break
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
        finally:
            self._is_processing = False

    def _handle_event(self, event) -> bool:
        handler, slot = self._server.handler, self._pipeline.last
        if type(event) is h11.Request:
            return self._handle_head(event)
        if type(event) is h11.Data:
            if slot.exchange is not None:
                handler.body_received(slot.exchange, bytes(event.data))
            return True
        if type(event) is h11.EndOfMessage:
            slot.is_body_ended = True
            if self._is_writable:
                self._timer.clear()
            else:
                self._timer.expect_body()
            exchange = slot.exchange
            if exchange is not None:
                handler.body_ended(exchange, list(event.headers))
            is_pending = slot is self._pipeline.last and slot.exchange is exchange
            if is_pending and slot.waiting_bytes:
                return self._pipeline.open_next()
            return exchange is None
        if type(event) is h11.PAUSED and slot.exchange is not None:
            return bool(slot.waiting_bytes) and self._pipeline.open_next()
        if type(event) is h11.ConnectionClosed:
            self.close()
        return False

    def _handle_head(self, head: h11.Request) -> bool:
        is_first = self._pipeline.last is self._pipeline.first
        if is_first or head.method in SAFE_METHODS:
            return self._begin_request(head)
        # A request that is not safe must not be started before the answers
        # to the earlier requests are sent.
        self._deferred_head = head
        self._pause_reading()
        return False

    def _begin_request(self, head: h11.Request) -> bool:
        status = refusal_status(head, self._limits.head_bytes)
        if status is not None:
            self._refuse(status)
            return False
        slot = self._pipeline.last
        waits_for_continue = slot.http.they_are_waiting_for_100_continue
        exchange = ServerExchange(self, head, waits_for_continue)
        slot.begin(exchange, head.method)
        # The answer cannot be sent before the earlier ones, or while the
        # caller has not read them.
        exchange.is_writable = self._is_writable and slot is self._pipeline.first
        if exchange.body_bytes != 0:
            self._timer.expect_body()
        self._server.handler.request_begun(exchange)
        return True

    def _drop_exchanges(self) -> None:
        for exchange in self._pipeline.drop_all():
            self._server.handler.caller_gone(exchange)

    def _refuse(self, status: int) -> None:
        """Answer an invalid or late request with a status, and close.

        No status is sent if the head of the answer has been sent already.
        """
        slot = self._pipeline.last
        exchange, slot.exchange = slot.exchange, None
        if exchange is not None:
            self._server.handler.caller_gone(exchange)
        if self._transport is None:
            return
        refusal = slot.framing.refusal(status) if slot.framing.can_refuse else b""
        if slot is self._pipeline.first:
            self._transport.write(refusal)
            self._close_gracefully()
        else:
            slot.unsent_output += refusal
            slot.is_answered = True
            self._pause_reading()

    def _on_timeout(self) -> None:
        exchange = self._pipeline.first.exchange
        if self._is_closing:
            self._expire_closing()
        elif exchange is None or self._pipeline.last.exchange is None:
            self._expire_idle()
        elif not exchange.is_writable or self._waits_for_body():
            if self._timer.is_progress_sufficient():
                self._timer.expect_body()
            elif exchange.is_writable:
                self._refuse(_REQUEST_TIMEOUT)
            else:
                self.abort()

    def _waits_for_body(self) -> bool:
        return not self._pipeline.last.is_body_ended and not self._is_paused

    def _expire_closing(self) -> None:
        if self._timer.is_progress_sufficient():
            self._timer.expect_body()
        else:
            self.abort()

    def _expire_idle(self) -> None:
        is_answered = self._pipeline.last.http.our_state is not h11.IDLE
        if is_answered or not self._timer.received_bytes:
            self._close_after_output()
        else:
            self._refuse(_REQUEST_TIMEOUT)
