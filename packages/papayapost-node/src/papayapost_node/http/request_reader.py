"""Parses the requests of a caller's connection, a bounded part at a time."""

from abc import abstractmethod

import h11

from papayapost_node.http.caller_socket import CallerSocket, PauseReason
from papayapost_node.http.connection_host import ConnectionHost
from papayapost_node.http.exchange import AnswerChannel, ServerExchange
from papayapost_node.http.heads import head_bytes, refusal_status
from papayapost_node.http.pipeline import SAFE_METHODS, Pipeline, PipelineSlot

__all__ = ["ReadingConnection", "RequestReader"]

_HEAD_PIECE_BYTES = 4 << 10
_FIRST_BODY_BYTES = 16 << 10
"""Bytes of a body that are parsed in small pieces. What comes after them is
not kept by any handler for further attempts."""

_BODY_PIECE_BYTES = 64 << 10
_MAX_WAITING_BYTES = 16 << 10
"""Unhandled bytes above which a connection is not read. Below them, reading
goes on so that the close of a connection is noticed."""

_BYTES_PER_UNIT = 4 << 10
_FIELDS_PER_UNIT = 2
_CONTENT_TOO_LARGE = 413


class ReadingConnection(AnswerChannel):
    """A connection whose requests a `RequestReader` parses."""

    @abstractmethod
    def refuse(self, status: int) -> None:
        """Answer an invalid request with a status, and close."""

    @abstractmethod
    def request_turn(self) -> None:
        """Have `RequestReader.run` called, at once or in a later turn."""


