"""Runs a call to the backend server and sends the answer to the entry node."""

import asyncio

from papayapost.ids import Micros, RequestName
from papayapost.traffic import (
    AnswerBlocked,
    AnswerUnblocked,
    BackendCallBegun,
    BackendCallEnded,
)
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.exchange.answer_output import AnswerOutput
from papayapost_node.exchange.body_sender import MAX_PART_BYTES
from papayapost_node.exchange.dialect import AnswerVerdict, BackendTerms
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.request_input import RequestInput
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.unsent_answers import UnsentAnswer
from papayapost_node.http import (
    AnswerReading,
    AnswerSink,
    BackendConnection,
    Headers,
    content_length,
    forwardable,
    framing_headers,
)
from papayapost_node.wire import InterimAnswer, RequestPart

__all__ = ["BackendCall"]

_STALL_TIMEOUT_S = 30.0
"""Longest time without progress of a body in either direction."""

_ANSWER_MARGIN_S = 0.03
"""Time after the deadline in which an answer is still accepted.

A backend server that answers 504 at the deadline needs a moment to send it.
"""

_CONTINUE_STATUS = 100

_MAX_REFUSED = 64
"""Refused requests after which a connection is closed, to forget them."""


class BackendCall(AnswerSink, UnsentAnswer):
    """Runs one admitted request on a connection to the backend server.

    The request's slot becomes free when the backend server has completed its
    answer. Parts of the answer for which the entry node has not granted
    credit yet are kept until it grants credit, or until the stall timeout.

    An answer of at most `OwnerServices.hold_bytes` is held until it is whole
    and only then sent to the entry node. If such an answer breaks off, no part
    of it has been sent, and the entry node can make another attempt.

    Parameters
    ----------
    owned
        The request that the entry node offered.
    budget_us
        Time until the backend server must have answered, in microseconds.
    services
        Functions and settings that all calls of this node share.
    """

    def __init__(self, owned: OwnedRequest, budget_us: Micros, services: OwnerServices):
        self._owned = owned
        self._services = services
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._deadline_s = loop.time() + budget_us / 1e6
        self._connection: BackendConnection | None = None
        self._output = AnswerOutput(
            owned, services, self._pause, self._resume, self._link_has_room
        )
        self._input = RequestInput(owned, services)
        self._stall_deadline: DeadlineTimer | None = None
        self._status: int | None = None
        self._headers: Headers = []
        self._is_running = False
        self._is_finished = False
        self._is_held = False
        self._is_blocked = False
        self._verdict = AnswerVerdict.ANSWER

    def may_use(self, connection: BackendConnection) -> bool:
        """Return whether the request may be sent on an idle connection.

        It is not sent once more where it was refused: if that refusal were
        repeated there, it would be taken for the answer.
        """
        return not connection.refused or self._name() not in connection.refused

    def connection_ready(self, connection: BackendConnection | None) -> None:
        """Send the request on a connection from the pool.

        Parameters
        ----------
        connection
            None if the pool could not provide a connection. The call then
            ends as not sent, as it does if its time budget is used up. If
            the call was cancelled meanwhile, the connection goes back unused.
        """
        owned = self._owned
        if self._is_finished:
            if connection is not None:
                connection.release()
            return
        budget_s = self._deadline_s - self._loop.time()
        if connection is None or budget_s <= 0:
            if connection is not None:
                connection.release()
            self._end(is_sent=False)
            return
        owned.request.headers = self._request_headers(budget_s)
        timeout_s = budget_s + _ANSWER_MARGIN_S
        if not connection.start(self, owned.request, owned.is_ended, timeout_s):
            self._end(is_sent=False)
            return
        self._connection = connection
        self._is_running = True
        if not owned.is_ended:
            self._set_stall_deadline(True)
            self._input.open()

    def body_received(self, part: RequestPart) -> None:
        """Send a further piece of the request's body to the backend server.

        The call is cancelled if the entry node sent more than its credit, or
        if an earlier piece was lost with a connection of the entry node.
        """
        connection = self._connection
        if connection is None or not self._input.is_open or not self._is_running:
            return
        if not self._input.take(part):
            self.cancel()
            return
        connection.send(part.data, part.is_ended, part.trailers)
        if part.is_ended:
            self._set_stall_deadline(False)
        elif connection.is_writable:
            self.request_writable()

    def grant(self, size_bytes: int) -> None:
        """Add credit that the entry node granted for the answer's body."""
        if self._output.grant(size_bytes):
            self._finish_or_rearm()

    def cancel(self) -> None:
        """Stop the call, whose answer is no longer needed."""
        connection, self._connection = self._connection, None
        if self._is_running and connection is not None:
            connection.cancel()
            self._end(is_sent=True)
        elif not self._is_finished:
            # Either the request was not sent yet, or the backend server has
            # completed its answer and only parts for the entry node remain.
            self._end(is_sent=self._status is not None)

    @property
    def waits_for_caller(self) -> bool:
        """Whether the entry node has granted no credit for the answer."""
        return self._output.waits_for_credit

    def end_unread(self) -> None:
        """End an answer that its caller does not read, as incomplete."""
        self._on_stall()

    def end_unsent(self) -> None:
        """End the call as not sent if it still waits for a connection."""
        is_waiting = self._connection is None and self._status is None
        if is_waiting and not self._is_finished:
            self._end(is_sent=False)

    def request_writable(self) -> None:
        """Grant the entry node credit for the body that was written so far."""
        if self._input.is_open and self._is_running:
            self._set_stall_deadline(True)
            self._input.consume_all()

    def informational_received(self, status: int, headers: Headers) -> None:
        """Send an informational answer, except 100, to the entry node."""
        if status != _CONTINUE_STATUS:
            services, attempt_id = self._services, self._owned.attempt_id
            headers = forwardable(headers)
            interim = InterimAnswer(services.node_id, attempt_id, status, headers)
            services.carrier_delivery.deliver(self._owned.entry, interim)

    def answer_begun(self, status: int, headers: Headers) -> AnswerReading:
        """Handle the answer's head and say how to read the rest.

        The answer is skipped if it belongs to another request, and its body is
        discarded if the head already shows that it will not be sent to the
        entry node. It is held until it is whole if its length is unknown or at
        most `OwnerServices.hold_bytes`. If its length is unknown, the deadline
        applies until its end, as it may never end.
        """
        request = self._owned.request
        verdict = self._services.dialect.judge_answer(request.headers, status, headers)
        if verdict is AnswerVerdict.FOREIGN:
            return AnswerReading.SKIPPED
        if verdict is AnswerVerdict.NOT_RUN_UNNAMED:
            verdict = self._attributed()
        self._verdict = verdict
        self._status = status
        if verdict is not AnswerVerdict.ANSWER:
            self._is_held = True
            return AnswerReading.DISCARDED
        self._headers = forwardable(headers)
        size = content_length(headers)
        hold_bytes = self._services.hold_bytes
        self._is_held = bool(hold_bytes) and (size is None or size <= hold_bytes)
        if not self._is_held:
            self._services.post(BackendCallBegun(self._owned.attempt_id, status))
        has_deadline = self._is_held or size is None
        return AnswerReading.WHOLE if has_deadline else AnswerReading.STREAMED

    def _record_refusal(self) -> None:
        connection = self._connection
        if connection is not None:
            connection.refused.add(self._name())
            if len(connection.refused) >= _MAX_REFUSED:
                connection.abort()

    def _name(self) -> RequestName:
        headers = dict(self._owned.request.headers)
        return self._services.dialect.parse_call_terms(headers).name

    def _attributed(self) -> AnswerVerdict:
        """Return the verdict on a refusal that names no request.

        On a connection that has run other requests it may be a repetition of
        the refusal of one of them.
        """
        connection = self._connection
        is_first = connection is not None and connection.calls == 1
        return AnswerVerdict.NOT_RUN if is_first else AnswerVerdict.BROKEN

    def answer_received(self, data: bytes) -> None:
        """Buffer a piece of the body, to send what one read brings at once."""
        output = self._output
        output.buffer(data)
        if self._is_held and output.buffered_bytes > self._services.hold_bytes:
            self._release_held_answer()
        if output.buffered_bytes >= MAX_PART_BYTES:
            self.read_ended()

    def answer_ended(self, trailers: Headers) -> None:
        """End the backend call, whose answer is whole."""
        if self._verdict is AnswerVerdict.NOT_RUN:
            self._record_refusal()
            self._end(is_sent=True, is_refused=True)
            return
        if self._verdict is AnswerVerdict.BROKEN:
            self._end(is_sent=True)
            return
        if self._is_held:
            self._release_held_answer()
        self._end_backend_call(is_whole=True, trailers=trailers)

    def answer_failed(self, reason: str) -> None:
        """End the call after an answer that broke off or did not come.

        If the head was sent to the entry node, the answer is ended there as
        incomplete. Otherwise only the call's end is reported.
        """
        if self._status is None or self._is_held:
            is_refused = self._verdict is AnswerVerdict.NOT_RUN
            self._end(is_sent=True, is_refused=is_refused)
            return
        self._output.is_truncated = True
        self._end_backend_call(is_whole=False, trailers=[])
        self.read_ended()

    def read_ended(self) -> None:
        """Send the body received so far, with the head if it was not sent."""
        if self._status is None or self._is_held or self._is_finished:
            return
        if self._output.is_streaming:
            self._send_buffered()
        elif self._output.begin(self._status, self._headers, self._is_running):
            self._finish()
        else:
            self._finish_or_rearm()

    def _link_has_room(self) -> None:
        self.grant(0)

    def _end_backend_call(self, is_whole: bool, trailers: Headers) -> None:
        """Post the end of the backend call; its answer may be sent later."""
        self._is_running = False
        self._connection = None
        output = self._output
        output.set_trailers(forwardable(trailers))
        is_streaming = output.is_streaming
        if is_streaming:
            self._send_buffered()
            if not is_whole:
                # The caller will see that the answer is incomplete. To keep
                # the rest for an entry node that grants no credit would not
                # help it.
                output.drop_unsent()
        size = output.received_bytes if is_whole else 0
        ended = BackendCallEnded(
            self._owned.attempt_id, True, is_whole, answer_bytes=size
        )
        self._services.post(ended)
        if is_streaming:
            output.end()
            self._finish_or_rearm()

    def _send_buffered(self) -> None:
        if self._output.send_buffered():
            self._finish_or_rearm()

    def _finish_or_rearm(self) -> None:
        output = self._output
        if not output.is_streaming or self._is_finished:
            return
        if output.is_ended:
            self._finish()
        else:
            # The call waits for credit from the entry node or for data from
            # the backend server; the stall timeout limits both.
            self._set_stall_deadline(True)
            if self._is_running:
                return
            if not self._is_blocked:
                self._is_blocked = True
                self._services.post(AnswerBlocked(self._owned.attempt_id))
            self._services.unsent.update(self, output.unsent_bytes)

    def _pause(self) -> None:
        if self._connection is not None:
            self._connection.pause_answer()

    def _resume(self) -> None:
        if self._connection is not None:
            self._connection.resume_answer()

    def _set_stall_deadline(self, is_armed: bool) -> None:
        if self._stall_deadline is None:
            self._stall_deadline = DeadlineTimer(self._loop, self._on_stall)
        if is_armed:
            self._stall_deadline.set_in(_STALL_TIMEOUT_S)
        else:
            self._stall_deadline.clear()

    def _on_stall(self) -> None:
        self._output.is_truncated = True
        if self._status is not None and not self._is_finished:
            self._output.send_part(b"", True, [])
        self.cancel()

    def _request_headers(self, budget_s: float) -> Headers:
        """Return the request's headers, with those that frame its body."""
        owned, services = self._owned, self._services
        budget_ms = max(1, int(budget_s * 1000))
        terms = BackendTerms(budget_ms, services.instance(), owned.account)
        headers = services.dialect.backend_headers(owned.request.headers, terms)
        headers += framing_headers(headers, len(owned.request.body), owned.is_ended)
        return headers

    def _release_held_answer(self) -> None:
        """Stop holding the answer; from now on it is sent as it arrives."""
        assert self._status is not None
        self._is_held = False
        begun = BackendCallBegun(self._owned.attempt_id, self._status)
        self._services.post(begun)

    def _end(self, is_sent: bool, is_refused: bool = False) -> None:
        """End a call whose answer does not reach the entry node whole.

        Parameters
        ----------
        is_sent
            Whether the request may have reached the backend server.
        is_refused
            Whether the backend server said that it did not run the request.
        """
        is_slot_held = self._is_running or self._status is None
        self._is_running = False
        if is_slot_held:
            attempt_id = self._owned.attempt_id
            ended = BackendCallEnded(attempt_id, is_sent, False, is_refused)
            self._services.post(ended)
        self._finish()

    def _finish(self) -> None:
        self._is_finished = True
        self._services.unsent.remove(self)
        if self._stall_deadline is not None:
            self._stall_deadline.close()
        self._input.close()
        self._output.close()
        if self._is_blocked:
            self._services.post(AnswerUnblocked(self._owned.attempt_id))
        self._services.remove_call(self._owned.attempt_id)
