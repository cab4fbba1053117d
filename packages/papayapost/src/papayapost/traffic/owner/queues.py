"""Disciplines of the queue in front of a backend server's slots."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.owner.shares import DEFAULT_SHARES, RankShares
from papayapost.traffic.owner.tables import OwnedRow

__all__ = ["FifoQueue", "QueueDiscipline", "RankedQueues"]

_PLACES_PER_SLOT = 4
_MIN_PLACES = 16
_MIN_RESERVED = 6
_MAX_BYTES = 4 << 20
_MAX_CREDIT_COSTS = 4
_MIN_COST_US = 1_000.0


class QueueDiscipline(ABC):
    """Bounded in attempts and in bytes of their bodies.

    Parameters
    ----------
    slots
        Calls that the backend server runs at once.
    """

    def __init__(self, slots: int):
        self.resize(slots)
        self.size_bytes = 0

    def resize(self, slots: int) -> None:
        """Make room for so many slots; what waits already keeps its place."""
        self.places = max(_MIN_PLACES, slots * _PLACES_PER_SLOT)

    @abstractmethod
    def __len__(self) -> int:
        """Return how many attempts wait."""

    @abstractmethod
    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt.

        Returns
        -------
        list
            Attempts that have no place: the given one, or those that it
            took the place of.
        """

    @abstractmethod
    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Take the attempt that starts next, or None to leave a slot free.

        Parameters
        ----------
        running
            Attempts that hold a slot, by rank.
        limit
            Slots in use at most.
        """

    def advance(self, now_us: Micros) -> list[OwnedRow]:
        """Follow the time; return attempts that have no place any more."""
        return []

    @abstractmethod
    def remove(self, row: OwnedRow) -> None:
        """Take out one waiting attempt."""

    @abstractmethod
    def expected_wait_us(self, rank: Rank, service_us: float, limit: int) -> float:
        """Return the least time that a new attempt of a rank would wait."""

    def oldest_wait_us(self, rank: Rank, now_us: Micros) -> int:
        """Return the wait of the oldest attempt of a rank, 0 without one.

        What is ahead of a new attempt does not tell what more urgent ones
        will still come before it; how the rank has fared lately does.
        """
        return 0

    @abstractmethod
    def set_shares(self, shares: RankShares) -> None:
        """Use other floors and ceilings from now on."""

    @abstractmethod
    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Note that an attempt took a slot for about `cost_us`."""

    @abstractmethod
    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Note how long an attempt held its slot."""


class FifoQueue(QueueDiscipline):
    """One queue in order of arrival, blind to ranks: the baseline."""

    def __init__(self, slots: int):
        super().__init__(slots)
        self._rows: OrderedDict[AttemptId, OwnedRow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt if there is a place."""
        is_full = len(self._rows) >= self.places
        if is_full or self.size_bytes + row.size_bytes > _MAX_BYTES:
            return [row]
        self._rows[row.offer.attempt_id] = row
        self.size_bytes += row.size_bytes
        return []

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Take the oldest attempt."""
        if not self._rows:
            return None
        _, row = self._rows.popitem(last=False)
        self.size_bytes -= row.size_bytes
        return row

    def remove(self, row: OwnedRow) -> None:
        """Take out one waiting attempt."""
        del self._rows[row.offer.attempt_id]
        self.size_bytes -= row.size_bytes

    def expected_wait_us(self, rank: Rank, service_us: float, limit: int) -> float:
        """Return the time until all that wait have started."""
        return len(self._rows) * service_us / limit

    def set_shares(self, shares: RankShares) -> None:
        """Change nothing: the queue is blind to ranks."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Keep no account."""

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Keep no account."""


class RankedQueues(QueueDiscipline):
    """A queue for each rank: urgent first, with floors and ceilings.

    Each rank earns its floor of all slot time that is given while others
    wait, saves a few attempts' worth, and starts as soon as it is in credit;
    the most urgent rank takes the rest. Floors so hold over time under any
    flood, and cost the most urgent rank no more than their sum.
    """

    def __init__(self, slots: int):
        super().__init__(slots)
        self.shares = DEFAULT_SHARES
        self._queues: list[OrderedDict[AttemptId, OwnedRow]] = [
            OrderedDict() for _ in Rank
        ]
        self._credits_us = [0.0] * len(Rank)
        self._reserved = [0] * len(Rank)
        self._size = 0
        self.set_shares(DEFAULT_SHARES)

    def __len__(self) -> int:
        return self._size

    def set_shares(self, shares: RankShares) -> None:
        """Use other floors and ceilings from now on."""
        self.shares = shares
        self._reserved = [
            max(_MIN_RESERVED, int(floor * self.places)) if floor else 0
            for floor in shares.floors
        ]

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt, in place of less urgent ones if need be."""
        evicted: list[OwnedRow] = []
        while not self._has_room(row):
            victim = self._victim(row.offer.rank)
            if victim is None or row.size_bytes > _MAX_BYTES:
                return [*evicted, row]
            self.remove(victim)
            evicted.append(victim)
        self._queues[row.offer.rank][row.offer.attempt_id] = row
        self._size += 1
        self.size_bytes += row.size_bytes
        return evicted

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Take from the rank that is owed its floor, else the most urgent."""
        if not self._size:
            return None
        rank = self._next_rank(running, limit)
        if rank is None:
            return None
        _, row = self._queues[rank].popitem(last=False)
        self._left(row)
        return row

    def remove(self, row: OwnedRow) -> None:
        """Take out one waiting attempt."""
        del self._queues[row.offer.rank][row.offer.attempt_id]
        self._left(row)

    def expected_wait_us(self, rank: Rank, service_us: float, limit: int) -> float:
        """Return the wait behind what is served first, or by the floor."""
        ahead = sum(len(self._queues[other]) for other in range(rank + 1))
        wait_us = ahead * service_us / limit
        floor = self.shares.floors[rank]
        if floor:
            own = len(self._queues[rank])
            wait_us = min(wait_us, own * service_us / (floor * limit))
        return wait_us

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Charge a rank for its slot while others wait."""
        rank = row.offer.rank
        if self._size == len(self._queues[rank]):
            return
        cost_us = max(cost_us, _MIN_COST_US)
        row.charged_us = cost_us
        floors = self.shares.floors
        most_us = cost_us * _MAX_CREDIT_COSTS
        for other, floor in enumerate(floors):
            earned_us = self._credits_us[other] + floor * cost_us
            self._credits_us[other] = min(earned_us, most_us)
        self._charge(rank, cost_us, most_us)

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Correct what the rank was charged."""
        if row.charged_us:
            most_us = max(held_us, row.charged_us) * _MAX_CREDIT_COSTS
            self._charge(row.offer.rank, held_us - row.charged_us, most_us)

    def _charge(self, rank: Rank, cost_us: float, most_us: float) -> None:
        left_us = self._credits_us[rank] - cost_us
        self._credits_us[rank] = max(-most_us, min(most_us, left_us))

    def _next_rank(self, running: Sequence[int], limit: int) -> int | None:
        waiting = [rank for rank, queue in enumerate(self._queues) if queue]
        below = [rank for rank in waiting if self._is_below(rank, running, limit)]
        for rank in below:
            if self._credits_us[rank] > 0 and self.shares.floors[rank]:
                return rank
        if below:
            return below[0]
        # Only ranks above their ceilings wait. They may use what nobody
        # else wants, but for one slot that the next urgent attempt finds.
        return waiting[0] if limit - sum(running) > 1 else None

    def _is_below(self, rank: int, running: Sequence[int], limit: int) -> bool:
        ceiling = self.shares.ceilings[rank]
        return ceiling >= 1 or running[rank] < max(1, int(ceiling * limit))

    def _has_room(self, row: OwnedRow) -> bool:
        return (
            self._size < self.places and self.size_bytes + row.size_bytes <= _MAX_BYTES
        )

    def _victim(self, rank: Rank) -> OwnedRow | None:
        """Return the newest attempt of the rank that gives way, or None."""
        for other in range(len(Rank) - 1, rank, -1):
            if len(self._queues[other]) > self._reserved[other]:
                return self._newest(other)
        if len(self._queues[rank]) < self._reserved[rank]:
            for other in range(rank - 1, -1, -1):
                if len(self._queues[other]) > self._reserved[other]:
                    return self._newest(other)
        return None

    def _newest(self, rank: int) -> OwnedRow:
        queue = self._queues[rank]
        return queue[next(reversed(queue))]

    def _left(self, row: OwnedRow) -> None:
        self._size -= 1
        self.size_bytes -= row.size_bytes
