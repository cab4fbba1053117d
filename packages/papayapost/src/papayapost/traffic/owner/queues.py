"""Queue disciplines for attempts that wait for a backend server's slots."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.shares import DEFAULT_SHARES, RankShares
from papayapost.traffic.owner.tables import OwnedRow, Standing

__all__ = ["FifoQueue", "QueueDiscipline", "RankedQueues"]

_CAPACITY_PER_SLOT = 4
_MIN_CAPACITY = 16
_MIN_RESERVED = 6
"""Smallest number of queue places reserved for a rank with a floor."""

_MAX_BYTES = 4 << 20
_MAX_CREDIT_ATTEMPTS = 4
"""Largest credit or debt of a rank, in units of one attempt's slot time."""

_MIN_COST_US = 1_000.0


class QueueDiscipline(ABC):
    """A queue of attempts, bounded in their number and their body bytes.

    Parameters
    ----------
    slots
        Calls that the backend server runs at once.

    Attributes
    ----------
    capacity
        Largest number of waiting attempts.
    size_bytes
        Sum of the body lengths of the waiting attempts.
    """

    def __init__(self, slots: int):
        self.resize(slots)
        self.size_bytes = 0

    def resize(self, slots: int) -> None:
        """Set the capacity for another number of slots.

        Attempts that already wait stay queued even above the new capacity.
        """
        self.capacity = max(_MIN_CAPACITY, slots * _CAPACITY_PER_SLOT)

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting attempts."""

    @abstractmethod
    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt.

        Returns
        -------
        list
            Attempts to refuse: the given one if the queue is full, and those
            that were evicted in its favour.
        """

    @abstractmethod
    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return the attempt to start next.

        Parameters
        ----------
        running
            Number of attempts that hold a slot, by rank.
        limit
            Largest number of slots that may be in use.

        Returns
        -------
        OwnedRow or None
            The attempt, or None to leave the slot free.
        """

    def advance(self, now_us: Micros) -> list[OwnedRow]:
        """Update the queue to the current time.

        Returns
        -------
        list
            Attempts that were removed from the queue and are to be refused.
        """
        return []

    @abstractmethod
    def remove(self, row: OwnedRow) -> None:
        """Remove one waiting attempt."""

    @abstractmethod
    def expected_wait_us(
        self, offer: AttemptOffer, now_us: Micros, service_us: float, limit: int
    ) -> float:
        """Return the shortest expected wait of a new attempt, in µs.

        Parameters
        ----------
        service_us
            Mean time in µs for which an attempt of the rank holds a slot.
        limit
            Largest number of slots that may be in use.
        """

    def oldest_wait_us(self, offer: AttemptOffer, now_us: Micros) -> int:
        """Return the longest wait in µs of any attempt ahead, else 0.

        The queue ahead of a new attempt does not show the more urgent
        attempts that will arrive later and overtake it. The wait of the
        oldest attempt ahead of it in its rank includes such overtaking.
        """
        return 0

    def record_ask(self, offer: AttemptOffer, now_us: Micros) -> None:
        """Record that an attempt asked for a slot for which it may wait."""
        return

    def standing(self, offer: AttemptOffer) -> Standing:
        """Return how an attempt competes with others for the slots."""
        return Standing.ORDINARY

    @abstractmethod
    def set_shares(self, shares: RankShares) -> None:
        """Replace the floors and ceilings of the ranks."""

    @abstractmethod
    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Record that an attempt took a slot.

        Parameters
        ----------
        cost_us
            Expected time in µs for which the attempt will hold the slot.
        """

    @abstractmethod
    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Record for how many µs an attempt held its slot."""


class FifoQueue(QueueDiscipline):
    """One queue in order of arrival that ignores ranks: a baseline."""

    def __init__(self, slots: int):
        super().__init__(slots)
        self._rows: OrderedDict[AttemptId, OwnedRow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt if the queue has room for it."""
        is_full = len(self._rows) >= self.capacity
        if is_full or self.size_bytes + row.size_bytes > _MAX_BYTES:
            return [row]
        self._rows[row.offer.attempt_id] = row
        self.size_bytes += row.size_bytes
        return []

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return the oldest attempt."""
        if not self._rows:
            return None
        _, row = self._rows.popitem(last=False)
        self.size_bytes -= row.size_bytes
        return row

    def remove(self, row: OwnedRow) -> None:
        """Remove one waiting attempt."""
        del self._rows[row.offer.attempt_id]
        self.size_bytes -= row.size_bytes

    def expected_wait_us(
        self, offer: AttemptOffer, now_us: Micros, service_us: float, limit: int
    ) -> float:
        """Return the time in µs until all waiting attempts have started."""
        return len(self._rows) * service_us / limit

    def set_shares(self, shares: RankShares) -> None:
        """Ignore the shares, as this queue ignores ranks."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Ignore the event: this queue tracks no slot time."""

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Ignore the event: this queue tracks no slot time."""


class RankedQueues(QueueDiscipline):
    """One queue for each rank: urgent first, with floors and ceilings.

    Whenever a slot is given while attempts of another rank wait, each rank
    earns its floor, a fraction of that slot time, as credit. A rank can save
    credit for a few attempts. A waiting rank with a floor and credit above
    zero starts first; otherwise the most urgent rank starts. So each rank
    gets its floor over time however many attempts the others send, and the
    most urgent rank loses no more slot time than the sum of the floors.

    A rank at its ceiling starts attempts only while no rank below its ceiling
    waits, and leaves one slot free for the next urgent attempt.
    """

    def __init__(self, slots: int):
        super().__init__(slots)
        self.shares = DEFAULT_SHARES
        self._queues: list[OrderedDict[AttemptId, OwnedRow]] = [
            OrderedDict() for _ in Rank
        ]
        self._credits_us = [0.0] * len(Rank)
        self._reserved_places = [0] * len(Rank)
        self._size = 0
        self.set_shares(DEFAULT_SHARES)

    def __len__(self) -> int:
        return self._size

    def set_shares(self, shares: RankShares) -> None:
        """Replace the floors and ceilings of the ranks."""
        self.shares = shares
        self._reserved_places = [
            max(_MIN_RESERVED, int(floor * self.capacity)) if floor else 0
            for floor in shares.floors
        ]

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt; evict others if the shares allow it."""
        evicted: list[OwnedRow] = []
        while not self._has_room(row):
            victim = self._eviction_victim(row.offer.rank)
            if victim is None or row.size_bytes > _MAX_BYTES:
                return [*evicted, row]
            self.remove(victim)
            evicted.append(victim)
        self._queues[row.offer.rank][row.offer.attempt_id] = row
        self._size += 1
        self.size_bytes += row.size_bytes
        return evicted

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return the attempt to start next.

        It is the oldest attempt of a rank with a floor and unspent credit,
        else of the most urgent rank that waits below its ceiling.
        """
        if not self._size:
            return None
        rank = self._next_rank(running, limit)
        if rank is None:
            return None
        _, row = self._queues[rank].popitem(last=False)
        self._subtract_size(row)
        return row

    def remove(self, row: OwnedRow) -> None:
        """Remove one waiting attempt."""
        del self._queues[row.offer.rank][row.offer.attempt_id]
        self._subtract_size(row)

    def expected_wait_us(
        self, offer: AttemptOffer, now_us: Micros, service_us: float, limit: int
    ) -> float:
        """Return the shortest expected wait of a new attempt, in µs.

        It is the time to start all waiting attempts of the same or a more
        urgent rank or, if shorter, the time to start those of the same rank
        with the rank's floor of the slots alone.
        """
        rank = offer.rank
        ahead_count = sum(
            len(self._queues[other_rank]) for other_rank in range(rank + 1)
        )
        wait_us = ahead_count * service_us / limit
        floor = self.shares.floors[rank]
        if floor:
            own_count = len(self._queues[rank])
            wait_us = min(wait_us, own_count * service_us / (floor * limit))
        return wait_us

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Charge an attempt's rank for a slot while other ranks wait."""
        rank = row.offer.rank
        if self._size == len(self._queues[rank]):
            return
        cost_us = max(cost_us, _MIN_COST_US)
        row.charged_us = cost_us
        floors = self.shares.floors
        max_credit_us = cost_us * _MAX_CREDIT_ATTEMPTS
        for other_rank, floor in enumerate(floors):
            earned_us = self._credits_us[other_rank] + floor * cost_us
            self._credits_us[other_rank] = min(earned_us, max_credit_us)
        self._charge(rank, cost_us, max_credit_us)

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Correct the rank's charge from the expected to the actual time."""
        if row.charged_us:
            max_credit_us = max(held_us, row.charged_us) * _MAX_CREDIT_ATTEMPTS
            self._charge(row.offer.rank, held_us - row.charged_us, max_credit_us)

    def _charge(self, rank: Rank, cost_us: float, max_credit_us: float) -> None:
        balance_us = self._credits_us[rank] - cost_us
        self._credits_us[rank] = max(-max_credit_us, min(max_credit_us, balance_us))

    def _next_rank(self, running: Sequence[int], limit: int) -> int | None:
        waiting = [rank for rank, queue in enumerate(self._queues) if queue]
        below_ceiling = [
            rank for rank in waiting if self._is_below_ceiling(rank, running, limit)
        ]
        for rank in below_ceiling:
            if self._credits_us[rank] > 0 and self.shares.floors[rank]:
                return rank
        if below_ceiling:
            return below_ceiling[0]
        # Only ranks at their ceilings wait. They may use the free slots
        # except one, which stays free for the next urgent attempt.
        return waiting[0] if limit - sum(running) > 1 else None

    def _is_below_ceiling(self, rank: int, running: Sequence[int], limit: int) -> bool:
        ceiling = self.shares.ceilings[rank]
        return ceiling >= 1 or running[rank] < max(1, int(ceiling * limit))

    def _has_room(self, row: OwnedRow) -> bool:
        return (
            self._size < self.capacity
            and self.size_bytes + row.size_bytes <= _MAX_BYTES
        )

    def _eviction_victim(self, rank: Rank) -> OwnedRow | None:
        """Return the attempt to evict for a new one of a rank, or None.

        It is the newest attempt of the least urgent rank that holds more than
        its reserved places. A rank below its own reserved places may also
        evict attempts of more urgent ranks.
        """
        for other_rank in range(len(Rank) - 1, rank, -1):
            if len(self._queues[other_rank]) > self._reserved_places[other_rank]:
                return self._newest_attempt(other_rank)
        if len(self._queues[rank]) < self._reserved_places[rank]:
            for other_rank in range(rank - 1, -1, -1):
                if len(self._queues[other_rank]) > self._reserved_places[other_rank]:
                    return self._newest_attempt(other_rank)
        return None

    def _newest_attempt(self, rank: int) -> OwnedRow:
        queue = self._queues[rank]
        return queue[next(reversed(queue))]

    def _subtract_size(self, row: OwnedRow) -> None:
        self._size -= 1
        self.size_bytes -= row.size_bytes
