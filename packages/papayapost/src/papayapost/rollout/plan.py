"""Plans how many requests a version on trial may get, and when all may move.

The bound counts the whole time from the order to its deadline. A version that
turns bad when all calls have moved to it gets every request until then, so the
move comes as late as it can, and the trial leaves room for it.
"""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.rollout.tables import RolloutLimits

__all__ = ["RolloutTimes", "TrialPlan", "planned_share"]

_WRITE_MARGIN_US = 400_000
"""Time between the last moment for the final status and the deadline."""

_MIN_SHIFT_US = 1_000_000
_MAX_SHIFT_US = 2_500_000
_SHIFT_PROPAGATION_US = 500_000
_SHIFT_ANSWER_TIMES = 2.0
"""Time for the move: that until all nodes know of it, and that in which the
attempts at the old servers end."""

_RATE_MARGIN = 1.15
"""How much more requests than of late may come during the move."""

_TRIAL_PART = 0.7
_MIN_SHARE = 0.01
_MAX_PART = 0.4
"""Part of the room beside the move that the trial uses, least share of the
requests, and largest part of the allowed share."""

_SLACK_PART = 0.4
"""Part of the slack for the trial. Two regions that have lost each other may
use it each."""

_SHIFT_SLACK_PART = 0.7
_ABORT_SLACK_PART = 0.85
_LEASE_S = 0.9
"""Time for which nodes may go on with the move after it was called off."""


@define(frozen=True)
class RolloutTimes:
    """Times of an order by this node's clock.

    Parameters
    ----------
    early_us, late_us
        Earliest and latest time in µs at which the order may have been
        written.
    duration_us
        Time in µs from then to the deadline.
    """

    early_us: Micros
    late_us: Micros
    duration_us: Micros

    @property
    def finish_by_us(self) -> Micros:
        """Time in µs by which the final status is to be written."""
        return Micros(self.early_us + self.duration_us - _WRITE_MARGIN_US)

    @property
    def end_us(self) -> Micros:
        """Latest time in µs of the deadline."""
        return Micros(self.late_us + self.duration_us)

    def shift_us(self, answer_us: float) -> Micros:
        """Return when all calls are to move.

        Parameters
        ----------
        answer_us
            Time in µs in which nine of ten answers are sent.
        """
        return Micros(self.finish_by_us - shift_span_us(answer_us))


def shift_span_us(answer_us: float) -> int:
    """Return the time in µs that the move of all calls takes."""
    span_us = _SHIFT_PROPAGATION_US + _SHIFT_ANSWER_TIMES * answer_us
    return int(min(_MAX_SHIFT_US, max(_MIN_SHIFT_US, span_us)))


def planned_share(
    limits: RolloutLimits, times: RolloutTimes, answer_us: float
) -> float:
    """Return the share of all requests that the trial may use."""
    duration_us = times.duration_us
    shift_us = times.end_us - times.shift_us(answer_us)
    room_us = limits.exposure_share * duration_us - _RATE_MARGIN * shift_us
    share = _TRIAL_PART * room_us / duration_us
    return min(_MAX_PART * limits.exposure_share, max(_MIN_SHARE, share))


@define(frozen=True)
class TrialPlan:
    """What is left of the exposure, by the counts so far.

    Parameters
    ----------
    exposed, total
        Attempts that ran on the target version and on all versions.
    rate_per_s
        Requests of the service per second of late.
    """

    limits: RolloutLimits
    exposed: int
    total: int
    rate_per_s: float

    def trial_room(self, share: float) -> int:
        """Return how many further attempts the trial may get now."""
        slack = _SLACK_PART * self.limits.exposure_slack
        return max(0, int(share * self.total + slack) - self.exposed)

    def may_shift(self, left_us: int) -> bool:
        """Return whether all requests until the deadline stay in the bound.

        The requests of the move itself count for the total too, but fewer of
        them may come than of late.
        """
        limits, coming = self.limits, self.rate_per_s * left_us / 1e6
        allowed = limits.exposure_share * (self.total + 0.8 * coming)
        allowed += _SHIFT_SLACK_PART * limits.exposure_slack
        return self.exposed + _RATE_MARGIN * coming <= allowed

    def must_end_shift(self) -> bool:
        """Return whether the move must end now to stay in the bound."""
        limits = self.limits
        allowed = limits.exposure_share * self.total
        allowed += _ABORT_SLACK_PART * limits.exposure_slack
        return self.exposed + self.rate_per_s * _LEASE_S > allowed
