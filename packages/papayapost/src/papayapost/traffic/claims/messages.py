"""Messages between admission and the systems of claims."""

from dataclasses import dataclass
from enum import Enum

from papayapost.ids import AttemptId
from papayapost.storage import ObjectKey
from papayapost.traffic.messages import AttemptOffer

__all__ = [
    "ClaimNeeded",
    "ClaimSettled",
    "ClaimUnused",
    "ClaimVerdict",
    "ClaimsDue",
    "PartitionReady",
]


class ClaimVerdict(Enum):
    """What became of a wish to claim a key."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimNeeded:
    """Internal: this attempt may only run once its key is claimed."""

    offer: AttemptOffer
    is_maybe_written: bool = False


@dataclass(slots=True)
class ClaimUnused:
    """Internal: an attempt that wished for a claim will never run."""

    offer: AttemptOffer


@dataclass(slots=True)
class ClaimSettled:
    """Internal: the verdict on an attempt's wish."""

    attempt_id: AttemptId
    verdict: ClaimVerdict


@dataclass(slots=True)
class ClaimsDue:
    """Timer: a partition's pause is over, or its request is overdue."""

    key: ObjectKey


@dataclass(slots=True)
class PartitionReady:
    """Internal: nothing is under way for a claims object.

    Parameters
    ----------
    is_due
        Whether its timer says so.
    """

    key: ObjectKey
    is_due: bool = False
