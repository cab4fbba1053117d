"""A caller's connection at an HTTP server, with streamed bodies."""

import asyncio
from collections.abc import Hashable

import h11

from papayapost_node.http.answer_writer import AnswerWriter
from papayapost_node.http.caller_socket import CallerSocket
from papayapost_node.http.connection_host import ConnectionHost, HostedConnection
from papayapost_node.http.held_bytes import HeldRow, Holder
from papayapost_node.http.limit_counts import HttpLimit
from papayapost_node.http.pipeline import Pipeline
from papayapost_node.http.turns import TurnTaker

__all__ = ["ServerConnection"]

_SMALL_READ_BYTES = 4 << 10
"""Size of a read while the connections of the process hold much."""

_UNCOUNTED_BYTES = 6 << 10
"""What a connection may hold without being counted: the head of an ordinary
request. It is bounded by the number of connections."""

_DRAIN_IDLE_S = 2.0
"""Time until an idle connection is closed while the server drains."""

_REQUEST_TIMEOUT = 408
_SERVICE_UNAVAILABLE = 503


class ServerConnection(asyncio.BufferedProtocol, HostedConnection, TurnTaker, Holder):
    """Parses requests and sends their answers in the same order.

    A caller may pipeline requests: send the next before it has the answer to
    the last. Safe requests (GET and HEAD) are then served concurrently. A
    request with another method starts when all answers before it are sent. No
    further request starts while the caller does not read its answers.
    """

    def __init__(self, host: ConnectionHost):
        self._host = host
        self._pipeline = Pipeline(host.limits.head_bytes, host.limits.pipelined)
        self._socket = CallerSocket(host.limits, self._on_timeout)
        self._timer = self._socket.timer
        self._writer = AnswerWriter(
            host, self._pipeline, self._socket, self._request_turn, self._count_held
        )
        self._reader = self._writer.reader
        self._held_row: HeldRow | None = None

    @property
    def turn_group(self) -> Hashable:
        """The server, which takes turns with the other ones."""
        return self._host

    @property
    def wants_turn(self) -> bool:
        """Whether there is more to handle now."""
        return self._reader.wants_turn

    def connection_made(self, transport) -> None:
        """Set up the connection, or close it if the server takes no more."""
        if not self._host.admit(self):
            transport.abort()
            return
        self._held_row = self._host.shared.held.add(self)
        self._socket.open(transport)

    def connection_lost(self, error) -> None:
        """Report every incomplete exchange to the handler."""
        self._socket.lost()
        self._host.remove(self)
        self._writer.drop_exchanges()
        self._reader.drop()
        if self._held_row is not None:
            self._host.shared.held.remove(self._held_row)
            self._held_row = None

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its writing side."""
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        buffer = self._host.read_buffer
        return buffer[:_SMALL_READ_BYTES] if self._host.shared.held.is_short else buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that the event loop has read into the buffer."""
        self.data_received(bytes(self._host.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, now or when it is this connection's turn."""
        if self._socket.is_closing:
            self._socket.discard(len(data))
            return
        last = self._pipeline.last
        is_between = last.exchange is None and not last.is_answered
        if is_between and not self._timer.received_bytes and self._socket.is_writable:
            self._timer.expect_head()
        self._timer.received_bytes += len(data)
        self._reader.receive(data)
        self._host.batch.begin()
        try:
            self._request_turn()
        finally:
            self._host.batch.end()
        if self._reader.is_behind:
            # The turn was deferred, or the connection is blocked.
            self._reader.settle()
            self._count_held()

    def _request_turn(self) -> None:
        self._host.shared.turns.request(self)

    def take_turn(self, units: int) -> int:
        """Handle received bytes and return the units of work that took."""
        if not self._socket.is_open:
            return 0
        try:
            return self._reader.run(units)
        except Exception:
            # The handler failed; what is left cannot be handled either.
            self.abort()
            raise
        finally:
            self._count_held()

    def pause_writing(self) -> None:
        """Record a full write buffer, and require progress of the answer."""
        self._socket.is_writable = False
        exchange = self._pipeline.first.exchange
        if exchange is not None:
            exchange.is_writable = False
        self._timer.expect_body()
        self._count_held()

    def resume_writing(self) -> None:
        """Record that the write buffer has room, and notify the handler."""
        self._socket.is_writable = True
        exchange = self._pipeline.first.exchange
        if exchange is not None:
            exchange.is_writable = True
            self._host.handler.answer_writable(exchange)
        elif self._pipeline.is_idle and not self._socket.is_closing:
            self._writer.expect_request()
            if self._host.is_draining:
                self.drain()
        self._count_held()
        if self._reader.waiting_bytes:
            self._reader.resume()

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
        self._socket.close()

    def evict(self) -> bool:
        """Close the connection if no request is being served on it."""
        if not self._pipeline.is_idle:
            return False
        self.abort()
        return True

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self._socket.abort()

    def shed(self) -> None:
        """Give up what the connection holds, as the process holds too much."""
        self._host.limit_met(HttpLimit.HELD)
        first = self._pipeline.first
        is_single = first is self._pipeline.last and first.framing.can_refuse
        if is_single and self._socket.is_writable and not self._socket.is_closing:
            self._writer.refuse(_SERVICE_UNAVAILABLE)
        else:
            self.abort()
        self._reader.drop()

    @property
    def _is_idle(self) -> bool:
        return self._pipeline.is_idle and not self._timer.received_bytes

    def _count_held(self) -> None:
        row, caller_socket = self._held_row, self._socket
        if row is None:
            return
        size = self._reader.received_bytes + self._pipeline.held_bytes(
            self._host.handler.held_body_bytes
        )
        if not caller_socket.is_writable:
            size += caller_socket.unsent_bytes
        if size < _UNCOUNTED_BYTES:
            size = 0
        if size != row.size_bytes:
            self._host.shared.held.update(row, size)

    def _on_timeout(self) -> None:
        exchange = self._pipeline.first.exchange
        if self._socket.is_closing:
            self._expire_closing()
        elif exchange is None or self._pipeline.last.exchange is None:
            self._expire_idle()
        elif not exchange.is_writable or self._waits_for_body():
            # While received bytes wait for their turn, the node is slow.
            is_behind = exchange.is_writable and self._reader.is_behind
            if is_behind or self._timer.is_progress_sufficient():
                self._timer.expect_body()
            elif exchange.is_writable:
                self._writer.refuse(_REQUEST_TIMEOUT)
            else:
                self._expire_unread()

    def _waits_for_body(self) -> bool:
        is_ended = self._pipeline.last.is_body_ended
        return not is_ended and not self._socket.is_held_back

    def _expire_unread(self) -> None:
        """Close a connection whose caller does not read its answers."""
        if self._timer.is_progress_sufficient():
            self._timer.expect_body()
        else:
            self._host.limit_met(HttpLimit.PACE)
            self.abort()

    def _expire_unread_idle(self) -> None:
        """Close a connection whose last answer is not read, after a while."""
        if self._timer.is_progress_sufficient() and not self._host.is_draining:
            self._timer.expect_body()
        else:
            self._host.limit_met(HttpLimit.PACE)
            self._socket.close_after_output()

    def _expire_closing(self) -> None:
        if self._timer.is_progress_sufficient():
            self._timer.expect_body()
        else:
            self.abort()

    def _expire_idle(self) -> None:
        is_answered = self._pipeline.last.http.our_state is not h11.IDLE
        if not self._socket.is_writable:
            self._expire_unread_idle()
        elif is_answered or not self._timer.received_bytes:
            self._socket.close_after_output()
        elif self._reader.is_behind:
            self._timer.expect_head()
        else:
            self._writer.refuse(_REQUEST_TIMEOUT)
