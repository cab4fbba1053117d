"""A queue discipline that serves attempts by their target latency."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.shares import RankShares
from papayapost.traffic.owner.tables import OwnedRow

__all__ = ["TargetedQueues"]

_MAX_BYTES = 4 << 20
_START_CREDIT = 0.06
"""Credit that a rank earns from each start of another rank while its own
attempts wait, in starts."""

_MAX_CREDIT = 2.0
"""Largest credit that a rank can save, in starts."""

_Queue = OrderedDict[AttemptId, OwnedRow]


class TargetedQueues(QueueDiscipline):
    """Serves attempts that can meet their target first, then late ones.

    An answer after its target is worth only a fraction of a timely one but
    holds a slot for as long. An attempt that can no longer meet its target
    therefore starts only while no timely attempt waits. At most as many late
    attempts wait as there are slots; further ones are refused early enough
    for their callers to retry. Both groups are served by rank, the most
    urgent first. Each rank gets a small fraction of the starts, so that many
    attempts of one rank cannot starve another.
    """

    def __init__(self, slots: int):
        self._timely: list[_Queue] = [OrderedDict() for _ in Rank]
        self._late: list[_Queue] = [OrderedDict() for _ in Rank]
        self._credit = [0.0] * len(Rank)
        self._service_us = [0.0] * len(Rank)
        self._slots = slots
        super().__init__(slots)

    def __len__(self) -> int:
        return sum(map(len, self._timely)) + self._count_late()

    def resize(self, slots: int) -> None:
        """Set the capacity for another number of slots."""
        super().resize(slots)
        self._slots = slots

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt; evict late or less urgent ones to make room."""
        refused: list[OwnedRow] = []
        while not self._has_room(row):
            victim = self._eviction_victim(row)
            if victim is None:
                return [*refused, row]
            self.remove(victim)
            refused.append(victim)
        queues = self._late if self._will_be_late(row) else self._timely
        if queues is self._late and self._count_late() >= self._slots:
            return [*refused, row]
        queues[row.offer.rank][row.offer.attempt_id] = row
        self.size_bytes += row.size_bytes
        return refused

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return a timely attempt to start, else a late one."""
        for queues in (self._timely, self._late):
            waiting = [rank for rank in Rank if queues[rank]]
            if not waiting:
                continue
            rank = self._next_rank(waiting)
            _, row = queues[rank].popitem(last=False)
            self.size_bytes -= row.size_bytes
            return row
        return None

    def advance(self, now_us: Micros) -> list[OwnedRow]:
        """Move attempts that can no longer meet their target to the late ones.

        Returns
        -------
        list
            Late attempts beyond the bound, removed from the queue; they are to
            be refused.
        """
        refused = []
        for rank in Rank:
            queue = self._timely[rank]
            for row in list(_rows_due_before(queue, now_us + self._service_us[rank])):
                del queue[row.offer.attempt_id]
                if self._count_late() < self._slots:
                    self._late[rank][row.offer.attempt_id] = row
                else:
                    self.size_bytes -= row.size_bytes
                    refused.append(row)
        return refused

    def remove(self, row: OwnedRow) -> None:
        """Remove one waiting attempt."""
        rank, attempt_id = row.offer.rank, row.offer.attempt_id
        if self._timely[rank].pop(attempt_id, None) is None:
            del self._late[rank][attempt_id]
        self.size_bytes -= row.size_bytes

    def expected_wait_us(self, rank: Rank, service_us: float, limit: int) -> float:
        """Return the time in µs to start the timely attempts ahead."""
        ahead_count = sum(
            len(self._timely[other_rank]) for other_rank in range(rank + 1)
        )
        return ahead_count * service_us / max(1, limit)

    def oldest_wait_us(self, rank: Rank, now_us: Micros) -> int:
        """Return the wait in µs of a rank's oldest timely attempt, else 0."""
        oldest = next(iter(self._timely[rank].values()), None)
        return 0 if oldest is None else now_us - oldest.arrived_us

    def set_shares(self, shares: RankShares) -> None:
        """Ignore the shares, as every rank gets the same minimum of starts."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Record a rank's mean slot time and update the ranks' credits."""
        rank = row.offer.rank
        self._service_us[rank] = cost_us
        for other_rank in Rank:
            if other_rank != rank and self._timely[other_rank]:
                earned = self._credit[other_rank] + _START_CREDIT
                self._credit[other_rank] = min(_MAX_CREDIT, earned)
        self._credit[rank] = max(0.0, self._credit[rank] - 1.0)

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Ignore the event: credits count starts, not slot time."""

    def _next_rank(self, waiting: Sequence[Rank]) -> Rank:
        for rank in waiting[1:]:
            if self._credit[rank] >= 1.0:
                return rank
        return waiting[0]

    def _will_be_late(self, row: OwnedRow) -> bool:
        due_us = row.target_due_us
        if due_us is None:
            return False
        rank = row.offer.rank
        service_us = self._service_us[rank]
        wait_us = max(
            self.expected_wait_us(rank, service_us, self._slots),
            self.oldest_wait_us(rank, row.arrived_us),
        )
        return row.arrived_us + wait_us + service_us >= due_us

    def _count_late(self) -> int:
        return sum(map(len, self._late))

    def _has_room(self, row: OwnedRow) -> bool:
        has_bytes = self.size_bytes + row.size_bytes <= _MAX_BYTES
        return len(self) < self.capacity and has_bytes

    def _eviction_victim(self, row: OwnedRow) -> OwnedRow | None:
        """Return the attempt to evict for a new one, or None.

        It is the newest late attempt of the least urgent rank, else the newest
        timely attempt of the least urgent rank below that of the new one.
        """
        if row.size_bytes > _MAX_BYTES:
            return None
        for queues, last_rank in ((self._late, -1), (self._timely, row.offer.rank)):
            for rank in range(len(Rank) - 1, last_rank, -1):
                if queues[rank]:
                    return queues[rank][next(reversed(queues[rank]))]
        return None


def _rows_due_before(queue: _Queue, limit_us: float) -> Iterator[OwnedRow]:
    for row in queue.values():
        if row.target_due_us is not None and row.target_due_us < limit_us:
            yield row
