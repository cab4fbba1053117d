"""One caller's connection: requests in, answers out, both streamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from papayapost_node.http.exchange import NO_HEADERS, ServerExchange
from papayapost_node.http.framing import AnswerFraming
from papayapost_node.http.heads import refusal_status
from papayapost_node.http.messages import Headers
from papayapost_node.http.pace import Pace

if TYPE_CHECKING:
    from papayapost_node.http.server import StreamingServer

__all__ = ["ServerConnection"]

_WRITE_BUFFER_BYTES = 64 << 10
_LINGER_S = 1.0
_DRAIN_IDLE_S = 2.0
_REQUEST_TIMEOUT = 408


class ServerConnection(asyncio.BufferedProtocol):
    """Parses requests one after the other and writes their answers."""

    def __init__(self, server: StreamingServer):
        self._server = server
        self._limits = server.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._framing = AnswerFraming(self._http)
        self._transport: asyncio.Transport | None = None
        self._exchange: ServerExchange | None = None
        self._is_paused = False
        self._is_pumping = False
        self._is_body_over = True
        self._is_closing = False
        self._is_writable = True
        self._pace = Pace(server.limits, self._on_late)

    def connection_made(self, transport) -> None:
        """Take the connection, unless there are too many."""
        self._transport = transport
        if not self._server.admit(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._pace.connected(transport)

    def connection_lost(self, error) -> None:
        """Tell the handler if its exchange is not over."""
        self._transport = None
        self._pace.close()
        self._server.forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._server.handler.caller_gone(exchange)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as one whose caller has gone."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the loop writes what it reads."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what the loop has read."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._is_closing:
            return
        if self._exchange is None:
            if not self._pace.received_bytes:
                self._pace.expect_head()
        elif self._is_body_over and self._http.trailing_data[0]:
            # A pipelined request waits for this answer; reading further
            # would let a caller fill this node's memory.
            self._pause_reading()
        self._pace.received_bytes += len(data)
        self._http.receive_data(data)
        self._server.batch.begin()
        try:
            self._pump()
        finally:
            self._server.batch.end()

    def pause_writing(self) -> None:
        """Note that the caller falls behind."""
        self._is_writable = False
        if self._exchange is not None:
            self._exchange.is_writable = False
        self._pace.expect_body()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._is_writable = True
        exchange = self._exchange
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
        """Send an answer's head with what there is of its body."""
        if exchange is not self._exchange:
            return
        if self._server.is_draining:
            headers = [*headers, (b"connection", b"close")]
        try:
            out = self._framing.head(status, headers)
            out += self._framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            self.cut_short(exchange)
            return
        self._write(out, is_ended)

    def send(
        self, exchange: ServerExchange, data: bytes, is_ended: bool, trailers: Headers
    ) -> None:
        """Send a further piece of an answer's body."""
        if exchange is not self._exchange:
            return
        try:
            out = self._framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            # More or less body than the head promised: the caller must not
            # take it for whole.
            self.cut_short(exchange)
            return
        self._write(out, is_ended)

    def inform(self, exchange: ServerExchange, status: int, headers: Headers) -> None:
        """Send an informational answer, if the caller knows of such."""
        is_current = exchange is self._exchange and self._transport is not None
        if is_current and self._framing.can_inform:
            self._write(self._framing.informational(status, headers), False)

    def cut_short(self, exchange: ServerExchange) -> None:
        """Close before the promised length or the last chunk."""
        if exchange is not self._exchange or self._transport is None:
            return
        self._exchange = None
        if self._framing.is_unframed:
            # Only a reset tells this caller that more was to come.
            self._transport.abort()
        else:
            self._close_soon()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Take no more of a request's body for now."""
        if exchange is self._exchange and not self._is_body_over:
            self._pause_reading()

    def resume_body(self, exchange: ServerExchange) -> None:
        """Take more of a request's body, and ask for it if need be."""
        if exchange is not self._exchange or self._transport is None:
            return
        if exchange.waits_for_continue:
            exchange.waits_for_continue = False
            self.inform(exchange, 100, NO_HEADERS)
        self._pace.expect_body()
        self._resume_reading()

    def drain(self) -> None:
        """Close soon if idle, else after the current answer.

        A request that is on its way to an idle connection would be cut by a
        close at once.
        """
        if self._exchange is None and not self._pace.received_bytes:
            self._pace.expect_within(_DRAIN_IDLE_S)

    def close(self) -> None:
        """Close once what is written has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, out: bytes, is_ended: bool) -> None:
        self._pace.sent(len(out))
        if self._transport is not None and out:
            self._transport.write(out)
        if is_ended:
            self._end_exchange()

    def _end_exchange(self) -> None:
        self._exchange = None
        if self._http.our_state is not h11.DONE or not self._is_body_over:
            self._close_soon()
            return
        if self._server.is_draining:
            self.close()
            return
        self._http.start_next_cycle()
        # Bytes that already wait are the head of a pipelined request.
        self._pace.received_bytes = len(self._http.trailing_data[0])
        if self._pace.received_bytes:
            self._pace.expect_head()
            self._resume_reading()
        else:
            self._pace.expect_request()
            if self._is_paused:
                self._resume_reading()

    def _close_soon(self) -> None:
        """Close for writing first, so that no reset overtakes the answer."""
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        self._is_closing = self._is_paused = True
        if transport.get_write_buffer_size():
            self._pace.expect_body()
        else:
            self._pace.expect_within(_LINGER_S)

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        if not self._is_pumping:
            self._pump()

    def _pump(self) -> None:
        self._is_pumping = True
        try:
            while not self._is_paused and self._handle(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
        finally:
            self._is_pumping = False

    def _handle(self, event) -> bool:
        handler = self._server.handler
        if type(event) is h11.Request:
            return self._begin_request(event)
        if type(event) is h11.Data:
            if self._exchange is not None:
                handler.body_received(self._exchange, bytes(event.data))
            return True
        if type(event) is h11.EndOfMessage:
            self._is_body_over = True
            if self._is_writable:
                self._pace.expect_nothing()
            else:
                self._pace.expect_body()
            if self._exchange is not None:
                handler.body_ended(self._exchange, list(event.headers))
            # A pipelined request waits for this one's answer.
            return self._exchange is None
        if type(event) is h11.ConnectionClosed:
            self.close()
        return False

    def _begin_request(self, head: h11.Request) -> bool:
        status = refusal_status(head, self._limits.head_bytes)
        if status is not None:
            self._refuse(status)
            return False
        waits = self._http.they_are_waiting_for_100_continue
        self._is_body_over = False
        self._exchange = ServerExchange(self, head, waits)
        # The caller may not have read the answer before this one yet.
        self._exchange.is_writable = self._is_writable
        if self._exchange.body_bytes != 0:
            self._pace.expect_body()
        self._server.handler.request_begun(self._exchange)
        return True

    def _refuse(self, status: int) -> None:
        """Refuse what is no proper request and close."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._server.handler.caller_gone(exchange)
        if self._transport is None:
            return
        if self._framing.can_refuse:
            self._transport.write(self._framing.refusal(status))
        self._close_soon()

    def _on_late(self) -> None:
        exchange = self._exchange
        if self._is_closing:
            self._expire_closing()
        elif exchange is None:
            self._expire_idle()
        elif not exchange.is_writable or self._waits_for_body():
            if self._pace.is_kept():
                self._pace.expect_body()
            elif exchange.is_writable:
                self._refuse(_REQUEST_TIMEOUT)
            else:
                self.abort()

    def _waits_for_body(self) -> bool:
        return not self._is_body_over and not self._is_paused

    def _expire_closing(self) -> None:
        if self._pace.is_kept():
            self._pace.expect_body()
        else:
            self.abort()

    def _expire_idle(self) -> None:
        is_answered = self._http.our_state is not h11.IDLE
        if is_answered or not self._pace.received_bytes:
            self.abort()
        else:
            self._refuse(_REQUEST_TIMEOUT)
