"""Sends callers' requests to owner nodes and returns the answers.

This is the entry node's part of an exchange.
"""

import itertools
from collections.abc import Callable

from papayapost.ids import AttemptId, CallId, NodeId
from papayapost.kernel import Table
from papayapost.states import Outcome
from papayapost.traffic import (
    AnswerGivenUp,
    AnswerOverdue,
    CallerGone,
    CallRefusal,
    CutAnswer,
    DropAnswer,
    ForwardAnswer,
    GiveUpAnswer,
    OfferSend,
    OfferUndelivered,
    RefusalCode,
)
from papayapost_node.exchange.answers import AnswerForwarding
from papayapost_node.exchange.arrivals import arrival_of
from papayapost_node.exchange.body_receiver import BodyReceiver
from papayapost_node.exchange.body_sender import BodySender
from papayapost_node.exchange.carrier_delivery import CarrierDelivery
from papayapost_node.exchange.dialect import Dialect, NativeDialect
from papayapost_node.exchange.tables import CallerRow, OfferedRow
from papayapost_node.exchange.windows import SendWindow, WindowBudget
from papayapost_node.http import (
    Headers,
    HttpRequest,
    RequestHandler,
    ServerExchange,
)
from papayapost_node.wire import (
    AnswerCredit,
    OfferCarrier,
    RequestCredit,
    RequestHead,
    RequestPart,
)

__all__ = ["EntrySide"]

_MAX_HELD_BODY_BYTES = 16 << 10
"""Length of a request's body that is kept for further attempts."""

_BAD_GATEWAY = 502


