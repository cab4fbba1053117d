"""A queue discipline that serves attempts by their target latency."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.shares import RankShares
from papayapost.traffic.owner.tables import OwnedRow, WorkClass, work_class

__all__ = ["TargetedQueues"]

_MAX_BYTES = 4 << 20
_START_CREDIT = 0.06
"""Credit that a rank earns from each start of another rank while its own
attempts wait, in starts."""

_MAX_CREDIT = 2.0
"""Largest credit that a rank can save, in starts."""

_NEVER_US = 1 << 62
_MEAN_WEIGHT = 0.2
_MAX_CLASSES = 256
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

    Within a rank, the attempt whose target passes first starts first. Load
    pattern: a burst of fresh work at the servers of inner calls. Inner calls
    have short targets; a call that waits for them holds a slot elsewhere and
    fails with them. The order also puts callers that were refused once in
    front of those that are new.
    """

    def __init__(self, slots: int):
        self._timely: list[_Queue] = [OrderedDict() for _ in Rank]
        self._late: list[_Queue] = [OrderedDict() for _ in Rank]
        self._credit = [0.0] * len(Rank)
        self._service_us: dict[WorkClass, float] = {}
        self._mean_service_us = 0.0
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
            queue = queues[self._next_rank(waiting)]
            row = queue.pop(min(queue, key=lambda name: _due_us(queue[name])))
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
            for row in [r for r in queue.values() if self._is_too_late(r, now_us)]:
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

    def expected_wait_us(
        self, rank: Rank, due_us: int | None, service_us: float, limit: int
    ) -> float:
        """Return the time in µs to start the timely attempts ahead."""
        ahead_count = sum(len(self._timely[other_rank]) for other_rank in range(rank))
        ahead_count += sum(1 for _ in self._timely_ahead(rank, due_us))
        return ahead_count * service_us / max(1, limit)

    def oldest_wait_us(self, rank: Rank, due_us: int | None, now_us: Micros) -> int:
        """Return the longest wait in µs of timely attempts ahead, else 0."""
        waits = (now_us - row.arrived_us for row in self._timely_ahead(rank, due_us))
        return max(waits, default=0)

    def set_shares(self, shares: RankShares) -> None:
        """Ignore the shares, as every rank gets the same minimum of starts."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Record a rank's mean slot time and update the ranks' credits."""
        rank = row.offer.rank
        if len(self._service_us) >= _MAX_CLASSES:
            self._service_us.clear()
        self._service_us[work_class(row.offer)] = cost_us
        mean_us = self._mean_service_us or cost_us
        self._mean_service_us = mean_us + _MEAN_WEIGHT * (cost_us - mean_us)
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
        wait_us = max(
            self.expected_wait_us(rank, due_us, self._mean_service_us, self._slots),
            self.oldest_wait_us(rank, due_us, row.arrived_us),
        )
        return self._is_too_late(row, row.arrived_us + wait_us)

    def _is_too_late(self, row: OwnedRow, start_us: float) -> bool:
        """Return whether an attempt that starts then misses its target."""
        service_us = self._service_us.get(work_class(row.offer), 0.0)
        return start_us + service_us >= _due_us(row)

    def _timely_ahead(self, rank: Rank, due_us: int | None) -> Iterator[OwnedRow]:
        """Yield the timely attempts of a rank that start before a new one."""
        last_us = _NEVER_US if due_us is None else due_us
        for row in self._timely[rank].values():
            if _due_us(row) <= last_us:
                yield row

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


def _due_us(row: OwnedRow) -> int:
    due_us = row.target_due_us
    return _NEVER_US if due_us is None else due_us
