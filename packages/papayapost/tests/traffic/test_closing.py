"""Tests of the last calls of a stopping entry node.

Callers saw connections that ended without an answer, while answers waited for
the link of an owner node.
"""

import pytest

from papayapost.ids import CallId
from papayapost.membership import DirectoryChanged
from papayapost.states import BackendServerState, Outcome
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AnswerGivenUp,
    AttemptCancel,
    CallRefusal,
    DrainComplete,
    DrainRequested,
    ForwardAnswer,
    GiveUpAnswer,
)
from papayapost.traffic.entry.tables import QuotaWaitRow
from papayapost.traffic.internal import DrainLimitPassed
from papayapost_testing.traffic_worlds import backend_row

from .owners import sent_messages
from .test_balancing import Entry, only

RULES = "route GET /gusts/* -> gusts idempotent=yes timeout_ms=30000 # Mei: desk\n"
LIMIT_MS = 5_000


@pytest.fixture
def entry():
    rows = [backend_row("a", "gusts"), backend_row("b", "gusts")]
    return Entry(rows, RULES)


def begin(entry, offer):
    """Let the head of an answer arrive, and return the effects."""
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    return entry.tick(AnswerBegun(sender, attempt_id, 200, 1))


def forwarded(effects):
    return [item for item in effects if isinstance(item, ForwardAnswer)]


def is_until_whole(effects):
    (item,) = forwarded(effects)
    return item.until_whole


def test_an_answer_is_sent_on_as_it_arrives_while_no_node_stops(entry):
    assert not is_until_whole(begin(entry, only(entry.call())))


def test_answers_of_a_draining_node_are_not_begun_before_they_are_whole(entry):
    """Guards against an answer that is cut in its middle by the stop."""
    early, late = only(entry.call()), only(entry.call())
    begin(entry, early)
    assert is_until_whole(entry.tick(DrainRequested(LIMIT_MS)))
    assert is_until_whole(begin(entry, late))


def test_answers_of_a_draining_owner_are_not_begun_before_they_are_whole(entry):
    """Guards against answers that end with the process of the owner node."""
    offers = [only(entry.call()) for _ in range(2)]
    for offer in offers:
        begin(entry, offer)
    owner = offers[0].address.partition(":")[0]
    row = entry.node.directory.require(owner)
    row.state = BackendServerState.DRAINING
    here = [item for item in offers if item.address == offers[0].address]
    items = forwarded(entry.tick(DirectoryChanged((row,))))
    assert [item.attempt_id for item in items] == [o.offer.attempt_id for o in here]
    assert all(item.until_whole for item in items)


def test_calls_that_are_left_at_the_limit_are_answered(entry):
    """Guards against connections that end without any answer."""
    running, answering = only(entry.call()), only(entry.call())
    begin(entry, answering)
    entry.tick(DrainRequested(LIMIT_MS))
    effects = entry.tick(after_us=LIMIT_MS * 1_000)
    (refused,) = [item for item in effects if isinstance(item, CallRefusal)]
    assert (refused.call_id, refused.status) == (CallId(1), 502)
    assert refused.outcome is Outcome.UNKNOWN
    assert [item for item in effects if isinstance(item, GiveUpAnswer)] == [
        GiveUpAnswer(CallId(2))
    ]
    (cancelled,) = sent_messages(effects, AttemptCancel)
    assert cancelled.attempt_id == running.offer.attempt_id
    assert DrainComplete(False) in effects


def test_an_answer_that_was_given_up_is_cancelled_at_its_owner(entry):
    offer = only(entry.call())
    begin(entry, offer)
    effects = entry.tick(AnswerGivenUp(CallId(1)))
    (cancelled,) = sent_messages(effects, AttemptCancel)
    assert cancelled.attempt_id == offer.offer.attempt_id
    assert not len(entry.node.traffic.calls.calls)
    assert entry.node.traffic.calls.counters.unknown_outcomes == 1
    # The answer may arrive all the same.
    ended = AnswerEnded(offer.offer.sender, offer.offer.attempt_id, True)
    assert not forwarded(entry.tick(ended))


def test_a_held_call_is_refused_as_not_run_at_the_limit():
    held = Entry([], rules="")
    held.call()
    held.tick(DrainRequested(LIMIT_MS))
    held.call()
    assert len(held.node.traffic.calls.held) == 2
    effects = held.tick(DrainLimitPassed())
    refused = [item for item in effects if isinstance(item, CallRefusal)]
    assert [item.outcome for item in refused] == [Outcome.NOT_RUN] * 2


def test_a_call_that_waits_for_a_token_is_refused_as_not_run_at_the_limit(entry):
    """Guards against a quota wait that ends with the process."""
    entry.call()
    tables = entry.node.traffic.calls
    call = tables.calls.require(CallId(1))
    tables.calls.pop(CallId(1))
    tables.quota_waits.put(CallId(1), QuotaWaitRow(call))
    entry.tick(DrainRequested(LIMIT_MS))
    effects = entry.tick(DrainLimitPassed())
    (refused,) = [item for item in effects if isinstance(item, CallRefusal)]
    assert (refused.status, refused.outcome) == (503, Outcome.NOT_RUN)
    assert not len(tables.quota_waits)
