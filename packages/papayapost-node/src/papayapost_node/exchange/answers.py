"""Streams answers from owner nodes to the callers of an entry node."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from papayapost.errors import CreditExceeded
from papayapost.ids import AttemptId, NodeId
from papayapost.kernel import Table
from papayapost.traffic import AnswerBegun, AnswerEnded, CallerGone
from papayapost_node.deadline import DeadlineTimer
from papayapost_node.exchange.dialect import Dialect
from papayapost_node.exchange.tables import CallerRow, OfferedRow
from papayapost_node.wire import (
    AnswerCarrier,
    AnswerPart,
    InterimAnswer,
)

__all__ = ["AnswerForwarding"]

_OVERDUE_STALL_TIMEOUT_S = 0.3
"""Longest time without a part of an answer whose call is past its deadline.
A part takes half of it on a link of 3.5 Mbit/s."""


class AnswerForwarding:
    """Receives the answers to attempts and forwards one answer for each call.

    A call may have several attempts; the traffic systems choose the attempt
    whose answer the caller gets. Until then, the parts of each answer are
    kept with their attempt.

    Parameters
    ----------
    post
        Queues an input message for the next tick.
    attempts
        Attempts that still wait for their answer.
    finish
        Removes a call and its attempts from the tables.
    dialect
        Provides the headers that the entry node adds to an answer.

    Attributes
    ----------
    late_answers
        Number of answer heads and body parts that were dropped because their
        attempt had ended, or because they came out of order.
    """

    def __init__(
        self,
        node_id: NodeId,
        post: Callable[[object], None],
        attempts: Table[AttemptId, OfferedRow],
        finish: Callable[[CallerRow], None],
        dialect: Dialect,
    ):
        self._dialect = dialect
        self._node_id = node_id
        self._post = post
        self._attempts = attempts
        self._finish = finish
        self.late_answers = 0

    def carriers(self) -> dict[type, Callable]:
        """Return the method that handles each message type of an answer."""
        return {
            AnswerCarrier: self._head_arrived,
            AnswerPart: self._part_arrived,
            InterimAnswer: self._informational_arrived,
        }

    def forward(self, attempt: OfferedRow) -> None:
        """Choose an attempt's answer and send the caller what has arrived.

        Does nothing if the call has a chosen attempt already, or if the head
        of this answer has not arrived.
        """
        call, head = attempt.call, attempt.head
        if call.chosen_attempt is not None or head is None:
            return
        call.chosen_attempt = attempt
        is_complete = head.is_ended and head.is_whole
        exchange = call.exchange
        if head.is_ended:
            self._finish(call)
        headers = [
            *head.headers,
            *self._dialect.added_answer_headers(self._node_id, call.call_id),
        ]
        exchange.begin(head.status, headers, head.body, is_complete, head.trailers)
        if head.is_ended:
            if not head.is_whole:
                exchange.cut_short()
            return
        loop = asyncio.get_running_loop()
        call.stall_deadline = DeadlineTimer(loop, lambda: self._on_stall(attempt))
        while attempt.held_parts:
            self._stream(attempt, attempt.held_parts.popleft())
        if call.chosen_attempt is attempt:
            self._grant_credit(attempt)

    def answer_writable(self, attempt: OfferedRow) -> None:
        """Grant the owner node credit after a slow caller has caught up."""
        self._grant_credit(attempt)

    def hurry(self, attempt: OfferedRow) -> None:
        """Cut the answer of a call past its deadline as soon as it stalls."""
        call = attempt.call
        if call.chosen_attempt is not attempt or call.stall_deadline is None:
            return
        call.stall_timeout_s = _OVERDUE_STALL_TIMEOUT_S
        if call.exchange.is_writable:
            call.stall_deadline.shorten_to(call.stall_timeout_s)

    def _head_arrived(self, head: AnswerCarrier) -> None:
        attempt = self._attempts.get(head.attempt_id)
        if attempt is None or attempt.head is not None:
            self.late_answers += 1
            return
        if not self._use_credit(attempt, len(head.body)):
            return
        attempt.head = head
        sender, attempt_id = head.sender, head.attempt_id
        begun = AnswerBegun(
            sender, attempt_id, head.status, head.free_slots, head.link_wait_ms
        )
        self._post(begun)
        if head.is_ended:
            size = len(head.body)
            self._post(AnswerEnded(sender, attempt_id, head.is_whole, size))

    def _part_arrived(self, part: AnswerPart) -> None:
        attempt = self._attempts.get(part.attempt_id)
        if attempt is None or attempt.head is None:
            self.late_answers += 1
            return
        if attempt.is_answer_ended or not self._use_credit(attempt, len(part.data)):
            return
        received_bytes = len(attempt.head.body) + attempt.body_bytes
        if part.offset is not None and part.offset != received_bytes:
            # An earlier part was lost with a connection of the owner node.
            part = replace(part, data=b"", is_ended=True, is_whole=False)
        attempt.body_bytes += len(part.data)
        if part.is_ended:
            attempt.is_answer_ended = True
            size = len(attempt.head.body) + attempt.body_bytes
            ended = AnswerEnded(part.sender, part.attempt_id, part.is_whole, size)
            self._post(ended)
        # If this node is also the owner node, a grant of credit delivers the
        # next part within the same call, possibly before the earlier parts
        # in `held_parts` have been sent. The part is then queued behind them.
        if attempt.call.chosen_attempt is attempt and not attempt.held_parts:
            self._stream(attempt, part)
        else:
            attempt.held_parts.append(part)

    def _informational_arrived(self, interim: InterimAnswer) -> None:
        attempt = self._attempts.get(interim.attempt_id)
        if attempt is not None and attempt.call.chosen_attempt is None:
            attempt.call.exchange.send_informational(interim.status, interim.headers)

    def _stream(self, attempt: OfferedRow, part: AnswerPart) -> None:
        call = attempt.call
        exchange = call.exchange
        if part.is_ended:
            self._finish(call)
        exchange.send(part.data, part.is_ended and part.is_whole, part.trailers)
        if not part.is_ended:
            self._grant_credit(attempt)
        elif not part.is_whole:
            exchange.cut_short()

    def _grant_credit(self, attempt: OfferedRow) -> None:
        stall_deadline = attempt.call.stall_deadline
        if not attempt.call.exchange.is_writable:
            # The caller is slow, not the owner node, so the stall deadline
            # does not apply. The caller's connection enforces the minimum
            # rate at which a caller reads.
            if stall_deadline is not None:
                stall_deadline.clear()
            return
        if stall_deadline is not None:
            stall_deadline.set_in(attempt.call.stall_timeout_s)
        attempt.body_receiver.consume_all()

    def _use_credit(self, attempt: OfferedRow, size_bytes: int) -> bool:
        try:
            attempt.body_receiver.receive(size_bytes)
        except CreditExceeded:
            self._abort_call(attempt.call)
            return False
        return True

    def _on_stall(self, attempt: OfferedRow) -> None:
        if attempt.attempt_id in self._attempts:
            self._abort_call(attempt.call)

    def _abort_call(self, call: CallerRow) -> None:
        self._finish(call)
        call.exchange.cut_short()
        self._post(CallerGone(call.call_id))
