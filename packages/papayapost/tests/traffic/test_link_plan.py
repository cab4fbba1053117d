"""Tests that an owner node runs no request whose answer its link cannot send.

Answers that a backend server had given waited behind others for the link of
the owner node, for longer than the node of their callers lived.
"""

import heapq
from random import Random

import pytest

from papayapost.ids import Micros, NodeId
from papayapost.traffic import (
    AnswerBlocked,
    AnswerUnblocked,
    AttemptCancel,
    BackendCallBegun,
    BackendCallEnded,
    DrainRequested,
    RefusalCode,
    TrafficOptions,
)
from papayapost_testing.load_patterns.links import SimulatedLink
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import RULES, Owner, refusals, started

LINK_MBPS = 14.0
SLOTS = 9
WORK_US = 310_000
ANSWER_BYTES = 90_000
SENDING_US = int(ANSWER_BYTES / (LINK_MBPS * 0.7 / 8))
BUDGET_US = Micros(9_543_000)
DRAIN_LIMIT_US = Micros(5_580_000)


class LinkedOwner(Owner):
    """An owner node whose answers are all large, and their way to callers.

    Attributes
    ----------
    waits_us
        Time from the end of each answer until it was sent, and the time at
        which it was sent, in µs.
    """

    def __init__(self, link_mbps=LINK_MBPS, limit_us=DRAIN_LIMIT_US):
        own = backend_row("owner", "gusts", slots=SLOTS)
        own.link_mbps = link_mbps
        options = TrafficOptions(drain_limit_us=limit_us)
        super().__init__(node=traffic_world(own, [], RULES, options=options))
        self.link = SimulatedLink(link_mbps)
        self.waits_us: list[int] = []
        self.sent_us: list[int] = []
        self.refused: list[RefusalCode] = []
        self._queue: list = []
        self._count = 0

    def call_at(self, at_us, action):
        self._count += 1
        heapq.heappush(self._queue, (at_us, self._count, action))

    def run_until(self, end_us):
        while self._queue and self._queue[0][0] <= end_us:
            at_us, _, action = heapq.heappop(self._queue)
            self.now_us = max(self.now_us, at_us)
            action()
        self.now_us = max(self.now_us, end_us)

    def request(self, answer_bytes=ANSWER_BYTES, **fields):
        offer = self.offer(budget_us=BUDGET_US, **fields)
        self.handle(self.tick(offer, after_us=0), answer_bytes)
        return offer

    def handle(self, effects, answer_bytes=ANSWER_BYTES):
        self.refused += refusals(effects).values()
        for attempt_id in started(effects):
            self.call_at(
                self.now_us + WORK_US,
                lambda attempt_id=attempt_id: self.answer(attempt_id, answer_bytes),
            )

    def answer(self, attempt_id, answer_bytes):
        sent_us = self.link.send(answer_bytes, self.now_us)
        self.waits_us.append(sent_us - self.now_us)
        self.sent_us.append(sent_us)
        begun = BackendCallBegun(attempt_id, 200)
        ended = BackendCallEnded(attempt_id, True, True, answer_bytes=answer_bytes)
        if sent_us == self.now_us:
            self.handle(self.tick(begun, ended, after_us=0))
            return
        blocked = AnswerBlocked(attempt_id)
        self.handle(self.tick(begun, ended, blocked, after_us=0))
        unblocked = AnswerUnblocked(attempt_id)
        self.call_at(sent_us, lambda: self.handle(self.tick(unblocked, after_us=0)))

    def load(self, seconds, per_s, random):
        end_us = self.now_us + seconds * 1_000_000
        while self.now_us < end_us:
            size = int(min(540_000, random.lognormvariate(11.23, 0.6)))
            self.request(size)
            self.run_until(self.now_us + int(1e6 / per_s))


@pytest.mark.parametrize("load", [1.2, 1.6, 3.0])
def test_no_answer_waits_for_the_link_for_longer_than_a_stopping_node_lives(load):
    """Guards against answers that are cut off with the caller's node."""
    owner = LinkedOwner()
    owner.load(20, load * 1e6 / SENDING_US, Random(1))
    assert max(owner.waits_us) < DRAIN_LIMIT_US
    assert set(owner.refused) == {RefusalCode.DEADLINE}
    assert owner.tables.counters.link_full > 0
    # The link is busy all the time, so that it sends as much as it can.
    assert owner.link.send(ANSWER_BYTES, owner.now_us) > owner.now_us + 1_000_000


def test_nothing_is_refused_for_a_link_that_carries_all_answers():
    owner = LinkedOwner()
    owner.load(20, 0.8 * 1e6 / SENDING_US, Random(1))
    assert owner.refused == []


@pytest.mark.parametrize("link_mbps", [0.0, 1000.0])
def test_nothing_is_refused_for_a_link_that_is_fast_or_of_unknown_rate(link_mbps):
    owner = LinkedOwner(link_mbps)
    owner.load(20, 1.6 * 1e6 / SENDING_US, Random(1))
    assert owner.refused == []


def test_an_answer_that_cannot_be_sent_before_its_deadline_is_not_begun():
    """Guards against slots that are filled with answers in vain."""
    owner = LinkedOwner(limit_us=None)
    owner.load(20, 3 * 1e6 / SENDING_US, Random(1))
    assert owner.refused
    assert max(owner.waits_us) + WORK_US < BUDGET_US + 8 * SENDING_US


def full_owner():
    """Return an owner node whose link is busy for long."""
    owner = LinkedOwner()
    owner.load(10, 1.6 * 1e6 / SENDING_US, Random(1))
    for _ in range(8):
        owner.request()
    assert owner.refused
    return owner


def test_a_full_link_refuses_no_attempt_of_the_own_node():
    owner = full_owner()
    refused = len(owner.refused)
    own = owner.request(sender=NodeId("owner"))
    assert len(owner.refused) == refused
    assert own.attempt_id in owner.tables.attempts


def test_a_full_link_refuses_no_attempt_whose_answer_is_small():
    owner = full_owner()
    owner.request(100, rule_target_us=Micros(800_000))
    owner.run_until(owner.now_us + WORK_US)
    refused = len(owner.refused)
    owner.request(100, rule_target_us=Micros(800_000))
    assert len(owner.refused) == refused


def test_answers_that_are_not_needed_any_more_make_room():
    """Guards against refusals for a link that has nothing left to send."""
    owner = full_owner()
    for attempt_id in list(owner.tables.blocked_answers):
        owner.tick(AttemptCancel(NodeId("entry"), attempt_id), after_us=0)
    for row in list(owner.tables.attempts):
        owner.tick(AttemptCancel(NodeId("entry"), row.offer.attempt_id), after_us=0)
        ended = BackendCallEnded(row.offer.attempt_id, True, False)
        owner.tick(ended, after_us=0)
    refused = len(owner.refused)
    owner.request()
    assert len(owner.refused) == refused


def test_a_stopping_owner_counts_the_wait_for_its_link():
    """Guards against answers that the owner node itself cannot send."""
    owner = LinkedOwner()
    owner.load(4, 1.6 * 1e6 / SENDING_US, Random(1))
    assert owner.refused == []
    owner.tick(DrainRequested(2_000), after_us=0)
    owner.request()
    assert owner.refused == [RefusalCode.DEADLINE]
