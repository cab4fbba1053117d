"""Tests the bound on the memory for answers that their callers do not read.

Clients that stopped reading filled the memory of owner nodes: the slot of the
backend server was free again, and the next answer was fetched.
"""

import asyncio

from papayapost.ids import AttemptId, Micros
from papayapost.traffic import AnswerUnblocked
from papayapost_node.exchange.backend_call import BackendCall
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.exchange.unsent_answers import UnsentAnswer, UnsentAnswers
from papayapost_node.http import HttpRequest
from papayapost_node.wire import AnswerCarrier, AnswerPart

from .test_backend_calls import ENTRY, run_scenario

LIMIT_BYTES = 100
BODY_BYTES = 200_000
WINDOW_BYTES = 32_768


class Answer(UnsentAnswer):
    """An answer that a test lets wait for its caller, or for the link."""

    waits_for_caller = True

    def __init__(self, answers):
        self.is_ended = False
        self._answers = answers

    def end_unread(self):
        assert not self.is_ended
        self.is_ended = True
        self._answers.remove(self)


def answers_of(count, size_bytes=25):
    answers = UnsentAnswers(LIMIT_BYTES)
    rows = [Answer(answers) for _ in range(count)]
    for row in rows:
        answers.update(row, size_bytes)
    return answers, rows


def ended(rows):
    return [row.is_ended for row in rows]


def test_nothing_ends_within_the_limit():
    answers, rows = answers_of(4)
    assert answers.total_bytes == LIMIT_BYTES
    assert ended(rows) == [False] * 4


def test_above_the_limit_the_answers_end_that_have_waited_longest():
    answers, rows = answers_of(5)
    assert ended(rows) == [True, True, False, False, False]
    assert answers.total_bytes == 75


def test_an_answer_that_its_caller_reads_goes_behind_the_others():
    """Guards against a crowd that ends the answers of ordinary callers."""
    answers, rows = answers_of(4)
    answers.update(rows[0], 20)
    answers.update(Answer(answers), 25)
    assert ended(rows) == [False, True, True, False]


def test_an_answer_that_waits_for_the_link_is_not_ended():
    answers, rows = answers_of(4)
    rows[0].waits_for_caller = False
    answers.update(Answer(answers), 25)
    assert ended(rows) == [False, True, True, False]


def test_an_answer_that_is_over_makes_room():
    answers, rows = answers_of(4)
    answers.remove(rows[3])
    answers.remove(rows[3])
    answers.update(Answer(answers), 25)
    assert ended(rows) == [False] * 4


def test_answers_without_credit_are_ended_and_their_memory_is_freed():
    async def scenario(owner, server):
        await server.start()
        owner.services.hold_bytes = 1 << 20
        owner.services.unsent = UnsentAnswers(3 * BODY_BYTES)
        calls = []
        for number in range(6):
            request = HttpRequest("GET", "/a", [(b"host", b"a")])
            owned = OwnedRequest(
                AttemptId(f"n1/{number}"), ENTRY, request, True, WINDOW_BYTES
            )
            call = BackendCall(owned, Micros(5_000_000), owner.services)
            calls.append(call)
            owner.pool.acquire(call.connection_ready)
            while not has_head(owner, owned.attempt_id):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert owner.services.unsent.total_bytes <= 3 * BODY_BYTES
        unsent = [call._output.unsent_bytes for call in calls]
        assert unsent[0] == 0 and unsent[-1] == BODY_BYTES - WINDOW_BYTES
        # The entry node learns that the answer is not whole.
        first = AttemptId("n1/0")
        parts = [
            item
            for item in owner.carrier_delivery.carriers
            if isinstance(item, AnswerPart) and item.attempt_id == first
        ]
        assert [(part.is_ended, part.is_whole) for part in parts] == [(True, False)]
        assert AnswerUnblocked(first) in owner.posted
        # A caller that reads gets its answer whole.
        calls[-1].grant(BODY_BYTES)
        assert owner.carrier_delivery.carriers[-1].is_ended
        assert owner.carrier_delivery.carriers[-1].is_whole

    async def script(reader, writer):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head.encode() + bytes(BODY_BYTES))

    run_scenario(scenario, script)


def has_head(owner, attempt_id):
    return any(
        isinstance(item, AnswerCarrier) and item.attempt_id == attempt_id
        for item in owner.carrier_delivery.carriers
    )
