"""One caller's connection: requests in, answers out, both streamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from papayapost_node.http.exchange import NO_HEADERS, ServerExchange
from papayapost_node.http.heads import refusal_status
from papayapost_node.http.lanes import SAFE_METHODS, Lane, Lanes
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
    """Parses requests and writes their answers in the same order.

    A caller may send further safe requests before it has its answer; they are
    served beside each other. Any other request waits for its turn.
    """

    def __init__(self, server: StreamingServer):
        self._server = server
        self._limits = server.limits
        self._lanes = Lanes(server.limits.head_bytes, server.limits.pipelined)
        self._held_head: h11.Request | None = None
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._is_pumping = False
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
        self._drop_exchanges()

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
        last = self._lanes.last
        if last.exchange is None and not last.is_answered:
            if not self._pace.received_bytes:
                self._pace.expect_head()
        elif last.is_body_over and last.waiting_bytes:
            # A pipelined request waits for an answer; reading further would
            # let a caller fill this node's memory.
            self._pause_reading()
        self._pace.received_bytes += len(data)
        last.http.receive_data(data)
        self._server.batch.begin()
        try:
            self._pump()
        finally:
            self._server.batch.end()

    def pause_writing(self) -> None:
        """Note that the caller falls behind."""
        self._is_writable = False
        exchange = self._lanes.first.exchange
        if exchange is not None:
            exchange.is_writable = False
        self._pace.expect_body()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._is_writable = True
        exchange = self._lanes.first.exchange
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
        lane = self._lanes.of(exchange)
        if lane is None:
            return
        if self._is_last_answer(lane):
            headers = [*headers, (b"connection", b"close")]
        try:
            out = lane.framing.head(status, headers)
            out += lane.framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            self.cut_short(exchange)
            return
        self._write(lane, out, is_ended)

    def send(
        self, exchange: ServerExchange, data: bytes, is_ended: bool, trailers: Headers
    ) -> None:
        """Send a further piece of an answer's body."""
        lane = self._lanes.of(exchange)
        if lane is None:
            return
        try:
            out = lane.framing.body(data, is_ended, trailers)
        except h11.LocalProtocolError:
            # More or less body than the head promised: the caller must not
            # take it for whole.
            self.cut_short(exchange)
            return
        self._write(lane, out, is_ended)

    def inform(self, exchange: ServerExchange, status: int, headers: Headers) -> None:
        """Send an informational answer, if the caller knows of such."""
        lane = self._lanes.of(exchange)
        if lane is not None and self._transport and lane.framing.can_inform:
            self._write(lane, lane.framing.informational(status, headers), False)

    def cut_short(self, exchange: ServerExchange) -> None:
        """Close before the promised length or the last chunk."""
        lane = self._lanes.of(exchange)
        if lane is None or self._transport is None:
            return
        lane.exchange = None
        if lane is not self._lanes.first:
            # What it has written stays behind the answers before it; the
            # connection ends where it breaks off.
            lane.is_answered = True
            lane.is_safe = False
        elif lane.framing.is_unframed:
            # Only a reset tells this caller that more was to come.
            self._transport.abort()
        else:
            self._close_soon()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Take no more of a request's body for now."""
        last = self._lanes.last
        if exchange is last.exchange and not last.is_body_over:
            self._pause_reading()

    def resume_body(self, exchange: ServerExchange) -> None:
        """Take more of a request's body, and ask for it if need be."""
        if exchange is not self._lanes.last.exchange or self._transport is None:
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
        if self._is_idle:
            self._pace.expect_within(_DRAIN_IDLE_S)

    def close_if_idle(self) -> None:
        """Close unless a request has begun to arrive."""
        if self._is_idle:
            self.close()

    def close(self) -> None:
        """Close once what is written has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _is_idle(self) -> bool:
        return self._lanes.is_idle and not self._pace.received_bytes

    def _is_last_answer(self, lane: Lane) -> bool:
        """Return whether the connection is to end with a lane's answer.

        Requests behind it would be lost if they had been passed on already.
        """
        is_alone = lane is self._lanes.last and not lane.waiting_bytes
        return self._server.is_draining and is_alone

    def _write(self, lane: Lane, out: bytes, is_ended: bool) -> None:
        if lane is not self._lanes.first:
            lane.out += out
            if is_ended:
                lane.exchange = None
                lane.is_answered = True
            return
        self._send_out(out)
        if is_ended:
            self._end_exchange(lane)

    def _send_out(self, out: bytes) -> None:
        self._pace.sent(len(out))
        if self._transport is not None and out:
            self._transport.write(out)

    def _end_exchange(self, lane: Lane) -> None:
        lane.exchange = None
        if lane.http.our_state is not h11.DONE or not lane.is_body_over:
            self._close_soon()
        elif len(self._lanes) > 1:
            self._take_turn(self._lanes.advance())
        elif self._server.is_draining and not lane.waiting_bytes:
            self.close()
        else:
            self._expect_next(lane)

    def _take_turn(self, lane: Lane) -> None:
        """Let a lane write whose answer had to wait."""
        self._send_out(bytes(lane.out))
        lane.out.clear()
        exchange = lane.exchange
        if lane.is_answered:
            self._end_exchange(lane)
        elif self._held_head is not None and lane is self._lanes.last:
            head, self._held_head = self._held_head, None
            if self._begin_request(head):
                self._resume_reading()
        elif exchange is not None:
            exchange.is_writable = self._is_writable
            if exchange.is_writable:
                self._server.handler.answer_writable(exchange)

    def _expect_next(self, lane: Lane) -> None:
        waiting_bytes = lane.waiting_bytes
        lane.renew()
        # Bytes that already wait are the head of a pipelined request.
        self._pace.received_bytes = waiting_bytes
        if waiting_bytes:
            self._pace.expect_head()
            self._resume_reading()
        else:
            self._pace.expect_request()
            if self._is_paused:
                self._resume_reading()

    def _close_soon(self) -> None:
        """Close for writing first, so that no reset overtakes the answer."""
        self._drop_exchanges()
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
            while not self._is_paused:
                if not self._handle(self._lanes.last.http.next_event()):
                    break
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)
        finally:
            self._is_pumping = False

    def _handle(self, event) -> bool:
        handler, lane = self._server.handler, self._lanes.last
        if type(event) is h11.Request:
            return self._take_head(event)
        if type(event) is h11.Data:
            if lane.exchange is not None:
                handler.body_received(lane.exchange, bytes(event.data))
            return True
        if type(event) is h11.EndOfMessage:
            lane.is_body_over = True
            if self._is_writable:
                self._pace.expect_nothing()
            else:
                self._pace.expect_body()
            exchange = lane.exchange
            if exchange is not None:
                handler.body_ended(exchange, list(event.headers))
            is_pending = lane is self._lanes.last and lane.exchange is exchange
            if is_pending and lane.waiting_bytes:
                return self._lanes.open_next()
            return exchange is None
        if type(event) is h11.PAUSED and lane.exchange is not None:
            return bool(lane.waiting_bytes) and self._lanes.open_next()
        if type(event) is h11.ConnectionClosed:
            self.close()
        return False

    def _take_head(self, head: h11.Request) -> bool:
        is_first = self._lanes.last is self._lanes.first
        if is_first or head.method in SAFE_METHODS:
            return self._begin_request(head)
        # Only what may be repeated is begun before its turn.
        self._held_head = head
        self._pause_reading()
        return False

    def _begin_request(self, head: h11.Request) -> bool:
        status = refusal_status(head, self._limits.head_bytes)
        if status is not None:
            self._refuse(status)
            return False
        lane = self._lanes.last
        waits = lane.http.they_are_waiting_for_100_continue
        exchange = ServerExchange(self, head, waits)
        lane.begin(exchange, head.method)
        # The caller may not have read the answers before this one yet.
        exchange.is_writable = self._is_writable and lane is self._lanes.first
        if exchange.body_bytes != 0:
            self._pace.expect_body()
        self._server.handler.request_begun(exchange)
        return True

    def _drop_exchanges(self) -> None:
        for exchange in self._lanes.drop_all():
            self._server.handler.caller_gone(exchange)

    def _refuse(self, status: int) -> None:
        """Refuse what is no proper request and close."""
        lane = self._lanes.last
        exchange, lane.exchange = lane.exchange, None
        if exchange is not None:
            self._server.handler.caller_gone(exchange)
        if self._transport is None:
            return
        refusal = lane.framing.refusal(status) if lane.framing.can_refuse else b""
        if lane is self._lanes.first:
            self._transport.write(refusal)
            self._close_soon()
        else:
            lane.out += refusal
            lane.is_answered = True
            self._pause_reading()

    def _on_late(self) -> None:
        exchange = self._lanes.first.exchange
        if self._is_closing:
            self._expire_closing()
        elif exchange is None or self._lanes.last.exchange is None:
            self._expire_idle()
        elif not exchange.is_writable or self._waits_for_body():
            if self._pace.is_kept():
                self._pace.expect_body()
            elif exchange.is_writable:
                self._refuse(_REQUEST_TIMEOUT)
            else:
                self.abort()

    def _waits_for_body(self) -> bool:
        return not self._lanes.last.is_body_over and not self._is_paused

    def _expire_closing(self) -> None:
        if self._pace.is_kept():
            self._pace.expect_body()
        else:
            self.abort()

    def _expire_idle(self) -> None:
        is_answered = self._lanes.last.http.our_state is not h11.IDLE
        if is_answered or not self._pace.received_bytes:
            self.abort()
        else:
            self._refuse(_REQUEST_TIMEOUT)
