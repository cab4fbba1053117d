"""Carries requests and answers between callers, peers and backend server."""

import asyncio
import itertools
from collections.abc import Callable

import h11

from papayapost.ids import Address, AttemptId, CallId, IdempotencyKey, Micros, NodeId
from papayapost.peering import PeerSend
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallerGone,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
)
from papayapost_node.http import (
    ClientConnection,
    HttpAnswer,
    HttpRequest,
    ServerCall,
)
from papayapost_node.wire import AnswerCarrier, OfferCarrier, RequestHead

__all__ = ["Exchange"]

Post = Callable[[object], None]
SendToPeer = Callable[[PeerSend], None]


class Exchange:
    """Holds requests and answers under their ids while decisions are made.

    Parameters
    ----------
    post
        Hands a message to the next tick.
    send
        Sends a message to a peer.
    backend_address
        The backend server on this VM, or None.
    """

    def __init__(
        self,
        node_id: NodeId,
        backend_address: Address | None,
        post: Post,
        send: SendToPeer,
    ):
        self._node_id = node_id
        self._backend_address = backend_address
        self._post = post
        self._send = send
        self._call_ids = itertools.count(1)
        self._calls: dict[CallId, ServerCall] = {}
        self._call_of: dict[int, CallId] = {}
        self._offered: dict[AttemptId, tuple[AttemptOffer, HttpRequest]] = {}
        self._answers: dict[AttemptId, HttpAnswer] = {}
        self._tasks: dict[AttemptId, asyncio.Task] = {}
        self._idle: list[ClientConnection] = []

    def handlers(self) -> dict[type, Callable]:
        """Return what carries out each effect of the calls."""
        return {
            OfferSend: self._offer,
            CallRefusal: self._refuse,
            ForwardAnswer: self._forward,
            BackendCallStart: self._start,
            BackendCallCancel: self._cancel,
        }

    def call_arrived(self, call: ServerCall) -> None:
        """Take a caller's request."""
        call_id = CallId(next(self._call_ids))
        self._calls[call_id] = call
        self._call_of[id(call)] = call_id
        request = call.request
        headers = dict(request.headers)
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        key = headers.get(b"idempotency-key")
        self._post(
            CallArrived(
                call_id,
                request.method,
                host,
                request.target.partition("?")[0],
                _budget_us(headers),
                IdempotencyKey(key.decode("latin-1")) if key else None,
                len(request.body),
            )
        )

    def caller_gone(self, call: ServerCall) -> None:
        """Note that a caller closed before its answer."""
        call_id = self._call_of.pop(id(call), None)
        if call_id is not None:
            del self._calls[call_id]
            self._post(CallerGone(call_id))

    def offer_arrived(self, carrier: OfferCarrier) -> None:
        """Take a peer's request."""
        head = carrier.head
        request = HttpRequest(head.method, head.target, head.headers, carrier.body)
        self._offered[carrier.offer.attempt_id] = (carrier.offer, request)
        self._post(carrier.offer)

    def answer_arrived(self, carrier: AnswerCarrier) -> None:
        """Take a peer's answer."""
        answer = HttpAnswer(
            carrier.status, carrier.headers, carrier.body, carrier.is_whole
        )
        self._take_answer(
            carrier.sender, carrier.attempt_id, answer, carrier.free_slots
        )

    def close(self) -> None:
        """Stop all calls to the backend server."""
        for task in self._tasks.values():
            task.cancel()
        for connection in self._idle:
            connection.close()

    def _offer(self, effect: OfferSend) -> None:
        request = self._calls[effect.call_id].request
        if effect.is_local:
            self._offered[effect.offer.attempt_id] = (effect.offer, request)
            return
        head = RequestHead(request.method, request.target, request.headers)
        carrier = OfferCarrier(self._node_id, effect.offer, head, request.body)
        self._send(PeerSend(effect.address, carrier))

    def _refuse(self, effect: CallRefusal) -> None:
        headers = [
            (b"papayapost-outcome", effect.outcome.value.encode()),
            (b"papayapost-code", effect.code.value.encode()),
        ]
        if effect.retry_after_ms is not None:
            headers.append((b"retry-after-ms", b"%d" % effect.retry_after_ms))
        self._answer(effect.call_id, HttpAnswer(effect.status, headers))

    def _forward(self, effect: ForwardAnswer) -> None:
        answer = self._answers.pop(effect.attempt_id)
        self._answer(effect.call_id, answer)

    def _answer(self, call_id: CallId, answer: HttpAnswer) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            del self._call_of[id(call)]
            call.answer(answer)

    def _start(self, effect: BackendCallStart) -> None:
        offer, request = self._offered.pop(effect.attempt_id)
        task = asyncio.get_running_loop().create_task(
            self._run(offer, request, effect.budget_us)
        )
        self._tasks[effect.attempt_id] = task

    def _cancel(self, effect: BackendCallCancel) -> None:
        task = self._tasks.get(effect.attempt_id)
        if task is not None:
            task.cancel()

    async def _run(
        self, offer: AttemptOffer, request: HttpRequest, budget_us: Micros
    ) -> None:
        attempt_id = offer.attempt_id
        is_sent, answer = False, None
        connection = None
        try:
            async with asyncio.timeout(budget_us / 1e6):
                connection = await self._connect()
                is_sent = True
                answer = await connection.call(request)
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._release(connection)
            del self._tasks[attempt_id]
        if answer is not None:
            self._return(offer, answer)
        is_whole = answer is not None and answer.is_whole
        self._post(BackendCallEnded(attempt_id, is_sent, is_whole))

    async def _connect(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        if self._backend_address is None:
            raise ConnectionRefusedError("this VM has no backend server")
        return await ClientConnection.open(self._backend_address)

    def _release(self, connection: ClientConnection | None) -> None:
        if connection is None:
            return
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def _return(self, offer: AttemptOffer, answer: HttpAnswer) -> None:
        if offer.sender == self._node_id:
            self._take_answer(self._node_id, offer.attempt_id, answer, 0)
            return
        carrier = AnswerCarrier(
            self._node_id,
            offer.attempt_id,
            answer.status,
            answer.headers,
            answer.body,
            answer.is_whole,
            0,
        )
        self._send(PeerSend(offer.reply_to, carrier))

    def _take_answer(
        self,
        sender: NodeId,
        attempt_id: AttemptId,
        answer: HttpAnswer,
        free_slots: int,
    ) -> None:
        self._answers[attempt_id] = answer
        self._post(AnswerBegun(sender, attempt_id, answer.status, free_slots))
        self._post(AnswerEnded(sender, attempt_id, answer.is_whole))


def _budget_us(headers: dict[bytes, bytes]) -> Micros | None:
    text = headers.get(b"papayapost-timeout-ms", b"")
    return Micros(int(text) * 1000) if text.isdigit() and len(text) < 10 else None
