"""Runs a call to the backend server and sends the answer to the entry node."""

import asyncio

from papayapost.errors import CreditExceeded
from papayapost.ids import Micros, RequestName
from papayapost.traffic import (
    LARGE_ANSWER_BYTES,
    AnswerBlocked,
    AnswerUnblocked,
    BackendCallBegun,
    BackendCallEnded,
)
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.exchange.body_receiver import BodyReceiver
from papayapost_node.exchange.body_sender import MAX_PART_BYTES, BodySender
from papayapost_node.exchange.dialect import AnswerVerdict, BackendTerms
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.pacing import PacedWindow
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.windows import SendWindow
from papayapost_node.http import (
    AnswerReading,
    AnswerSink,
    BackendConnection,
    Headers,
    content_length,
    forwardable,
    framing_headers,
)
from papayapost_node.wire import (
    AnswerCarrier,
    AnswerPart,
    InterimAnswer,
    RequestCredit,
    RequestPart,
)

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


class BackendCall(AnswerSink):
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
        self._answer_sender: BodySender | None = None
        self._window: SendWindow | None = None
        self._answer_bytes = 0
        self._answer_sent_bytes = 0
        self._request_bytes = len(owned.request.body)
        self._body_receiver: BodyReceiver | None = None
        self._stall_deadline: DeadlineTimer | None = None
        self._status: int | None = None
        self._headers: Headers = []
        self._buffered = bytearray()
        self._trailers: Headers = []
        self._is_running = False
        self._is_finished = False
        self._is_truncated = False
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
            self._start_request_body()

    def body_received(self, part: RequestPart) -> None:
        """Send a further piece of the request's body to the backend server.

        The call is cancelled if the entry node sent more than its credit, or
        if an earlier piece was lost with a connection of the entry node.
        """
        connection, receiver = self._connection, self._body_receiver
        if connection is None or receiver is None or not self._is_running:
            return
        try:
            receiver.receive(len(part.data))
        except CreditExceeded:
            self.cancel()
            return
        if part.offset is not None and part.offset != self._request_bytes:
            self.cancel()
            return
        self._request_bytes += len(part.data)
        connection.send(part.data, part.is_ended, part.trailers)
        if part.is_ended:
            self._set_stall_deadline(False)
        elif connection.is_writable:
            self.request_writable()

    def grant(self, size_bytes: int) -> None:
        """Add credit that the entry node granted for the answer's body."""
        if self._answer_sender is not None:
            self._answer_sender.grant(size_bytes)
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

    def request_writable(self) -> None:
        """Grant the entry node credit for the body that was written so far."""
        if self._body_receiver is not None and self._is_running:
            self._set_stall_deadline(True)
            self._body_receiver.consume_all()

    def informational_received(self, status: int, headers: Headers) -> None:
        """Send an informational answer, except 100, to the entry node."""
        if status != _CONTINUE_STATUS:
            services, attempt_id = self._services, self._owned.attempt_id
            headers = forwardable(headers)
            self._deliver(InterimAnswer(services.node_id, attempt_id, status, headers))

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
        self._buffered += data
        self._answer_bytes += len(data)
        if self._is_held and len(self._buffered) > self._services.hold_bytes:
            self._release_held_answer()
        if len(self._buffered) >= MAX_PART_BYTES:
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
        self._is_truncated = True
        self._end_backend_call(is_whole=False, trailers=[])
        self.read_ended()

    def read_ended(self) -> None:
        """Send the body received so far, with the head if it was not sent."""
        if self._status is None or self._is_held or self._is_finished:
            return
        if self._answer_sender is not None:
            self._send_buffered(self._answer_sender)
            return
        body = bytes(self._buffered)
        self._buffered.clear()
        window = self._window = self._send_window(len(body))
        size = window.take(min(len(body), MAX_PART_BYTES))
        if self._is_truncated:
            body = body[:size]
        is_complete = not self._is_running and size == len(body)
        self._answer_sent_bytes = size
        self._deliver(
            AnswerCarrier(
                self._services.node_id,
                self._owned.attempt_id,
                self._status,
                self._headers,
                body[:size],
                is_complete,
                not self._is_truncated,
                self._services.free_slots(),
                self._trailers if is_complete else [],
                self._services.link_wait_ms(),
            )
        )
        if is_complete:
            self._finish()
            return
        self._answer_sender = BodySender(
            window, self._send_part, self._pause, self._resume
        )
        if size < len(body):
            self._answer_sender.add(body[size:])
        if not self._is_running:
            self._answer_sender.end(self._trailers)
        self._finish_or_rearm()

    def _send_window(self, received_bytes: int) -> SendWindow:
        credit_bytes, pacer = self._owned.answer_window_bytes, self._services.pacer
        is_small = not self._is_running and received_bytes <= LARGE_ANSWER_BYTES
        if is_small or self._owned.is_local:
            return SendWindow(credit_bytes)
        return PacedWindow(credit_bytes, pacer, self._link_has_room)

    def _link_has_room(self) -> None:
        self.grant(0)

    def _end_backend_call(self, is_whole: bool, trailers: Headers) -> None:
        """Post the end of the backend call; its answer may be sent later."""
        self._is_running = False
        self._connection = None
        self._trailers = forwardable(trailers)
        if self._answer_sender is not None:
            self._send_buffered(self._answer_sender)
            if not is_whole:
                # The caller will see that the answer is incomplete. To keep
                # the rest for an entry node that grants no credit would not
                # help it.
                self._answer_sender.drop_unsent()
        attempt_id = self._owned.attempt_id
        size_bytes = self._answer_bytes if is_whole else 0
        ended = BackendCallEnded(attempt_id, True, is_whole, False, size_bytes)
        self._services.post(ended)
        if self._answer_sender is not None:
            self._answer_sender.end(self._trailers)
            self._finish_or_rearm()

    def _send_buffered(self, sender: BodySender) -> None:
        if self._buffered:
            data = bytes(self._buffered)
            self._buffered.clear()
            sender.add(data)
            self._finish_or_rearm()

    def _start_request_body(self) -> None:
        self._body_receiver = BodyReceiver(
            self._services.budget, self._grant_request_credit
        )
        self._set_stall_deadline(True)
        self._grant_request_credit(self._body_receiver.size_bytes)

    def _grant_request_credit(self, size_bytes: int) -> None:
        services, attempt_id = self._services, self._owned.attempt_id
        self._deliver(RequestCredit(services.node_id, attempt_id, size_bytes))

    def _send_part(self, data: bytes, is_last: bool, trailers: Headers) -> None:
        services, attempt_id = self._services, self._owned.attempt_id
        is_whole = not self._is_truncated
        offset = self._answer_sent_bytes
        self._answer_sent_bytes += len(data)
        self._deliver(
            AnswerPart(
                services.node_id, attempt_id, data, is_last, is_whole, trailers, offset
            )
        )

    def _finish_or_rearm(self) -> None:
        sender = self._answer_sender
        if sender is None or self._is_finished:
            return
        if sender.is_ended:
            self._finish()
        else:
            # The call waits for credit from the entry node or for data from
            # the backend server; the stall timeout limits both.
            self._set_stall_deadline(True)
            if not self._is_running and not self._is_blocked:
                self._is_blocked = True
                self._services.post(AnswerBlocked(self._owned.attempt_id))

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
        self._is_truncated = True
        if self._status is not None and not self._is_finished:
            self._send_part(b"", True, [])
        self.cancel()

    def _deliver(self, carrier: object) -> None:
        self._services.carrier_delivery.deliver(self._owned.entry, carrier)

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
        if self._stall_deadline is not None:
            self._stall_deadline.close()
        if self._body_receiver is not None:
            self._body_receiver.close()
            self._body_receiver = None
        if self._window is not None:
            self._window.close()
        if self._is_blocked:
            self._services.post(AnswerUnblocked(self._owned.attempt_id))
        self._services.remove_call(self._owned.attempt_id)
