"""One call to the backend server and its answer's way to the entry node."""

import asyncio

from papayapost.errors import CreditExceeded
from papayapost.ids import Micros
from papayapost.traffic import BackendCallBegun, BackendCallEnded
from papayapost_node.deadline import Deadline
from papayapost_node.exchange.dialect import AnswerVerdict, BackendTerms
from papayapost_node.exchange.inlet import BodyInlet
from papayapost_node.exchange.outlet import MAX_PART_BYTES, BodyOutlet
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.windows import SendWindow
from papayapost_node.http import (
    AnswerReading,
    AnswerSink,
    BackendConnection,
    Headers,
    content_length,
    forwardable,
    framing_of,
)
from papayapost_node.wire import (
    AnswerCarrier,
    AnswerPart,
    InterimAnswer,
    RequestCredit,
)

__all__ = ["BackendCall"]

_STALL_S = 30.0
_ANSWER_SLACK_S = 0.03
"""A backend server says 504 when its time is over; that takes a moment."""

_CONTINUE = 100


class BackendCall(AnswerSink):
    """Runs one admitted request.

    Its slot is free once the backend server is done; what the entry node has
    not taken by then is kept until it does, or until it stalls. An answer of
    moderate size may be passed on once it is whole, so that a broken one can
    be followed by another attempt.
    """

    def __init__(self, owned: OwnedRequest, budget_us: Micros, services: OwnerServices):
        self._owned = owned
        self._services = services
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._due_s = loop.time() + budget_us / 1e6
        self._connection: BackendConnection | None = None
        self._outlet: BodyOutlet | None = None
        self._inlet: BodyInlet | None = None
        self._stall: Deadline | None = None
        self._status: int | None = None
        self._headers: Headers = []
        self._first: list[bytes] = []
        self._first_bytes = 0
        self._trailers: Headers = []
        self._is_running = False
        self._is_over = False
        self._is_cut = False
        self._is_held = False
        self._verdict = AnswerVerdict.ANSWER

    def connected(self, connection: BackendConnection | None) -> None:
        """Send the request, unless the call is over or nobody takes it."""
        owned = self._owned
        if self._is_over:
            if connection is not None:
                connection.release()
            return
        budget_s = self._due_s - self._loop.time()
        if connection is None or budget_s <= 0:
            if connection is not None:
                connection.release()
            self._end(is_sent=False)
            return
        owned.request.headers = self._request_headers(budget_s)
        limit_s = budget_s + _ANSWER_SLACK_S
        if not connection.start(self, owned.request, owned.is_ended, limit_s):
            self._end(is_sent=False)
            return
        self._connection = connection
        self._is_running = True
        if not owned.is_ended:
            self._ask_for_body()

    def body_received(self, data: bytes, is_ended: bool, trailers: Headers) -> None:
        """Pass a further piece of the request's body on."""
        connection, inlet = self._connection, self._inlet
        if connection is None or inlet is None or not self._is_running:
            return
        try:
            inlet.receive(len(data))
        except CreditExceeded:
            self.cancel()
            return
        connection.send(data, is_ended, trailers)
        if is_ended:
            self._watch_stall(False)
        elif connection.is_writable:
            self.request_writable()

    def grant(self, size_bytes: int) -> None:
        """Take credit for the answer's body."""
        if self._outlet is not None:
            self._outlet.grant(size_bytes)
            self._after_part()

    def cancel(self) -> None:
        """Stop the call; nobody waits for its answer."""
        connection, self._connection = self._connection, None
        if self._is_running and connection is not None:
            connection.cancel()
            self._end(is_sent=True)
        elif not self._is_over:
            # Not begun, or begun and left by the backend server already.
            self._end(is_sent=self._status is not None)

    def request_writable(self) -> None:
        """Grant the entry node credit for what the backend server took."""
        if self._inlet is not None and self._is_running:
            self._watch_stall(True)
            self._inlet.move_on()

    def answer_informed(self, status: int, headers: Headers) -> None:
        """Pass an informational answer on, but for ``100 Continue``."""
        if status != _CONTINUE:
            services, attempt_id = self._services, self._owned.attempt_id
            headers = forwardable(headers)
            self._deliver(InterimAnswer(services.node_id, attempt_id, status, headers))

    def answer_begun(self, status: int, headers: Headers) -> AnswerReading:
        """Take the answer's head, if it is this request's."""
        request = self._owned.request
        verdict = self._services.dialect.judge(request.headers, status, headers)
        if verdict is AnswerVerdict.FOREIGN:
            return AnswerReading.SKIPPED
        self._verdict = verdict
        self._status = status
        self._headers = forwardable(headers)
        size = content_length(headers)
        hold_bytes = self._services.hold_bytes
        is_moderate = bool(hold_bytes) and (size is None or size <= hold_bytes)
        self._is_held = is_moderate or verdict is not AnswerVerdict.ANSWER
        if not self._is_held:
            self._services.post(BackendCallBegun(self._owned.attempt_id, status))
        return AnswerReading.WHOLE if self._is_held else AnswerReading.STREAMED

    def answer_received(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        if self._outlet is not None:
            self._outlet.add(data)
            self._after_part()
            return
        if self._verdict is not AnswerVerdict.ANSWER:
            return
        self._first.append(data)
        self._first_bytes += len(data)
        if self._is_held and self._first_bytes > self._services.hold_bytes:
            self._let_go()
        if self._first_bytes >= MAX_PART_BYTES:
            self.answer_flushed()

    def answer_ended(self, trailers: Headers) -> None:
        """Note that the backend server is done with a whole answer."""
        if self._verdict is AnswerVerdict.NOT_RUN:
            self._end(is_sent=True, is_refused=True)
            return
        if self._verdict is AnswerVerdict.BROKEN:
            self._end(is_sent=True)
            return
        if self._is_held:
            self._let_go()
        self._backend_done(is_whole=True, trailers=trailers)

    def answer_failed(self, reason: str) -> None:
        """Note that the answer will not be completed."""
        if self._status is None or self._is_held:
            is_refused = self._verdict is AnswerVerdict.NOT_RUN
            self._end(is_sent=True, is_refused=is_refused)
            return
        self._is_cut = True
        self._backend_done(is_whole=False, trailers=[])
        self.answer_flushed()

    def answer_flushed(self) -> None:
        """Send the head with what there is of the body."""
        has_head = self._status is not None and not self._is_held
        if not has_head or self._outlet is not None or self._is_over:
            return
        assert self._status is not None
        body = b"".join(self._first)
        self._first = []
        window = SendWindow(self._owned.answer_window_bytes)
        size = window.take(min(len(body), MAX_PART_BYTES))
        is_all = not self._is_running and size == len(body)
        self._deliver(
            AnswerCarrier(
                self._services.node_id,
                self._owned.attempt_id,
                self._status,
                self._headers,
                body[:size],
                is_all,
                not self._is_cut,
                self._services.free_slots(),
                self._trailers if is_all else [],
            )
        )
        if is_all:
            self._finish()
            return
        self._outlet = BodyOutlet(window, self._send_part, self._pause, self._resume)
        if size < len(body):
            self._outlet.add(body[size:])
        if not self._is_running:
            self._outlet.end(self._trailers)
        self._after_part()

    def _backend_done(self, is_whole: bool, trailers: Headers) -> None:
        self._is_running = False
        self._connection = None
        self._trailers = forwardable(trailers)
        ended = BackendCallEnded(self._owned.attempt_id, True, is_whole)
        self._services.post(ended)
        if self._outlet is not None:
            self._outlet.end(self._trailers)
            self._after_part()

    def _ask_for_body(self) -> None:
        self._inlet = BodyInlet(self._services.budget, self._grant_request)
        self._watch_stall(True)
        self._grant_request(self._inlet.size_bytes)

    def _grant_request(self, size_bytes: int) -> None:
        services, attempt_id = self._services, self._owned.attempt_id
        self._deliver(RequestCredit(services.node_id, attempt_id, size_bytes))

    def _send_part(self, data: bytes, is_last: bool, trailers: Headers) -> None:
        services, attempt_id = self._services, self._owned.attempt_id
        is_whole = not self._is_cut
        self._deliver(
            AnswerPart(services.node_id, attempt_id, data, is_last, is_whole, trailers)
        )

    def _after_part(self) -> None:
        outlet = self._outlet
        if outlet is None or self._is_over:
            return
        if outlet.is_ended:
            self._finish()
        else:
            # Waiting for the entry node or for the backend server: either
            # way something has to move within the time.
            self._watch_stall(True)

    def _pause(self) -> None:
        if self._connection is not None:
            self._connection.pause_answer()

    def _resume(self) -> None:
        if self._connection is not None:
            self._connection.resume_answer()

    def _watch_stall(self, is_wanted: bool) -> None:
        if self._stall is None:
            self._stall = Deadline(self._loop, self._stalled)
        if is_wanted:
            self._stall.set_in(_STALL_S)
        else:
            self._stall.clear()

    def _stalled(self) -> None:
        self._is_cut = True
        if self._status is not None and not self._is_over:
            self._send_part(b"", True, [])
        self.cancel()

    def _deliver(self, carrier: object) -> None:
        self._services.courier.deliver(self._owned.entry, carrier)

    def _request_headers(self, budget_s: float) -> Headers:
        """Return the headers with this connection's framing."""
        owned, services = self._owned, self._services
        terms = BackendTerms(max(1, int(budget_s * 1000)), services.instance())
        headers = services.dialect.to_backend(owned.request.headers, terms)
        headers += framing_of(headers, len(owned.request.body), owned.is_ended)
        return headers

    def _let_go(self) -> None:
        """Pass a held answer on from here."""
        assert self._status is not None
        self._is_held = False
        begun = BackendCallBegun(self._owned.attempt_id, self._status)
        self._services.post(begun)

    def _end(self, is_sent: bool, is_refused: bool = False) -> None:
        """End a call whose answer is not passed on to its end."""
        is_slot_held = self._is_running or self._status is None
        self._is_running = False
        if is_slot_held:
            attempt_id = self._owned.attempt_id
            ended = BackendCallEnded(attempt_id, is_sent, False, is_refused)
            self._services.post(ended)
        self._finish()

    def _finish(self) -> None:
        self._is_over = True
        if self._stall is not None:
            self._stall.close()
        if self._inlet is not None:
            self._inlet.close()
            self._inlet = None
        self._services.forget(self._owned.attempt_id)