class RequestReader:
    """Passes received bytes to the parser, and its requests to the handler.

    The parser gets the bytes in small pieces, so that no more of them are
    copied or parsed than a turn allows. Small pieces of a body are collected,
    as the handler may send a message for each piece that it gets.

    Attributes
    ----------
    is_running
        Whether the call comes from within `run`.
    wants_turn
        Whether the last turn ended before all that could be handled was.
    """

    def __init__(
        self,
        connection: ReadingConnection,
        host: ConnectionHost,
        pipeline: Pipeline,
        caller_socket: CallerSocket,
    ):
        self._connection = connection
        self._limits = host.limits
        self._handler = host.handler
        self._pipeline = pipeline
        self._socket = caller_socket
        self._received = bytearray()
        self._body = bytearray()
        self._deferred_head: h11.Request | None = None
        self._units = 0
        self.is_running = False
        self.wants_turn = False

    @property
    def waiting_bytes(self) -> int:
        """Bytes that arrived behind what was parsed; 0 if there are none."""
        waiting_bytes = len(self._received)
        return waiting_bytes or self._pipeline.last.waiting_bytes

    @property
    def received_bytes(self) -> int:
        """Number of bytes that the parser has not got yet."""
        return len(self._received)

    @property
    def is_behind(self) -> bool:
        """Whether the node, not the caller, delays the next request."""
        return bool(self._received) or self.wants_turn

    def receive(self, data: bytes) -> None:
        """Keep received bytes until `run`."""
        self._received += data

    def drop(self) -> None:
        """Discard the bytes that were not handled."""
        self._received.clear()
        self._body.clear()
        self.wants_turn = False

    def run(self, units: int) -> int:
        """Handle received bytes and return the units of work that took."""
        self._units = units
        self.is_running = True
        self.wants_turn = False
        try:
            is_blocked = not self._may_parse()
            last = self._pipeline.last
            if not is_blocked and not last.waiting_bytes and not last.is_waiting:
                self._feed(last)
            while not is_blocked and self._units > 0:
                is_blocked = not (self._may_parse() and self._read_next())
            self._pass_body()
            self.wants_turn = not is_blocked
        except h11.RemoteProtocolError as error:
            self._connection.refuse(error.error_status_hint)
        finally:
            self.is_running = False
        self.settle()
        return units - self._units

    def settle(self) -> None:
        """Pause or resume reading by the number of unhandled bytes."""
        if len(self._received) > _MAX_WAITING_BYTES:
            self._socket.pause(PauseReason.BACKLOG)
        elif self._socket.has_backlog:
            self._socket.resume(PauseReason.BACKLOG)

    def resume(self) -> None:
        """Go on after a reason against it has gone."""
        if not self.is_running:
            self._connection.request_turn()

    def begin_deferred(self) -> bool:
        """Begin a request that has waited for the answers before it.

        Returns False if there is none.
        """
        head, self._deferred_head = self._deferred_head, None
        if head is None:
            return False
        self._socket.resume(PauseReason.ORDER)
        if self._begin(head):
            self.resume()
        return True

    def _may_parse(self) -> bool:
        caller_socket = self._socket
        if caller_socket.is_held_back:
            return False
        # No further request begins while the caller does not read answers.
        return caller_socket.is_writable or self._pipeline.last.exchange is not None

    def _read_next(self) -> bool:
        """Handle the next event of the parser; return whether to go on."""
        slot = self._pipeline.last
        event = slot.http.next_event()
        if event is h11.NEED_DATA:
            return self._feed(slot)
        self._units -= 1
        if type(event) is h11.Data:
            self._collect(slot, event.data)
            return True
        self._pass_body()
        if type(event) is h11.Request:
            return self._handle_head(event)
        if type(event) is h11.EndOfMessage:
            return self._handle_end(slot, event)
        if event is h11.PAUSED and slot.exchange is not None:
            return self._open_next()
        if type(event) is h11.ConnectionClosed:
            self._connection.close()
        return False

    def _feed(self, slot: PipelineSlot) -> bool:
        """Pass the next piece to the parser; return False if there is none."""
        if not self._received:
            return False
        size = _piece_bytes(slot)
        slot.http.receive_data(bytes(self._received[:size]))
        del self._received[:size]
        return True

    def _collect(self, slot: PipelineSlot, data: bytes) -> None:
        size = len(data)
        self._units -= size // _BYTES_PER_UNIT
        slot.body_received_bytes += size
        if slot.exchange is None:
            return
        if slot.body_received_bytes > self._limits.body_bytes:
            self._body.clear()
            self._connection.refuse(_CONTENT_TOO_LARGE)
            return
        self._body += data
        if len(self._body) >= _FIRST_BODY_BYTES:
            self._pass_body()

    def _pass_body(self) -> None:
        if not self._body:
            return
        data = bytes(self._body)
        self._body.clear()
        exchange = self._pipeline.last.exchange
        if exchange is not None:
            self._handler.body_received(exchange, data)

    def _handle_head(self, head: h11.Request) -> bool:
        self._units -= len(head.headers) // _FIELDS_PER_UNIT
        is_first = self._pipeline.last is self._pipeline.first
        if is_first or head.method in SAFE_METHODS:
            return self._begin(head)
        # A request that is not safe must not be started before the answers
        # to the earlier requests are sent.
        self._deferred_head = head
        self._socket.pause(PauseReason.ORDER)
        return False

    def _begin(self, head: h11.Request) -> bool:
        size = head_bytes(head)
        status = refusal_status(head, size, self._limits.head_bytes)
        if status is not None:
            self._connection.refuse(status)
            return False
        slot = self._pipeline.last
        waits_for_continue = slot.http.they_are_waiting_for_100_continue
        exchange = ServerExchange(self._connection, head, waits_for_continue)
        slot.begin(exchange, head.method, size)
        if self._is_too_large(exchange.body_bytes):
            # The handler does not know the request yet.
            slot.exchange = None
            self._connection.refuse(_CONTENT_TOO_LARGE)
            return False
        # The answer cannot be sent before the earlier ones, or while the
        # caller has not read them.
        is_first = slot is self._pipeline.first
        exchange.is_writable = self._socket.is_writable and is_first
        if exchange.body_bytes != 0:
            self._socket.timer.expect_body()
        self._units -= self._handler.request_units
        self._handler.request_begun(exchange)
        return True

    def _is_too_large(self, body_bytes: int | None) -> bool:
        """Return whether a body is refused before any of it is read.

        Parameters
        ----------
        body_bytes
            Length of the body, or None if only its end will tell.
        """
        if body_bytes is None:
            return not self._limits.body_bytes
        return body_bytes > self._limits.body_bytes

    def _handle_end(self, slot: PipelineSlot, end: h11.EndOfMessage) -> bool:
        slot.is_body_ended = True
        if self._socket.is_writable:
            self._socket.timer.clear()
        else:
            self._socket.timer.expect_body()
        exchange = slot.exchange
        if exchange is None:
            return True
        self._handler.body_ended(exchange, list(end.headers))
        is_pending = slot is self._pipeline.last and slot.exchange is exchange
        return self._open_next() if is_pending else self.waiting_bytes > 0

    def _open_next(self) -> bool:
        """Open a slot for the next request if its bytes have arrived."""
        may_begin = self._socket.is_writable and self.waiting_bytes > 0
        return may_begin and self._pipeline.open_next()


def _piece_bytes(slot: PipelineSlot) -> int:
    """Return how many bytes the parser may get at once.

    Nothing behind the end of a body of known length is passed on with it.
    """
    exchange = slot.exchange
    if exchange is None or slot.is_body_ended:
        return _HEAD_PIECE_BYTES
    received = slot.body_received_bytes
    size = _FIRST_BODY_BYTES if received < _FIRST_BODY_BYTES else _BODY_PIECE_BYTES
    if exchange.body_bytes is None:
        return size
    return max(1, min(size, exchange.body_bytes - received))
