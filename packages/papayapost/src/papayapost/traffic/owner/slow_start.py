"""Limits a backend server that has just started, by how it answers."""

from enum import Enum

from papayapost.ids import Micros
from papayapost.kernel import Table
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.concurrency import ConcurrencyLimit
from papayapost.traffic.owner.tables import WorkClass, work_class

__all__ = ["AdaptiveStart", "StartState"]

_FIRST_SHARE = 0.25
"""Share of the slots that a server gets first, at least one slot. A server
that is five times as slow does with it what it does with all slots later."""

_MIN_ROUND_ANSWERS = 2
"""Fewest answers that are compared before the limit changes. The times of
similar work vary by half, so that one answer says little."""

_OWN_TOLERANCE = 1.5
"""Mean time of a round, in multiples of the server's own earlier times, up to
which it counts as near them."""

_SIBLING_TOLERANCE = 2.0
"""The same in multiples of other servers' times. Servers of one service differ
in speed, the slowest takes 1.6 times the mean."""

_HARMLESS_TARGET_SHARE = 2 / 3
"""Share of its rule's target that the answers of a round may take on average,
whatever others take. Their callers lose nothing, and holding back such a
server would refuse calls that it answers in time."""

_MAX_START_US = 12_000_000
"""Longest time for which a server is held back. The longest known cold time is
10 s; a server that is slow for longer is not starting but slow, and placement
gives it less for that."""

_OWN_TIME_WEIGHT = 0.05
_MAX_CLASSES = 256


class StartState(Enum):
    """Whether a backend server is still being tried out."""

    GROWING = "growing"
    STEADY = "steady"


class AdaptiveStart(ConcurrencyLimit):
    """Finds the pace of a backend server that has just started.

    Load pattern: servers that are restarted, one or five at a time, and take
    two to five times as long for some seconds. A ramp of fixed length ends
    before a server is warm that is cold for longer, and it bounds only draws
    among servers with free slots: when the others are full, a cold server
    gets all that it has slots for, and many of these calls miss their targets.

    The limit starts at a quarter of the slots. Answers are compared in rounds
    of as many answers as the limit: if their times are near the server's own
    earlier times or, without any, near those of its siblings, the limit is
    doubled; otherwise it is halved. A server that recovers without a restart
    keeps its limit.

    Parameters
    ----------
    inner
        Limit of a server that is not starting. The lower limit counts.
    slots
        Calls that the backend server runs at once.
    """

    def __init__(self, inner: ConcurrencyLimit, slots: int):
        self._inner = inner
        self._slots = slots
        self._start_limit = slots
        self._began_us = Micros(0)
        self._answers = 0
        self._ratio_sum = 0.0
        self._own_us: Table[WorkClass, float] = Table("own slot times")
        self.state = StartState.STEADY
        self.limit = inner.limit

    def resize(self, slots: int) -> None:
        """Set the number of slots; a server that grows keeps its limit."""
        self._slots = slots
        self._inner.resize(slots)
        if self.state is StartState.STEADY:
            self._start_limit = slots
        self._refresh()

    def shed(self, now_us: Micros) -> None:
        """Step back if the server is starting."""
        self._inner.shed(now_us)
        if self.state is StartState.GROWING:
            self._step(False)
        self._refresh()

    def ended(
        self, rank: Rank, held_us: int, is_saturated: bool, now_us: Micros
    ) -> None:
        """Record an attempt that was answered completely."""
        self._inner.ended(rank, held_us, is_saturated, now_us)
        self._refresh()

    def server_started(self, age_us: int, now_us: Micros) -> bool:
        """Start low, unless the process has been running for long."""
        if age_us >= _MAX_START_US:
            return False
        self.state = StartState.GROWING
        self._start_limit = self._first_limit
        self._began_us = now_us
        self._begin_round()
        self._refresh()
        return True

    def answered(self, offer: AttemptOffer, held_us: int, now_us: Micros) -> bool:
        """Compare the time of an answer; change the limit after a round."""
        if self.state is StartState.STEADY:
            self._learn(offer, held_us)
            return False
        self._ratio_sum += self._ratio(offer, held_us)
        self._answers += 1
        if now_us - self._began_us >= _MAX_START_US:
            self._become_steady()
        elif self._answers >= max(_MIN_ROUND_ANSWERS, self._start_limit):
            self._step(self._ratio_sum <= self._answers)
        self._refresh()
        return self.state is StartState.STEADY

    def _ratio(self, offer: AttemptOffer, held_us: int) -> float:
        """Return the time in multiples of the longest that counts as near."""
        near_us = (offer.rule_target_us or 0) * _HARMLESS_TARGET_SHARE
        own_us = self._own_us.get(work_class(offer))
        if own_us is not None:
            near_us = max(near_us, own_us * _OWN_TOLERANCE)
        elif offer.sibling_us is not None:
            near_us = max(near_us, offer.sibling_us * _SIBLING_TOLERANCE)
        return held_us / near_us if near_us else 1.0

    def _step(self, is_near: bool) -> None:
        if is_near and self._start_limit >= self._slots:
            self._become_steady()
        elif is_near:
            self._start_limit = min(self._slots, self._start_limit * 2)
        else:
            self._start_limit = max(self._first_limit, self._start_limit // 2)
        self._begin_round()

    @property
    def _first_limit(self) -> int:
        return max(1, int(self._slots * _FIRST_SHARE))

    def _become_steady(self) -> None:
        self.state = StartState.STEADY
        self._start_limit = self._slots

    def _begin_round(self) -> None:
        self._answers, self._ratio_sum = 0, 0.0

    def _learn(self, offer: AttemptOffer, held_us: int) -> None:
        work = work_class(offer)
        known_us = self._own_us.get(work)
        if known_us is None:
            if len(self._own_us) >= _MAX_CLASSES:
                oldest, _ = next(iter(self._own_us.items()))
                self._own_us.pop(oldest)
            known_us = float(held_us)
        learned_us = known_us + _OWN_TIME_WEIGHT * (held_us - known_us)
        self._own_us.put(work, learned_us)

    def _refresh(self) -> None:
        self.limit = min(self._inner.limit, self._start_limit)
