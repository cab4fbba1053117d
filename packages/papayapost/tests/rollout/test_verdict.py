"""How often versions are judged falsely, over 1,000 seeds each.

A bad version that passes harms its callers; a good one that is refused is
rolled back without need.
"""

from collections import Counter
from enum import Enum
from random import Random

import pytest

from papayapost.rollout.counts import RouteCounts, time_class
from papayapost.rollout.verdict import Evidence, Judgement

SEEDS = 1_000
ROUTES = {11: 0.55, 12: 0.3, 13: 0.15}
"""Routes with their shares of the calls."""

STEPS = 100
OLD_ANSWERS = 60
NEW_ANSWERS = 2
"""Answers of each version in a step of 250 ms."""

MOST_ANSWERS_UNTIL_BAD = 60
"""Answers from the first possible bad one within which all but a few bad
versions must be found. A roll-out of 30 s at 85 requests/s may expose 305."""


class Fault(Enum):
    """What makes a version bad."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"


class Play:
    """Answers of an old and a new version on servers of differing speeds."""

    def __init__(self, seed, fault, from_step=0, route=None):
        self.random = Random(seed)
        self.fault, self.from_step, self.route = fault, from_step, route
        self.spread = self.random.choice([0.05, 0.3, 0.6])
        self.mean_us = {r: self.random.uniform(40_000, 500_000) for r in ROUTES}
        self.failure_share = self.random.choice([0.0, 0.0, 0.01])
        self.old_speeds = [self.random.uniform(0.6, 1.6) for _ in range(12)]
        self.new_speed = self.random.uniform(0.6, 1.6)
        self.evidence = Evidence()
        self.answers_when_bad = None

    def run(self):
        answers = 0
        for step in range(STEPS):
            self.add(self.evidence.add_old, OLD_ANSWERS, None)
            self.add(self.evidence.add_new, NEW_ANSWERS, step)
            if step >= self.from_step:
                answers += NEW_ANSWERS
            if self.evidence.verdict().judgement is Judgement.BAD:
                self.answers_when_bad = answers
                return self
        return self

    def add(self, add, count, new_step):
        """Add answers of the new version in a step, or None for the old."""
        random = self.random
        times, failures, answers = {}, Counter(), Counter()
        for route in random.choices(list(ROUTES), ROUTES.values(), k=count):
            is_new = new_step is not None
            speed = self.new_speed if is_new else random.choice(self.old_speeds)
            time_us = self.mean_us[route] * random.lognormvariate(0, self.spread)
            time_us /= speed
            is_failed = random.random() < self.failure_share
            is_reached = is_new and new_step >= self.from_step
            is_on_route = self.route in (None, route)
            if is_reached and is_on_route and random.random() < 0.5:
                is_failed = is_failed or self.fault is Fault.FAILS
                time_us *= 8 if self.fault is Fault.SLOW else 1
            answers[route] += 1
            if is_failed:
                failures[route] += 1
            else:
                times.setdefault(route, Counter())[time_class(time_us)] += 1
        for route, number in answers.items():
            classes = tuple(sorted(times.get(route, {}).items()))
            add(RouteCounts(route, number, failures[route], classes))


def test_good_versions_are_seldom_refused():
    plays = [Play(seed, Fault.NONE).run() for seed in range(SEEDS)]
    refused = sum(play.answers_when_bad is not None for play in plays)
    accepted = sum(
        play.evidence.verdict().judgement is Judgement.GOOD for play in plays
    )
    assert refused <= 0.01 * SEEDS
    assert accepted >= 0.9 * SEEDS


@pytest.mark.parametrize("fault", [Fault.FAILS, Fault.SLOW])
@pytest.mark.parametrize("from_step", [0, 40])
def test_no_bad_version_passes(fault, from_step):
    plays = [Play(seed, fault, from_step).run() for seed in range(SEEDS)]
    assert all(play.answers_when_bad is not None for play in plays)
    late = [p for p in plays if p.answers_when_bad > MOST_ANSWERS_UNTIL_BAD]
    assert len(late) <= 0.01 * SEEDS


@pytest.mark.parametrize("fault", [Fault.FAILS, Fault.SLOW])
@pytest.mark.parametrize("route", list(ROUTES))
def test_no_version_passes_that_is_bad_on_one_route_only(fault, route):
    plays = [Play(seed, fault, route=route).run() for seed in range(SEEDS)]
    passed = [
        play
        for play in plays
        if play.answers_when_bad is None
        and play.evidence.verdict().judgement is Judgement.GOOD
    ]
    assert not passed
