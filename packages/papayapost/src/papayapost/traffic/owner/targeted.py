"""A queue that serves first what can still meet its target."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from papayapost.ids import AttemptId, Micros
from papayapost.states import Rank
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.shares import RankShares
from papayapost.traffic.owner.tables import OwnedRow

__all__ = ["TargetedQueues"]

_MAX_BYTES = 4 << 20
_FLOOR = 0.06
"""Part of the starts that a less urgent rank gets while others wait."""

_MAX_CREDIT = 2.0

_Queue = OrderedDict[AttemptId, OwnedRow]


class TargetedQueues(QueueDiscipline):
    """Timely attempts by rank, then late ones by rank.

    An answer after its target is worth a fraction of a timely one and takes
    its slot as long. So what can no longer be timely waits until no timely
    attempt does, and the number of those that wait so is bounded: beyond it
    they are refused, early enough for their caller to come back. Each rank
    keeps a small part of the starts, so that no flood starves another rank.
    """

    def __init__(self, slots: int):
        self._timely: list[_Queue] = [OrderedDict() for _ in Rank]
        self._late: list[_Queue] = [OrderedDict() for _ in Rank]
        self._credit = [0.0] * len(Rank)
        self._service_us = [0.0] * len(Rank)
        self._slots = slots
        super().__init__(slots)

    def __len__(self) -> int:
        return sum(map(len, self._timely)) + self._late_count()

    def resize(self, slots: int) -> None:
        """Make room for so many slots."""
        super().resize(slots)
        self._slots = slots

    def push(self, row: OwnedRow) -> list[OwnedRow]:
        """Queue an attempt, in place of a less valuable one if need be."""
        refused: list[OwnedRow] = []
        while not self._has_room(row):
            victim = self._victim(row)
            if victim is None:
                return [*refused, row]
            self.remove(victim)
            refused.append(victim)
        queues = self._late if self._will_be_late(row) else self._timely
        if queues is self._late and self._late_count() >= self._slots:
            return [*refused, row]
        queues[row.offer.rank][row.offer.attempt_id] = row
        self.size_bytes += row.size_bytes
        return refused

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Take a timely attempt, else a late one; the most urgent first."""
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
        """Sort out what has become late, and return what has no place so."""
        refused = []
        for rank in Rank:
            queue = self._timely[rank]
            for row in list(_due(queue, now_us + self._service_us[rank])):
                del queue[row.offer.attempt_id]
                if self._late_count() < self._slots:
                    self._late[rank][row.offer.attempt_id] = row
                else:
                    self.size_bytes -= row.size_bytes
                    refused.append(row)
        return refused

    def remove(self, row: OwnedRow) -> None:
        """Take out one waiting attempt."""
        rank, attempt_id = row.offer.rank, row.offer.attempt_id
        if self._timely[rank].pop(attempt_id, None) is None:
            del self._late[rank][attempt_id]
        self.size_bytes -= row.size_bytes

    def expected_wait_us(self, rank: Rank, service_us: float, limit: int) -> float:
        """Return the time until the timely ones ahead have started."""
        ahead = sum(len(self._timely[other]) for other in range(rank + 1))
        return ahead * service_us / max(1, limit)

    def oldest_wait_us(self, rank: Rank, now_us: Micros) -> int:
        """Return how long the oldest timely attempt of a rank has waited."""
        oldest = next(iter(self._timely[rank].values()), None)
        return 0 if oldest is None else now_us - oldest.arrived_us

    def set_shares(self, shares: RankShares) -> None:
        """Change nothing: every rank keeps the same small part."""

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Note what the rank's attempts take, and who is owed a start."""
        rank = row.offer.rank
        self._service_us[rank] = cost_us
        for other in Rank:
            if other != rank and self._timely[other]:
                earned = self._credit[other] + _FLOOR
                self._credit[other] = min(_MAX_CREDIT, earned)
        self._credit[rank] = max(0.0, self._credit[rank] - 1.0)

    def ended(self, row: OwnedRow, held_us: int) -> None:
        """Keep no account."""

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

    def _late_count(self) -> int:
        return sum(map(len, self._late))

    def _has_room(self, row: OwnedRow) -> bool:
        has_bytes = self.size_bytes + row.size_bytes <= _MAX_BYTES
        return len(self) < self.places and has_bytes

    def _victim(self, row: OwnedRow) -> OwnedRow | None:
        """Return the newest of the late, or of a less urgent rank."""
        if row.size_bytes > _MAX_BYTES:
            return None
        for queues, least in ((self._late, -1), (self._timely, row.offer.rank)):
            for rank in range(len(Rank) - 1, least, -1):
                if queues[rank]:
                    return queues[rank][next(reversed(queues[rank]))]
        return None


def _due(queue: _Queue, by_us: float) -> Iterator[OwnedRow]:
    for row in queue.values():
        if row.target_due_us is not None and row.target_due_us < by_us:
            yield row
