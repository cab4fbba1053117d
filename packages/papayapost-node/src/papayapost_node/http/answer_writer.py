"""Writes the answers of a caller's connection in the order of its requests."""

from collections.abc import Callable

import h11

from papayapost_node.http.caller_socket import CallerSocket, PauseReason
from papayapost_node.http.connection_host import ConnectionHost
from papayapost_node.http.exchange import NO_HEADERS, ServerExchange
from papayapost_node.http.limit_counts import HttpLimit
from papayapost_node.http.messages import Headers
from papayapost_node.http.pipeline import Pipeline, PipelineSlot
from papayapost_node.http.request_reader import ReadingConnection, RequestReader

__all__ = ["AnswerWriter"]

_REQUEST_TIMEOUT = 408
_SERVICE_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset([_REQUEST_TIMEOUT, _SERVICE_UNAVAILABLE])
"""Statuses that promise that the request did not and will not run."""

_LIMIT_OF_STATUS = {
    _REQUEST_TIMEOUT: HttpLimit.PACE,
    413: HttpLimit.BODY,
    431: HttpLimit.HEAD,
}


class AnswerWriter(ReadingConnection):
    """Sends answers, and lets the next request begin after each of them.

    Parameters
    ----------
    request_turn
        Has received bytes handled, at once or in a later turn.
    count_held
        Counts again what the connection holds.

    Attributes
    ----------
    reader
        Parses the requests of the connection.
    """

    def __init__(
        self,
        host: ConnectionHost,
        pipeline: Pipeline,
        caller_socket: CallerSocket,
        request_turn: Callable[[], None],
        count_held: Callable[[], None],
    ):
        self._host = host
        self._pipeline = pipeline
        self._socket = caller_socket
        self._timer = caller_socket.timer
        self._request_turn = request_turn
        self._count_held = count_held
        self.reader = RequestReader(self, host, pipeline, caller_socket)

    def request_turn(self) -> None:
        """Have received bytes handled, at once or in a later turn."""
        self._request_turn()

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
        if slot is None or not self._socket.is_open:
            return
        if slot.framing.can_send_informational:
            self._write(slot, slot.framing.informational(status, headers), False)

    def cut_short(self, exchange: ServerExchange) -> None:
        """End an incomplete answer by closing the connection.

        The caller sees that it is incomplete because its Content-Length is
        not reached, its last chunk is missing, or the connection is reset.
        """
        slot = self._pipeline.slot_of(exchange)
        if slot is None or not self._socket.is_open:
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
            self._socket.abort()
        else:
            self.close_gracefully()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Stop reading a request's body until `resume_body`."""
        last = self._pipeline.last
        if exchange is last.exchange and not last.is_body_ended:
            self._socket.pause(PauseReason.BODY)

    def resume_body(self, exchange: ServerExchange) -> None:
        """Continue to read a request's body; send 100 Continue if expected."""
        if exchange is not self._pipeline.last.exchange or not self._socket.is_open:
            return
        if exchange.waits_for_continue:
            exchange.waits_for_continue = False
            self.send_informational(exchange, 100, NO_HEADERS)
        self._timer.expect_body()
        self._socket.resume(PauseReason.BODY)
        self.reader.resume()

    def close(self) -> None:
        """Close the connection once the write buffer is sent."""
        self._socket.close()

    def refuse(self, status: int) -> None:
        """Answer an invalid or late request with a status, and close.

        No status is sent if the head of the answer has been sent already, or
        if the status would promise that a request did not run that may have.
        """
        limit = _LIMIT_OF_STATUS.get(status)
        if limit is not None:
            self._host.limit_met(limit)
        slot = self._pipeline.last
        exchange, slot.exchange = slot.exchange, None
        if exchange is not None:
            self._host.handler.caller_gone(exchange)
        if not self._socket.is_open:
            return
        may_have_run = exchange is not None and exchange.may_have_run
        is_true = not (may_have_run and status in _NOT_RUN_STATUSES)
        refusal = b""
        if is_true and slot.framing.can_refuse:
            refusal = slot.framing.refusal(status)
        if slot is self._pipeline.first:
            self._socket.write(refusal)
            if slot.framing.is_delimited_by_close and not refusal:
                # A normal close would end the incomplete answer as complete.
                self._socket.abort()
            self.close_gracefully()
        else:
            slot.unsent_output += refusal
            slot.is_answered = True
            self._socket.pause(PauseReason.ORDER)

    def _closes_after(self, slot: PipelineSlot) -> bool:
        """Return whether the connection closes after a slot's answer.

        It does while the server drains, but not if requests behind this one
        have arrived: they may have been started and must be answered too.
        """
        if not self._host.is_draining:
            return False
        return slot is self._pipeline.last and not self.reader.waiting_bytes

    def _write(self, slot: PipelineSlot, encoded: bytes, is_ended: bool) -> None:
        if slot is not self._pipeline.first:
            slot.unsent_output += encoded
            if is_ended:
                slot.exchange = None
                slot.is_answered = True
            self._count_held()
            return
        self._socket.write(encoded)
        if is_ended:
            self._end_exchange(slot)
        elif not self._socket.is_writable:
            self._count_held()

    def _end_exchange(self, slot: PipelineSlot) -> None:
        slot.exchange = None
        if slot.http.our_state is not h11.DONE or not slot.is_body_ended:
            self.close_gracefully()
        elif len(self._pipeline) > 1:
            self._send_unsent_output(self._pipeline.advance())
        elif self._host.is_draining and not self.reader.waiting_bytes:
            self.close()
        else:
            self._expect_next_request(slot)

    def _send_unsent_output(self, slot: PipelineSlot) -> None:
        """Send the held answer of a slot that has become the first."""
        self._socket.write(bytes(slot.unsent_output))
        slot.unsent_output.clear()
        exchange = slot.exchange
        if slot.is_answered:
            self._end_exchange(slot)
        elif slot is self._pipeline.last and self.reader.begin_deferred():
            return
        elif exchange is not None:
            exchange.is_writable = self._socket.is_writable
            if exchange.is_writable:
                self._host.handler.answer_writable(exchange)

    def _expect_next_request(self, slot: PipelineSlot) -> None:
        slot.reset()
        self._socket.resume(PauseReason.BODY)
        waiting_bytes = self.expect_request()
        if self.reader.is_running:
            return
        if waiting_bytes:
            self.reader.resume()
        self._count_held()

    def expect_request(self) -> int:
        """Set the time limit of the next request, or of an unread answer.

        Returns the number of bytes that wait, as `RequestReader` does.

        Bytes that have arrived already are the start of a pipelined request.
        """
        waiting_bytes = self.reader.waiting_bytes
        self._timer.received_bytes = waiting_bytes
        if not self._socket.is_writable:
            self._timer.expect_body()
        elif waiting_bytes:
            self._timer.expect_head()
        else:
            self._timer.expect_request()
        return waiting_bytes

    def close_gracefully(self) -> None:
        """Close the writing side, and the connection after a short wait."""
        self.drop_exchanges()
        self._socket.close_gracefully()
        self.reader.drop()
        self._count_held()

    def drop_exchanges(self) -> None:
        """Report every incomplete exchange to the handler."""
        for exchange in self._pipeline.drop_all():
            self._host.handler.caller_gone(exchange)