class EntrySide(RequestHandler):
    """Holds callers' requests and carries out the entry node's effects.

    The traffic systems decide where a request goes and which answer its
    caller gets. The first bytes of a body are sent with the head and kept, so
    that another attempt can follow a refused one. The rest of the body is
    read from the caller only when an owner node has granted credit for it.

    Parameters
    ----------
    carrier_delivery
        Delivers messages to this node or to a peer.
    post
        Queues an input message for the next tick.
    budget
        Memory budget that all flow-control windows of this node share.
    dialect
        Reads and writes the headers of requests and answers; with None,
        papayapost's own headers.
    """

    def __init__(
        self,
        node_id: NodeId,
        carrier_delivery: CarrierDelivery,
        post: Callable[[object], None],
        budget: WindowBudget,
        dialect: Dialect | None = None,
    ):
        self._node_id = node_id
        self._dialect = dialect or NativeDialect()
        self._carrier_delivery = carrier_delivery
        self._post = post
        self._budget = budget
        self._call_ids = itertools.count(1)
        self._calls: Table[CallId, CallerRow] = Table("caller exchanges")
        self._attempts: Table[AttemptId, OfferedRow] = Table("offered attempts")
        self.answers = AnswerForwarding(
            node_id, post, self._attempts, self._finish, self._fail, self._dialect
        )

    @property
    def open_calls(self) -> int:
        """Number of calls whose answer is not complete."""
        return len(self._calls)

    def handlers(self) -> dict[type, Callable]:
        """Return the methods that carry out effects, by effect type."""
        return {
            OfferSend: self._offer,
            CallRefusal: self._refuse,
            ForwardAnswer: self._forward,
            DropAnswer: self._drop,
            CutAnswer: self._cut,
            GiveUpAnswer: self._give_up,
            AnswerOverdue: self._hurry,
        }

    def carriers(self) -> dict[type, Callable]:
        """Return the methods that handle owner nodes' messages, by type."""
        return {RequestCredit: self._credit_arrived, **self.answers.carriers()}

    def request_begun(self, exchange: ServerExchange) -> None:
        """Create the call of a request whose head has arrived.

        A caller that waits for ``100 Continue`` sends its body later, so its
        request is passed to the traffic systems at once.
        """
        call_id = CallId(next(self._call_ids))
        request = HttpRequest(exchange.method, exchange.target, exchange.headers)
        call = CallerRow(call_id, exchange, request)
        exchange.context = call
        self._calls.put(call_id, call)
        if exchange.waits_for_continue:
            self._dispatch(call)
            exchange.pause_body()

    def body_received(self, exchange: ServerExchange, data: bytes) -> None:
        """Keep the first bytes of the request's body and stream the rest.

        Once `_MAX_HELD_BODY_BYTES` are kept, the request is passed to the
        traffic systems, and reading pauses until an owner node grants credit.
        """
        call: CallerRow = exchange.context
        if call.upload is not None:
            call.upload.add(data)
            return
        call.request.body += data
        if not call.is_dispatched and len(call.request.body) >= _MAX_HELD_BODY_BYTES:
            self._dispatch(call)
            exchange.pause_body()

    def body_ended(self, exchange: ServerExchange, trailers: Headers) -> None:
        """Record the end of the request's body and send it on."""
        call: CallerRow = exchange.context
        call.is_body_ended = True
        call.trailers = self._dialect.forwarded_trailers(trailers)
        if not call.is_dispatched:
            self._dispatch(call)
        elif call.upload is not None:
            call.upload.end(call.trailers)

    def answer_writable(self, exchange: ServerExchange) -> None:
        """Grant the owner node credit, now that the caller has caught up."""
        call: CallerRow = exchange.context
        if call.chosen_attempt is not None:
            self.answers.answer_writable(call.chosen_attempt)

    def caller_gone(self, exchange: ServerExchange) -> None:
        """End a call whose caller closed before its answer was whole."""
        call: CallerRow = exchange.context
        self._finish(call)
        if call.is_dispatched:
            self._post(CallerGone(call.call_id))

    def _dispatch(self, call: CallerRow) -> None:
        call.is_dispatched = call.exchange.may_have_run = True
        request = call.request
        self._post(arrival_of(call.call_id, request, call.is_body_ended, self._dialect))
        request.headers = self._dialect.forwarded_headers(request.headers)

    def _offer(self, effect: OfferSend) -> None:
        call = self._calls.get(effect.call_id)
        if call is None:
            return
        if call.upload is not None:
            self._refuse_as_lost(call)
            return
        attempt_id = effect.offer.attempt_id
        address = effect.address

        def grant(size_bytes: int) -> None:
            credit = AnswerCredit(self._node_id, attempt_id, size_bytes)
            self._carrier_delivery.deliver(address, credit)

        receiver = BodyReceiver(self._budget, grant)
        attempt = OfferedRow(attempt_id, address, call, receiver)
        is_ended = call.is_body_ended and not call.trailers
        if not is_ended:
            attempt.upload = self._body_sender_to(attempt)
        call.attempts.append(attempt)
        self._attempts.put(attempt_id, attempt)
        request = call.request
        carrier = OfferCarrier(
            self._node_id,
            effect.offer,
            RequestHead(request.method, request.target, request.headers),
            request.body,
            is_ended,
            receiver.size_bytes,
        )

        def on_undelivered() -> None:
            self._on_undelivered(attempt)

        if not self._carrier_delivery.deliver(effect.address, carrier, on_undelivered):
            on_undelivered()

    def _on_undelivered(self, attempt: OfferedRow) -> None:
        if attempt.attempt_id in self._attempts:
            self._remove_attempt(attempt)
            attempt.call.attempts.remove(attempt)
            self._post(OfferUndelivered(attempt.attempt_id))

    def _body_sender_to(self, attempt: OfferedRow) -> BodySender:
        exchange = attempt.call.exchange
        offset = len(attempt.call.request.body)

        def send_part(data: bytes, is_last: bool, trailers: Headers) -> None:
            nonlocal offset
            part = RequestPart(
                self._node_id, attempt.attempt_id, data, is_last, trailers, offset
            )
            offset += len(data)
            self._carrier_delivery.deliver(attempt.address, part)

        return BodySender(
            SendWindow(0), send_part, exchange.pause_body, exchange.resume_body
        )

    def _credit_arrived(self, credit: RequestCredit) -> None:
        attempt = self._attempts.get(credit.attempt_id)
        if attempt is None or attempt.upload is None:
            return
        call = attempt.call
        if call.upload is None:
            call.upload = attempt.upload
            call.upload.grant(credit.size_bytes)
            if call.is_body_ended:
                call.upload.end(call.trailers)
            else:
                call.exchange.resume_body()
        elif call.upload is attempt.upload:
            call.upload.grant(credit.size_bytes)
        # Otherwise the body is already being sent to another attempt. This
        # attempt gets no body, and its owner node ends it after a timeout.

    def _refuse(self, effect: CallRefusal) -> None:
        call = self._calls.get(effect.call_id)
        if call is None:
            return
        status, headers = self._dialect.refusal(effect)
        headers = [
            *headers,
            *self._dialect.added_answer_headers(self._node_id, effect.call_id),
            (b"content-length", b"0"),
        ]
        self._finish(call)
        call.exchange.begin(status, headers, is_ended=True)

    def _refuse_as_lost(self, call: CallerRow) -> None:
        """Answer 502 to a call that needs another attempt but cannot have one.

        A part of its body has been sent to an owner node and is not kept here,
        so the outcome of the call is unknown.
        """
        self._fail(call, _BAD_GATEWAY)
        self._post(CallerGone(call.call_id))

    def _fail(self, call: CallerRow, status: int) -> None:
        """End a call that may have run with a status of this node."""
        code, outcome = RefusalCode.LOST, Outcome.UNKNOWN
        self._refuse(CallRefusal(call.call_id, status, code, outcome))

    def _forward(self, effect: ForwardAnswer) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is not None and attempt.call.call_id == effect.call_id:
            self.answers.forward(attempt, effect.until_whole)

    def _hurry(self, effect: AnswerOverdue) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is not None and attempt.call.call_id == effect.call_id:
            self.answers.hurry(attempt)

    def _drop(self, effect: DropAnswer) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is not None:
            self._remove_attempt(attempt)

    def _cut(self, effect: CutAnswer) -> None:
        call = self._calls.get(effect.call_id)
        if call is not None and not call.has_begun:
            self._fail(call, _BAD_GATEWAY)
        elif call is not None:
            self._finish(call)
            call.exchange.cut_short()

    def _give_up(self, effect: GiveUpAnswer) -> None:
        call = self._calls.get(effect.call_id)
        if call is not None and not call.has_begun:
            self._fail(call, _BAD_GATEWAY)
            self._post(AnswerGivenUp(call.call_id))

    def _finish(self, call: CallerRow) -> None:
        self._calls.pop(call.call_id)
        self.answers.release(call)
        if call.stall_deadline is not None:
            call.stall_deadline.close()
        for attempt in call.attempts:
            self._remove_attempt(attempt)
        # These references form cycles. Clearing them frees the rows at once
        # and leaves no work for the cyclic garbage collector.
        call.attempts.clear()
        call.chosen_attempt = call.upload = None
        call.exchange.context = None

    def _remove_attempt(self, attempt: OfferedRow) -> None:
        if self._attempts.pop(attempt.attempt_id) is not None:
            attempt.body_receiver.close()
