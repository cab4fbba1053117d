"""A queue discipline in which accounts and kinds of requests take turns."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

from papayapost.ids import AccountName, AttemptId, Micros
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.competition import Competition
from papayapost.traffic.owner.queue_wait import longest_wait_us
from papayapost.traffic.owner.tables import OwnedRow, Standing, work_class
from papayapost.traffic.owner.targeted import TargetedQueues

__all__ = ["FairQueues"]

_INNER_LANE = 0
_HOPELESS_WAITS = 1.25
"""Expected wait at which a queued attempt is refused, as a multiple of the
longest one. Estimates vary by about a quarter between two arrivals."""

_CHECK_PERIOD_US = 25_000
"""Time between two searches for such attempts; half of the time in which a
refusal is due."""

_MIN_NEW_WORK_SHARE = 0.4
"""Least share of the slots that is left to new work, see `Competition`."""

_NEVER = float("inf")
_Queue = OrderedDict[AttemptId, OwnedRow]


class FairQueues(TargetedQueues):
    """Serves accounts by their share of the slots, and running requests first.

    Without accounts the order is that of `TargetedQueues`. Once attempts with
    an account have come, the following holds within each group, timely and
    late.

    - An account or kind of request that is below its floor starts first.
    - Attempts without an account start before all ranks, within bounds. They
      are calls that backend servers make: requests that hold slots elsewhere
      wait for them. Load pattern: `podcasts`, in which feed requests fail or
      are late by lookups that wait behind less urgent publishing requests.
    - Within a rank, attempts of accounts that exceed their share start last,
      those farthest over their share at the end. They are also the first to
      be refused. Load pattern: `account-surge`, in which one account sends
      7.5 times its usual rate.
    """

    def __init__(self, slots: int):
        super().__init__(slots)
        self._competition = Competition()
        self._has_accounts = False
        self._checked_us = Micros(0)

    def record_ask(self, offer: AttemptOffer, now_us: Micros) -> None:
        """Record that an attempt asked for a slot for which it may wait."""
        if self._advance_competition(offer, now_us):
            self._competition.record_ask(offer)

    def standing(self, offer: AttemptOffer) -> Standing:
        """Return how an attempt competes with others for the slots."""
        if not self._has_accounts:
            return Standing.ORDINARY
        if self._competition.is_below_floor(offer):
            return Standing.BELOW_FLOOR
        if offer.account is None:
            return Standing.INNER_CALL
        is_over = offer.account in self._competition.excess_us
        return Standing.OVER_SHARE if is_over else Standing.ORDINARY

    def pop(self, running: Sequence[int], limit: int) -> OwnedRow | None:
        """Remove and return a timely attempt to start, else a late one."""
        if self._competition.below_floor:
            row = self._next_below_floor()
            if row is not None:
                self.remove(row)
                return row
        return super().pop(running, limit)

    def advance(self, now_us: Micros) -> list[OwnedRow]:
        """Refuse attempts that are late or have fallen too far behind.

        An attempt falls behind when others arrive that start before it. It is
        refused as soon as this is known, while its caller can still return.
        """
        refused = super().advance(now_us)
        if self._has_accounts and now_us - self._checked_us >= _CHECK_PERIOD_US:
            self._checked_us = now_us
            hopeless = self._hopeless_rows(now_us)
            for row in hopeless:
                self.remove(row)
            refused += hopeless
        return refused

    def expected_wait_us(
        self, offer: AttemptOffer, now_us: Micros, service_us: float, limit: int
    ) -> float:
        """Return the time in µs to start the timely attempts ahead."""
        if not self._has_accounts:
            return super().expected_wait_us(offer, now_us, service_us, limit)
        if self._competition.is_below_floor(offer):
            return 0.0
        lane = self._lane(offer)
        first_lane = _INNER_LANE
        if lane != _INNER_LANE and not self._competition.may_put_inner_first:
            first_lane += 1
        ahead_us = sum(
            self._cost_us(row, service_us)
            for queue in self._timely[first_lane:lane]
            for row in queue.values()
        )
        ahead_us += sum(
            self._cost_us(row, service_us) for row in self._timely_ahead(offer, now_us)
        )
        return ahead_us / max(1, limit) / self._new_work_share(offer)

    def started(self, row: OwnedRow, cost_us: float) -> None:
        """Record a start in the shares of the attempt's account and kind."""
        super().started(row, cost_us)
        if self._advance_competition(row.offer, row.started_us):
            if not row.offer.may_queue:
                self._competition.record_ask(row.offer)
            self._competition.record_start(row.offer, cost_us)

    def _eviction_victim(self, row: OwnedRow) -> OwnedRow | None:
        """Return the attempt to evict for a new one, or None.

        It is one of the account that is farthest over its share, if farther
        than the new one's, else what `TargetedQueues` evicts. If that is none,
        a new one below its floor evicts the newest one of the longest queue,
        and new work the newest call of a running request while such calls have
        had too many slots.
        """
        queues = [*self._late, *self._timely]
        if self._competition.excess_us:
            rows = (other for queue in queues for other in queue.values())
            victim = max(rows, key=self._place, default=None)
            if victim is not None:
                victim_excess_us = self._excess_us(victim.offer.account)
                if victim_excess_us > self._excess_us(row.offer.account):
                    return victim
        victim = super()._eviction_victim(row)
        if victim is None and self.standing(row.offer) is Standing.BELOW_FLOOR:
            longest = max(queues, key=len)
            return longest[next(reversed(longest))] if longest else None
        if victim is not None or row.offer.account is None:
            return victim
        inner = self._timely[_INNER_LANE]
        if inner and not self._competition.may_put_inner_first:
            return inner[next(reversed(inner))]
        return None

    def _advance_competition(self, offer: AttemptOffer, now_us: Micros) -> bool:
        """Return whether there are accounts; if so, update the shares."""
        if offer.account is not None and not self._has_accounts:
            self._begin_competition()
        if self._has_accounts:
            self._competition.advance(now_us, self._mean_service_us)
        return self._has_accounts

    def _begin_competition(self) -> None:
        """Move attempts without an account to their own queues."""
        for queues in (self._timely, self._late):
            for queue in queues[_INNER_LANE + 1 :]:
                inner = [row for row in queue.values() if row.offer.account is None]
                for row in inner:
                    attempt_id = row.offer.attempt_id
                    queues[_INNER_LANE][attempt_id] = queue.pop(attempt_id)
        self._has_accounts = True

    def _lane(self, offer: AttemptOffer) -> int:
        is_inner = self._has_accounts and offer.account is None
        return _INNER_LANE if is_inner else super()._lane(offer)

    def _next_lane(self, waiting: Sequence[int]) -> int:
        is_contended = waiting[0] == _INNER_LANE and len(waiting) > 1
        if is_contended and not self._competition.may_put_inner_first:
            waiting = waiting[1:]
        return super()._next_lane(waiting)

    def _next_row(self, queue: _Queue) -> OwnedRow:
        """Return the attempt whose account is least over its share."""
        if not self._has_accounts:
            return super()._next_row(queue)
        return min(queue.values(), key=self._place)

    def _next_below_floor(self) -> OwnedRow | None:
        for queues in (self._timely, self._late):
            for queue in queues:
                rows = [
                    row
                    for row in queue.values()
                    if self._competition.is_below_floor(row.offer)
                ]
                if rows:
                    return min(rows, key=self._place)
        return None

    def _place(self, row: OwnedRow) -> tuple[float, float]:
        """Return an attempt's place in its queue; the lowest is first."""
        due_us = row.target_due_us
        return (
            self._excess_us(row.offer.account),
            _NEVER if due_us is None else due_us,
        )

    def _excess_us(self, account: AccountName | None) -> float:
        excess_us = self._competition.excess_us
        return 0.0 if account is None else excess_us.get(account, 0.0)

    def _new_work_share(self, offer: AttemptOffer) -> float:
        """Return the share of the slots that calls of running requests leave.

        Those that will come while a new request waits start before it.
        """
        if offer.account is None:
            return 1.0
        return max(_MIN_NEW_WORK_SHARE, 1.0 - self._competition.inner_share)

    def _timely_ahead(self, offer: AttemptOffer, now_us: Micros) -> Iterator[OwnedRow]:
        """Yield the timely attempts of a rank that start before a new one."""
        if not self._has_accounts:
            yield from super()._timely_ahead(offer, now_us)
            return
        target_us = offer.target_us
        due_us = _NEVER if target_us is None else now_us + target_us
        place = (self._excess_us(offer.account), due_us)
        for row in self._timely[self._lane(offer)].values():
            if self._place(row) <= place:
                yield row

    def _hopeless_rows(self, now_us: Micros) -> list[OwnedRow]:
        """Return the attempts over their share that would wait too long."""
        hopeless = []
        ahead_us = 0.0
        for lane, queue in enumerate(self._timely):
            if lane == _INNER_LANE:
                ahead_us += sum(
                    self._cost_us(row, self._mean_service_us) for row in queue.values()
                )
                continue
            for row in sorted(queue.values(), key=self._place):
                waited_us = now_us - row.arrived_us
                slots = self._slots * self._new_work_share(row.offer)
                if self._is_hopeless(row, waited_us + ahead_us / slots):
                    hopeless.append(row)
                else:
                    ahead_us += self._cost_us(row, self._mean_service_us)
        return hopeless

    def _is_hopeless(self, row: OwnedRow, wait_us: float) -> bool:
        target_us = row.offer.target_us
        standing = self.standing(row.offer)
        if target_us is None or standing is not Standing.OVER_SHARE:
            return False
        longest_us = longest_wait_us(row.offer, target_us, standing)
        return wait_us > _HOPELESS_WAITS * longest_us

    def _cost_us(self, row: OwnedRow, service_us: float) -> float:
        return self._service_us.get(work_class(row.offer), service_us)
