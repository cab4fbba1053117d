"""Messages between admission control and the systems of claims."""

from enum import Enum

from papayapost.define import define
from papayapost.ids import AttemptId
from papayapost.storage import ObjectKey
from papayapost.traffic.messages import AttemptOffer

__all__ = [
    "ClaimNeeded",
    "ClaimRelease",
    "ClaimSettled",
    "ClaimVerdict",
    "ClaimsDue",
    "PartitionIdle",
]


class ClaimVerdict(Enum):
    """Result of a request to claim an idempotency key."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


@define
class ClaimNeeded:
    """Internal: an attempt may run only after its key has been claimed.

    Parameters
    ----------
    may_be_written
        Whether an update with this claim may have taken effect although its
        result is unknown.
    """

    offer: AttemptOffer
    may_be_written: bool = False


@define
class ClaimRelease:
    """Internal: an attempt with a claim will never run; delete the claim."""

    offer: AttemptOffer


@define
class ClaimSettled:
    """Internal: the result of an attempt's claim."""

    attempt_id: AttemptId
    verdict: ClaimVerdict


@define
class ClaimsDue:
    """Timer: a partition's wait is over, or its store request is overdue."""

    key: ObjectKey


@define
class PartitionIdle:
    """Internal: a claims object has no store request under way.

    Parameters
    ----------
    is_timer_due
        Whether the timer of the claims object has fired.
    """

    key: ObjectKey
    is_timer_due: bool = False
