"""Decides whether an attempt may wait for a slot, or is refused at once."""

from papayapost.ids import Micros
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import Standing

__all__ = ["QueueWaits", "longest_hold_us", "longest_wait_us"]

_MAX_TARGET_SHARE = 0.25
"""Longest expected wait, as a share of the time that is left to the target."""

_SHORT_WAIT_US = 125_000
_SHORT_WAIT_BUDGET_SHARE = 0.25
"""Expected wait that is always worthwhile, unless it is more than a quarter of
the time budget. Inner calls have short targets, but refusing one costs the
call that waits for it."""

_MAX_INNER_TARGET_SHARE = 0.5
"""The same for calls of running requests: a call that waits as long as this is
still in time, and its refusal costs all that the request has used already."""

_OUTRANKED_US = 500_000
"""Time after the refusal of an attempt in which less urgent ones don't queue.
In a burst, urgent attempts are refused several times in it."""

_NEVER_US = -(1 << 60)
_HOLD_PER_WAIT = 2
"""Longest time in the queue, as a multiple of the longest expected wait. More
urgent attempts that come later may overtake an attempt without end."""


class QueueWaits:
    """Decides whether an attempt is better off in the queue than refused.

    Load pattern: a burst of more calls than there are slots. If attempts wait
    as long as they can still meet their target, all of them wait that long:
    half of them are answered too late, and the others are refused after a time
    in which their callers could have tried elsewhere. Slots are in use as long
    as anybody waits, so a short queue serves as many calls.

    Less urgent work often has longer targets, and could wait where more urgent
    attempts are refused. It may not wait until these are no longer refused.
    """

    def __init__(self):
        # The first entry is that of calls of running requests.
        self._refused_us = [_NEVER_US] * (1 + len(Rank))

    def is_worthwhile(
        self,
        offer: AttemptOffer,
        wait_us: float,
        min_service_us: float,
        now_us: Micros,
        standing: Standing = Standing.ORDINARY,
    ) -> bool:
        """Return whether an attempt may queue, and record it if not.

        Parameters
        ----------
        wait_us
            Expected time in µs until the attempt starts.
        min_service_us
            Shortest time in µs for which such an attempt holds its slot.
        standing
            How the attempt competes with others.
        """
        is_in_vain = wait_us + min_service_us > offer.budget_us
        if is_in_vain or offer.target_us is None:
            return not is_in_vain
        is_short = wait_us <= longest_wait_us(offer, offer.target_us, standing)
        place = 0 if standing is Standing.INNER_CALL else 1 + offer.rank
        if wait_us and not is_short:
            self._refused_us[place] = now_us
        if standing is Standing.BELOW_FLOOR or not wait_us:
            return is_short
        return is_short and not self._is_outranked(place, now_us)

    def _is_outranked(self, place: int, now_us: Micros) -> bool:
        latest_us = max(self._refused_us[:place], default=_NEVER_US)
        return now_us - latest_us < _OUTRANKED_US


def longest_hold_us(
    offer: AttemptOffer, standing: Standing = Standing.ORDINARY
) -> Micros | None:
    """Return after which time in µs a queued attempt is given back.

    The result is None if the attempt may wait for its whole budget.
    """
    if offer.target_us is None:
        return None
    longest_us = longest_wait_us(offer, offer.target_us, standing)
    if standing is Standing.INNER_CALL:
        # No rank goes before it, and its target has almost passed by then.
        return Micros(int(longest_us))
    return Micros(int(_HOLD_PER_WAIT * longest_us))


def longest_wait_us(
    offer: AttemptOffer,
    target_us: Micros,
    standing: Standing = Standing.ORDINARY,
) -> float:
    """Return the longest expected wait in µs with which an attempt may queue.

    Parameters
    ----------
    target_us
        Time in µs that was left to the target when the attempt arrived.
    standing
        How the attempt competes with others.
    """
    short_us = min(_SHORT_WAIT_US, offer.budget_us * _SHORT_WAIT_BUDGET_SHARE)
    if standing is Standing.OVER_SHARE:
        # Attempts of other accounts that come later would overtake it.
        return short_us
    is_inner = standing is Standing.INNER_CALL
    share = _MAX_INNER_TARGET_SHARE if is_inner else _MAX_TARGET_SHARE
    return max(target_us * share, short_us)
