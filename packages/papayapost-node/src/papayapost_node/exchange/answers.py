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
from papayapost_node.http import Headers, content_length
from papayapost_node.wire import (
    AnswerCarrier,
    AnswerPart,
    InterimAnswer,
)

__all__ = ["AnswerForwarding"]

_OVERDUE_STALL_TIMEOUT_S = 0.3
"""Longest time without a part of an answer whose call is past its deadline.
A part takes half of it on a link of 3.5 Mbit/s."""

_MAX_KEPT_BYTES = 1 << 20
_MAX_ALL_KEPT_BYTES = 8 << 20
"""Limits on the length of one answer that is kept until it is whole, and on
all of them. Longer answers are sent on as they arrive."""

_BAD_GATEWAY = 502
_TIMED_OUT = 504


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
    fail
        Ends a call with a status that says that its outcome is unknown.
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
        fail: Callable[[CallerRow, int], None],
        dialect: Dialect,
    ):
        self._dialect = dialect
        self._node_id = node_id
        self._post = post
        self._attempts = attempts
        self._finish = finish
        self._fail = fail
        self._kept_bytes = 0
        self.late_answers = 0

    def carriers(self) -> dict[type, Callable]:
        """Return the method that handles each message type of an answer."""
        return {
            AnswerCarrier: self._head_arrived,
            AnswerPart: self._part_arrived,
            InterimAnswer: self._informational_arrived,
        }

    def forward(self, attempt: OfferedRow, until_whole: bool = False) -> None:
        """Choose an attempt's answer and send the caller what has arrived.

        Does nothing if the call has another chosen attempt, or if the head of
        this answer has not arrived. The head of an answer whose body still
        waits for the link of the owner node is kept until a part of the body
        arrives: until then, the caller can get another answer.

        Parameters
        ----------
        until_whole
            Whether to send nothing before the answer is whole, if it is not
            too long to be kept. It may be asked for later, as long as the
            answer has not begun.
        """
        call, head = attempt.call, attempt.head
        if head is None:
            return
        size = content_length(head.headers)
        if call.chosen_attempt is not None:
            if call.chosen_attempt is attempt and until_whole:
                self._keep(call, size)
            return
        call.chosen_attempt = attempt
        if head.is_ended:
            self._finish(call)
            self._begin(call, head, head.body, head.is_whole, head.trailers)
            if not head.is_whole:
                call.exchange.cut_short()
            return
        if until_whole:
            self._keep(call, size)
        if not call.kept_bytes and (head.body or not size):
            self._begin(call, head, head.body, False, head.trailers)
        loop = asyncio.get_running_loop()
        call.stall_deadline = DeadlineTimer(loop, lambda: self._on_stall(attempt))
        while attempt.held_parts:
            self._stream(attempt, attempt.held_parts.popleft())
        if call.chosen_attempt is attempt:
            self._grant_credit(attempt)

    def release(self, call: CallerRow) -> None:
        """Give back the memory for an answer that is kept no more."""
        self._kept_bytes -= call.kept_bytes
        call.kept_bytes = 0

    def _keep(self, call: CallerRow, size: int | None) -> None:
        """Keep an answer until it is whole, if there is room for it."""
        if call.has_begun or call.kept_bytes or size is None:
            return
        has_room = self._kept_bytes + size <= _MAX_ALL_KEPT_BYTES
        if size <= _MAX_KEPT_BYTES and has_room:
            call.kept_bytes = size
            self._kept_bytes += size

    def _begin(
        self,
        call: CallerRow,
        head: AnswerCarrier,
        data: bytes,
        is_complete: bool,
        trailers: Headers,
    ) -> None:
        """Send the caller the head of an answer with the first of its body."""
        call.has_begun = True
        headers = [
            *head.headers,
            *self._dialect.added_answer_headers(self._node_id, call.call_id),
        ]
        call.exchange.begin(head.status, headers, data, is_complete, trailers)

    def answer_writable(self, attempt: OfferedRow) -> None:
        """Grant the owner node credit after a slow caller has caught up."""
        self._grant_credit(attempt)

    def hurry(self, attempt: OfferedRow) -> None:
        """End the answer of a call past its deadline as soon as it stalls."""
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
        self._post(AnswerBegun(sender, attempt_id, head.status, head.free_slots))
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
        call, head = attempt.call, attempt.head
        assert head is not None
        exchange = call.exchange
        if call.kept_bytes:
            self._add_kept(attempt, part)
            return
        is_broken = part.is_ended and not part.is_whole
        if is_broken and not call.has_begun:
            self._fail(call, _BAD_GATEWAY)
            return
        if part.is_ended:
            self._finish(call)
        is_complete = part.is_ended and part.is_whole
        if call.has_begun:
            exchange.send(part.data, is_complete, part.trailers)
        elif part.data or is_complete:
            self._begin(call, head, part.data, is_complete, part.trailers)
        if not part.is_ended:
            self._grant_credit(attempt)
        elif not part.is_whole:
            exchange.cut_short()

    def _add_kept(self, attempt: OfferedRow, part: AnswerPart) -> None:
        """Add a part to a kept answer, and send it once it is whole."""
        call, head = attempt.call, attempt.head
        assert head is not None
        if not part.is_ended:
            attempt.kept_body += part.data
            self._grant_credit(attempt)
        elif part.is_whole:
            self._finish(call)
            body = head.body + bytes(attempt.kept_body) + part.data
            self._begin(call, head, body, True, part.trailers)
        else:
            self._fail(call, _BAD_GATEWAY)

    def _grant_credit(self, attempt: OfferedRow) -> None:
        stall_deadline = attempt.call.stall_deadline
        if not (attempt.call.exchange.is_writable or attempt.call.kept_bytes):
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
        if attempt.attempt_id not in self._attempts:
            return
        call = attempt.call
        if call.has_begun:
            self._abort_call(call)
            return
        is_overdue = call.stall_timeout_s == _OVERDUE_STALL_TIMEOUT_S
        self._fail(call, _TIMED_OUT if is_overdue else _BAD_GATEWAY)
        self._post(CallerGone(call.call_id))

    def _abort_call(self, call: CallerRow) -> None:
        self._finish(call)
        call.exchange.cut_short()
        self._post(CallerGone(call.call_id))
