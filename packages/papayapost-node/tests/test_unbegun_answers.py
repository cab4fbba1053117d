"""Tests of answers of which the caller has got no part yet.

The head of an answer arrives before its body has room on the link of the owner
node. Callers got that head, and then a connection that ended, when a node
stopped.
"""

import asyncio

import pytest

from papayapost.traffic import (
    AnswerGivenUp,
    AnswerOverdue,
    CallerGone,
    CutAnswer,
    ForwardAnswer,
    GiveUpAnswer,
)
from papayapost_node.wire import AnswerCarrier, AnswerCredit

from .test_exchange import EntryNode, answer_part, offer_of

ATTEMPT_ID = offer_of().attempt_id
BODY = bytes(range(250)) * 120
BODY_BYTES = len(BODY)


def head_of(size=BODY_BYTES, body=b"", headers=None):
    if headers is None:
        headers = [(b"content-length", b"%d" % size)]
    return AnswerCarrier("n2", ATTEMPT_ID, 200, headers, body, False, True, 1, [])


def chosen_entry(head=None, until_whole=False):
    """Return an entry node that has chosen an answer to forward."""
    entry = EntryNode()
    entry.take(head or head_of())
    entry.apply(ForwardAnswer(entry.call_id, ATTEMPT_ID, until_whole))
    return entry


def send_body(entry):
    """Let the body arrive in parts, as far as credit allows."""
    for start in range(0, len(BODY), 10_000):
        is_last = start + 10_000 >= len(BODY)
        entry.take(answer_part(BODY[start : start + 10_000], is_last))


def status_of(entry):
    (answer,) = entry.exchange.recorded
    status, body, is_ended = answer
    assert (body, is_ended) == (b"", True)
    return status


def test_a_head_is_sent_on_with_the_first_part_of_the_body():
    async def scenario():
        entry = chosen_entry()
        assert entry.exchange.recorded == []
        entry.take(answer_part(b"first", False))
        assert entry.exchange.recorded == [(200, b"first", False)]

    asyncio.run(scenario())


@pytest.mark.parametrize("headers", [[], [(b"content-length", b"0")]])
def test_the_head_of_an_answer_without_a_length_is_sent_on_at_once(headers):
    """Guards against a stream whose head waits for its first event."""

    async def scenario():
        entry = chosen_entry(head_of(headers=headers))
        assert entry.exchange.recorded == [(200, b"", False)]

    asyncio.run(scenario())


def test_an_answer_is_given_up_only_if_no_part_of_it_was_sent():
    """Guards against a stop that cuts a connection without an answer."""

    async def scenario():
        entry = chosen_entry()
        entry.apply(GiveUpAnswer(entry.call_id))
        assert status_of(entry) == 502
        assert entry.posted[-1] == AnswerGivenUp(entry.call_id)
        assert entry.side.open_calls == 0

        entry = chosen_entry(head_of(body=b"first"))
        entry.apply(GiveUpAnswer(entry.call_id))
        assert entry.exchange.recorded == [(200, b"first", False)]
        assert entry.side.open_calls == 1

    asyncio.run(scenario())


def test_an_answer_whose_owner_is_lost_before_its_body_gets_502():
    async def scenario():
        entry = chosen_entry()
        entry.apply(CutAnswer(entry.call_id, ATTEMPT_ID))
        assert status_of(entry) == 502

    asyncio.run(scenario())


def test_an_answer_that_breaks_off_before_its_body_gets_502():
    async def scenario():
        entry = chosen_entry()
        entry.take(answer_part(b"", True, is_whole=False))
        assert status_of(entry) == 502
        assert entry.side.open_calls == 0

    asyncio.run(scenario())


def test_an_overdue_answer_without_a_part_of_its_body_gets_504():
    async def scenario():
        entry = chosen_entry()
        entry.apply(AnswerOverdue(entry.call_id, ATTEMPT_ID))
        async with asyncio.timeout(2):
            while not entry.exchange.recorded:
                await asyncio.sleep(0.01)
        assert status_of(entry) == 504
        assert entry.posted[-1] == CallerGone(entry.call_id)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("first", "is_asked_later"), [(b"", False), (BODY[:10_000], False), (b"", True)]
)
def test_a_kept_answer_is_sent_in_one_piece_once_it_is_whole(first, is_asked_later):
    """Guards against an answer that is cut in its middle by a stop."""

    async def scenario():
        entry = chosen_entry(head_of(body=first), until_whole=not is_asked_later)
        entry.apply(ForwardAnswer(entry.call_id, ATTEMPT_ID, True))
        for start in range(len(first), len(BODY), 10_000):
            assert entry.exchange.recorded == []
            part = BODY[start : start + 10_000]
            entry.take(answer_part(part, start + 10_000 >= len(BODY)))
        assert entry.exchange.recorded == [(200, BODY, True)]
        assert entry.side.open_calls == 0

    asyncio.run(scenario())


def test_a_kept_answer_gets_credit_while_it_arrives():
    """Guards against an owner node that waits for credit until the stop."""

    async def scenario():
        entry = chosen_entry(until_whole=True)
        entry.exchange.is_writable = False
        send_body(entry)
        credits = [
            item
            for item in entry.carrier_delivery.carriers
            if isinstance(item, AnswerCredit)
        ]
        assert credits
        assert entry.exchange.recorded == [(200, BODY, True)]

    asyncio.run(scenario())


def test_a_kept_answer_that_breaks_off_gets_502():
    async def scenario():
        entry = chosen_entry(until_whole=True)
        entry.take(answer_part(BODY[:10_000], False))
        entry.take(answer_part(b"", True, is_whole=False))
        assert status_of(entry) == 502

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [(1 << 20) + 1, 64 << 20])
def test_an_answer_that_is_too_long_to_be_kept_is_sent_on_as_it_arrives(size):
    """Guards against a stopping node whose memory fills with answers."""

    async def scenario():
        entry = chosen_entry(head_of(size), until_whole=True)
        entry.take(answer_part(b"first", False))
        assert entry.exchange.recorded == [(200, b"first", False)]

    asyncio.run(scenario())


def test_the_memory_for_kept_answers_is_bounded_and_given_back():
    async def scenario():
        forwarding = EntryNode().side.answers
        calls = [chosen_entry().exchange.context for _ in range(10)]
        for call in calls:
            forwarding._keep(call, 1 << 20)
        assert [bool(call.kept_bytes) for call in calls] == [True] * 8 + [False] * 2
        forwarding.release(calls[0])
        forwarding._keep(calls[-1], 1 << 20)
        assert calls[-1].kept_bytes

    asyncio.run(scenario())
