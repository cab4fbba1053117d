"""Runs requests that entry nodes offer on this node's backend server.

This is the owner node's part of an exchange.
"""

import sys
from collections.abc import Callable

from papayapost.ids import Address, AttemptId, InstanceId, NodeId
from papayapost.kernel import Table
from papayapost.traffic import (
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    DropOffer,
    EndUnsentCalls,
)
from papayapost_node.exchange.backend_call import BackendCall
from papayapost_node.exchange.carrier_delivery import CarrierDelivery
from papayapost_node.exchange.dialect import Dialect, NativeDialect
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.pacing import BulkPacer
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.unsent_answers import UnsentAnswers
from papayapost_node.exchange.windows import WindowBudget
from papayapost_node.http import BackendPool, HttpRequest
from papayapost_node.wire import AnswerCredit, OfferCarrier, RequestPart

__all__ = ["OwnerSide"]

_MAX_OFFERED_BODY_BYTES = 256 << 10
"""Most bytes of a body that come with an offer. An entry node sends at most
what it keeps and one read, 80 KB; the rest comes on credit."""


class OwnerSide:
    """Holds offered requests and carries out the owner node's effects.

    The traffic systems decide which offered requests are run.

    Parameters
    ----------
    node_id
        This node. The traffic systems post this node's offers to itself, so
        this class posts only the offers of other nodes.
    pool
        Connections to the backend server.
    carrier_delivery
        Delivers messages to this node or to a peer.
    post
        Queues an input message for the next tick.
    free_slots
        Returns the number of free slots of the backend server.
    budget
        Memory budget that all flow-control windows of this node share.
    dialect
        Reads and writes the headers of requests and answers; with None,
        papayapost's own headers.
    instance
        Returns the name of the only backend server process that may run a
        request; None for any.
    hold_bytes
        Largest answer, in bytes, that is held until it is whole before it is
        sent to the entry node; 0 if no answer is held.
    pacer
        Limits the rate of large answers on the link of this VM; None for no
        limit.
    unsent
        Bounds the memory for answers that their callers do not read; None for
        no limit.
    """

    def __init__(
        self,
        node_id: NodeId,
        pool: BackendPool,
        carrier_delivery: CarrierDelivery,
        post: Callable[[object], None],
        free_slots: Callable[[], int],
        budget: WindowBudget,
        dialect: Dialect | None = None,
        instance: Callable[[], InstanceId | None] = lambda: None,
        hold_bytes: int = 0,
        pacer: BulkPacer | None = None,
        unsent: UnsentAnswers | None = None,
    ):
        self._node_id = node_id
        self._pool = pool
        self._post = post
        self._offered: Table[AttemptId, OwnedRequest] = Table("offered requests")
        self._running: Table[AttemptId, BackendCall] = Table("backend calls")
        self._services = OwnerServices(
            node_id,
            carrier_delivery,
            post,
            free_slots,
            budget,
            self._remove_call,
            dialect or NativeDialect(),
            instance,
            hold_bytes,
            pacer or BulkPacer(0),
            unsent or UnsentAnswers(sys.maxsize),
        )

    @property
    def open_calls(self) -> int:
        """Number of calls whose answer has not been sent completely."""
        return len(self._running)

    def handlers(self) -> dict[type, Callable]:
        """Return the methods that carry out effects, by effect type."""
        return {
            BackendCallStart: self._start,
            BackendCallCancel: self._cancel,
            DropOffer: self._drop,
            EndUnsentCalls: self._end_unsent,
        }

    def carriers(self) -> dict[type, Callable]:
        """Return the methods that handle entry nodes' messages, by type."""
        return {
            OfferCarrier: self._offer_arrived,
            RequestPart: self._part_arrived,
            AnswerCredit: self._credit_arrived,
        }

    def close(self) -> None:
        """Close all connections to the backend server, with their calls."""
        self._pool.close()

    def _offer_arrived(self, carrier: OfferCarrier) -> None:
        offer, head = carrier.offer, carrier.head
        is_known = offer.attempt_id in self._offered
        # An offer that is not held ends as not sent once it gets a slot.
        if not is_known and len(carrier.body) <= _MAX_OFFERED_BODY_BYTES:
            request = HttpRequest(head.method, head.target, head.headers, carrier.body)
            self._offered.put(
                offer.attempt_id,
                OwnedRequest(
                    offer.attempt_id,
                    Address(offer.reply_to),
                    request,
                    carrier.is_ended,
                    carrier.answer_window_bytes,
                    offer.sender == self._node_id,
                    offer.account,
                ),
            )
        if offer.sender != self._node_id:
            self._post(offer)

    def _part_arrived(self, part: RequestPart) -> None:
        call = self._running.get(part.attempt_id)
        if call is not None:
            call.body_received(part)

    def _credit_arrived(self, credit: AnswerCredit) -> None:
        call = self._running.get(credit.attempt_id)
        if call is not None:
            call.grant(credit.size_bytes)

    def _start(self, effect: BackendCallStart) -> None:
        owned = self._offered.pop(effect.attempt_id)
        if owned is None:
            self._post(BackendCallEnded(effect.attempt_id, False, False))
            return
        call = BackendCall(owned, effect.budget_us, self._services)
        self._running.put(effect.attempt_id, call)
        self._pool.acquire(call.connection_ready, call.may_use)

    def _cancel(self, effect: BackendCallCancel) -> None:
        call = self._running.get(effect.attempt_id)
        if call is not None:
            call.cancel()

    def _end_unsent(self, effect: EndUnsentCalls) -> None:
        for call in list(self._running):
            call.end_unsent()

    def _drop(self, effect: DropOffer) -> None:
        self._offered.pop(effect.attempt_id)

    def _remove_call(self, attempt_id: AttemptId) -> None:
        self._running.pop(attempt_id)
