"""A queue discipline that serves attempts by their target latency."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.messages import AttemptOffer
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
_LANES = 1 + len(Rank)
"""Queues of each group: one that goes before all ranks, and one for each rank.
Only a subclass uses the first."""

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
        self._timely: list[_Queue] = [OrderedDict() for _ in range(_LANES)]
        self._late: list[_Queue] = [OrderedDict() for _ in range(_LANES)]
        self._credit = [0.0] * _LANES
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
        queues[self._lane(row.offer)][row.offer.attempt_id] = row
        self.size_bytes += row.size_bytes
        return refused

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return a timely attempt to start, else a late one."""
        for queues in (self._timely, self._late):
            waiting = [lane for lane, queue in enumerate(queues) if queue]
            if waiting:
                row = self._next_row(queues[self._next_lane(waiting)])
                self.remove(row)
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
        for lane, queue in enumerate(self._timely):
            for row in [r for r in queue.values() if self._is_too_late(r, now_us)]:
                del queue[row.offer.attempt_id]
                if self._count_late() < self._slots:
                    self._late[lane][row.offer.attempt_id] = row
                else:
                    self.size_bytes -= row.size_bytes
                    refused.append(row)
        return refused

    def remove(self, row: OwnedRow) -> None:
        """Remove one waiting attempt."""
        lane, attempt_id = self._lane(row.offer), row.offer.attempt_id
        if self._timely[lane].pop(attempt_id, None) is None:
            del self._late[lane][attempt_id]
        self.size_bytes -= row.size_bytes

    def expected_wait_us(
        self, offer: AttemptOffer, now_us: Micros, service_us: float, limit: int
    ) -> float:
        """Return the time in µs to start the timely attempts ahead."""
        ahead_count = sum(map(len, self._timely[: self._lane(offer)]))
        ahead_count += sum(1 for _ in self._timely_ahead(offer, now_us))
        return ahead_count * service_us / max(1, limit)

    def oldest_wait_us(self, offer: AttemptOffer, now_us: Micros) -> int:
        """Return the longest wait in µs of timely attempts ahead, else 0."""
        waits = (now_us - row.arrived_us for row in self._timely_ahead(offer, now_us))
        return max(waits, default=0)

    def set_shares(self, shares: RankShares) -> None:
        """Ignore the shares, as every rank gets the same minimum of starts."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Record a rank's mean slot time and update the ranks' credits."""
        lane = self._lane(row.offer)
        if len(self._service_us) >= _MAX_CLASSES:
            self._service_us.clear()
        self._service_us[work_class(row.offer)] = cost_us
        mean_us = self._mean_service_us or cost_us
        self._mean_service_us = mean_us + _MEAN_WEIGHT * (cost_us - mean_us)
        for other_lane, queue in enumerate(self._timely):
            if other_lane != lane and queue:
                earned = self._credit[other_lane] + _START_CREDIT
                self._credit[other_lane] = min(_MAX_CREDIT, earned)
        self._credit[lane] = max(0.0, self._credit[lane] - 1.0)

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Ignore the event: credits count starts, not slot time."""

    def _lane(self, offer: AttemptOffer) -> int:
        """Return the index of the queue in which an attempt waits."""
        return 1 + offer.rank

    def _next_lane(self, waiting: Sequence[int]) -> int:
        for lane in waiting[1:]:
            if self._credit[lane] >= 1.0:
                return lane
        return waiting[0]

    def _next_row(self, queue: _Queue) -> OwnedRow:
        """Return the attempt of a queue that starts first."""
        return min(queue.values(), key=_due_us)

    def _will_be_late(self, row: OwnedRow) -> bool:
        due_us = row.target_due_us
        if due_us is None:
            return False
        offer, arrived_us = row.offer, row.arrived_us
        wait_us = max(
            self.expected_wait_us(
                offer, arrived_us, self._mean_service_us, self._slots
            ),
            self.oldest_wait_us(offer, arrived_us),
        )
        return self._is_too_late(row, row.arrived_us + wait_us)

    def _is_too_late(self, row: OwnedRow, start_us: float) -> bool:
        """Return whether an attempt that starts then misses its target."""
        service_us = self._service_us.get(work_class(row.offer), 0.0)
        return start_us + service_us >= _due_us(row)

    def _timely_ahead(self, offer: AttemptOffer, now_us: Micros) -> Iterator[OwnedRow]:
        """Yield the timely attempts of a rank that start before a new one."""
        target_us = offer.target_us
        last_us = _NEVER_US if target_us is None else now_us + target_us
        for row in self._timely[self._lane(offer)].values():
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
        own_lane = self._lane(row.offer)
        for queues, last_lane in ((self._late, -1), (self._timely, own_lane)):
            for lane in range(_LANES - 1, last_lane, -1):
                if queues[lane]:
                    return queues[lane][next(reversed(queues[lane]))]
        return None


def _due_us(row: OwnedRow) -> int:
    due_us = row.target_due_us
    return _NEVER_US if due_us is None else due_us
