"""Decides whether an attempt may wait for a slot, or is refused at once."""

from papayapost.ids import Micros
from papayapost.traffic.messages import AttemptOffer

__all__ = ["is_wait_worthwhile", "longest_hold_us"]

_MAX_TARGET_SHARE = 0.25
"""Longest expected wait, as a share of the time that is left to the target."""

_MAX_LATE_SHARE = 1 / 16
"""The same as a share of the time budget, for attempts near or past their
target. Deadlines are two to four targets away."""

_HOLD_PER_WAIT = 2
"""Longest time in the queue, as a multiple of the longest expected wait. More
urgent attempts that come later may overtake an attempt without end."""


def is_wait_worthwhile(
    offer: AttemptOffer, wait_us: float, min_service_us: float
) -> bool:
    """Return whether an attempt is better off in the queue than refused.

    Load pattern: a burst of more calls than there are slots. If attempts wait
    as long as they can still meet their target, all of them wait that long:
    half of them are answered too late, and the others are refused after a time
    in which their callers could have tried elsewhere. Slots are in use as long
    as anybody waits, so a short queue serves as many calls.

    Parameters
    ----------
    wait_us
        Expected time in µs until the attempt starts.
    min_service_us
        Shortest time in µs for which such an attempt holds its slot.
    """
    if wait_us + min_service_us > offer.budget_us:
        return False
    if offer.target_us is None:
        return True
    return wait_us <= _longest_wait_us(offer, offer.target_us)


def longest_hold_us(offer: AttemptOffer) -> Micros | None:
    """Return after which time in µs a queued attempt is given back.

    The result is None if the attempt may wait for its whole budget.
    """
    if offer.target_us is None:
        return None
    return Micros(int(_HOLD_PER_WAIT * _longest_wait_us(offer, offer.target_us)))


def _longest_wait_us(offer: AttemptOffer, target_us: Micros) -> float:
    return max(target_us * _MAX_TARGET_SHARE, offer.budget_us * _MAX_LATE_SHARE)
