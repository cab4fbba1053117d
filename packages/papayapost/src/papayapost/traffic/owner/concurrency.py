"""Limits on the concurrent calls to a backend server."""

from abc import ABC, abstractmethod

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import Table
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import WorkClass

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "FixedLimit", "ServiceTimes"]

_MEAN_WEIGHT = 0.2
_LOW_ESTIMATE_DOWN_WEIGHT = 0.3
_LOW_ESTIMATE_UP_WEIGHT = 0.02
_BASELINE_WEIGHT = 0.02
_HALF_LIFE_US = 1_000_000
_MAX_CLASSES = 256
_SHED_FACTOR = 0.7
_SLOW_FACTOR = 0.9
_SLOW_RATIO = 2.0
_COOL_DOWN_US = 100_000


@define
class ServiceTimeRow:
    """Estimates of how long attempts of one class hold a slot.

    Parameters
    ----------
    mean_us, low_estimate_us
        Decayed mean in µs, and an estimate that follows shorter samples
        quickly and longer ones slowly.
    """

    mean_us: float
    low_estimate_us: float
    sampled_us: Micros

    def add(self, held_us: int, now_us: Micros) -> None:
        """Add the slot time in µs of one completely answered attempt."""
        self.mean_us += _MEAN_WEIGHT * (held_us - self.mean_us)
        difference_us = held_us - self.low_estimate_us
        weight = (
            _LOW_ESTIMATE_UP_WEIGHT if difference_us > 0 else _LOW_ESTIMATE_DOWN_WEIGHT
        )
        self.low_estimate_us += weight * difference_us
        self.sampled_us = now_us

    def decay(self, now_us: Micros) -> float:
        """Return by how much the estimates count at a time."""
        age_us = now_us - self.sampled_us
        if age_us < _HALF_LIFE_US:
            return 1.0
        return 0.5 ** min(60, age_us // _HALF_LIFE_US)


class ServiceTimes:
    """Estimates how long an attempt of each class holds a slot.

    An estimate halves with every second without samples. Otherwise an
    estimate so high that every attempt is refused would never be corrected,
    because refused attempts yield no samples.
    """

    def __init__(self):
        self._rows: Table[WorkClass, ServiceTimeRow] = Table("service times")
        self._all: ServiceTimeRow | None = None

    def add_sample(self, work: WorkClass, held_us: int, now_us: Micros) -> None:
        """Add the slot time of one completely answered attempt.

        Parameters
        ----------
        held_us
            Time in µs for which the attempt held its slot.
        """
        if self._all is None:
            self._all = ServiceTimeRow(float(held_us), float(held_us), now_us)
        else:
            self._all.add(held_us, now_us)
        row = self._rows.get(work)
        if row is not None:
            row.add(held_us, now_us)
            return
        if len(self._rows) >= _MAX_CLASSES:
            oldest, _ = next(iter(self._rows.items()))
            self._rows.pop(oldest)
        self._rows.put(work, ServiceTimeRow(float(held_us), float(held_us), now_us))

    def mean_of_all_us(self, now_us: Micros) -> float:
        """Return the mean slot time of all attempts in µs, 0 without any."""
        row = self._all
        return row.mean_us * row.decay(now_us) if row else 0.0

    def mean_us(self, work: WorkClass, now_us: Micros) -> float:
        """Return the mean slot time of a class in µs, 0 without samples."""
        row = self._rows.get(work)
        return row.mean_us * row.decay(now_us) if row else 0.0

    def low_estimate_us(self, work: WorkClass, now_us: Micros) -> float:
        """Return the slot time of a class's short attempts, in µs.

        It is 0 without samples. A class mixes short and long work, and an
        attempt is certainly too late only if short work would be too late.
        """
        row = self._rows.get(work)
        return row.low_estimate_us * row.decay(now_us) if row else 0.0


class ConcurrencyLimit(ABC):
    """Decides how many slots may be in use at once.

    Attributes
    ----------
    limit
        Largest number of slots that may be in use now.
    """

    limit: int

    @abstractmethod
    def resize(self, slots: int) -> None:
        """Set the number of slots that the backend server offers."""

    @abstractmethod
    def shed(self, now_us: Micros) -> None:
        """Record that the backend server shed an attempt (HTTP status 503)."""

    @abstractmethod
    def ended(
        self, rank: Rank, held_us: int, is_saturated: bool, now_us: Micros
    ) -> None:
        """Record an attempt that was answered completely.

        Parameters
        ----------
        held_us
            Time in µs for which the attempt held its slot.
        is_saturated
            Whether all slots up to the limit were in use when it ended.
        """

    def server_started(self, age_us: int, now_us: Micros) -> bool:
        """Record that a new process of the backend server was seen.

        Parameters
        ----------
        age_us
            Time in µs for which the process has been running at least.

        Returns
        -------
        bool
            Whether the limit is low at first for that reason.
        """
        return False

    def answered(self, offer: AttemptOffer, held_us: int, now_us: Micros) -> bool:
        """Record the slot time in µs of a good answer.

        Returns
        -------
        bool
            Whether this answer ends the start of the backend server.
        """
        return False


class FixedLimit(ConcurrencyLimit):
    """Always allows all slots.

    It serves backend servers that report their exact number of slots, and is
    the baseline for adaptive limits.
    """

    def __init__(self, slots: int):
        self.limit = slots

    def resize(self, slots: int) -> None:
        """Set the limit to the number of slots."""
        self.limit = slots

    def shed(self, now_us: Micros) -> None:
        """Ignore the event: the limit is fixed."""

    def ended(
        self, rank: Rank, held_us: int, is_saturated: bool, now_us: Micros
    ) -> None:
        """Ignore the event: the limit is fixed."""


class AdaptiveLimit(ConcurrencyLimit):
    """Lowers the limit while the backend server sheds load or is slow.

    The limit is multiplied by a factor below 1, at most once per cool-down,
    and grows by about one slot for each `limit` attempts that end while all
    allowed slots are in use. The slot time of an attempt is compared with the
    long-term average of its rank, so that a change in the mix of ranks does
    not look like a slow backend server.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._exact_limit = float(slots)
        self._last_lowered_us = -_COOL_DOWN_US
        self._baseline_us = [0.0] * len(Rank)
        self._mean_ratio = 1.0
        self.limit = slots

    def resize(self, slots: int) -> None:
        """Set the number of slots, and reset the limit to it."""
        self._slots = slots
        self._set_limit(float(slots))

    def shed(self, now_us: Micros) -> None:
        """Lower the limit after a shed attempt."""
        self._lower(_SHED_FACTOR, now_us)

    def ended(
        self, rank: Rank, held_us: int, is_saturated: bool, now_us: Micros
    ) -> None:
        """Lower the limit if the backend server is slow, else raise it."""
        baseline_us = self._baseline_us[rank] or float(max(1, held_us))
        ratio = held_us / baseline_us
        self._baseline_us[rank] = baseline_us + _BASELINE_WEIGHT * (
            held_us - baseline_us
        )
        self._mean_ratio += _MEAN_WEIGHT * (ratio - self._mean_ratio)
        if not is_saturated:
            return
        if self._mean_ratio > _SLOW_RATIO:
            self._lower(_SLOW_FACTOR, now_us)
        elif self._exact_limit < self._slots:
            self._set_limit(self._exact_limit + 1.0 / self._exact_limit)

    def _lower(self, factor: float, now_us: Micros) -> None:
        if now_us - self._last_lowered_us >= _COOL_DOWN_US:
            self._last_lowered_us = now_us
            self._set_limit(self._exact_limit * factor)

    def _set_limit(self, exact_limit: float) -> None:
        self._exact_limit = min(float(self._slots), max(1.0, exact_limit))
        self.limit = int(self._exact_limit)
