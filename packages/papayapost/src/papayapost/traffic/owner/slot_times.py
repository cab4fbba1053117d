"""Estimates when an attempt gets a slot and how long it holds one."""

from papayapost.ids import Micros, NodeId
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.concurrency import ConcurrencyLimit, ServiceTimes
from papayapost.traffic.owner.link_plan import LinkPlan
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.tables import OwnerTables, work_class

__all__ = ["SlotTimes"]


class SlotTimes:
    """Waits and slot times of attempts, from what this node has seen.

    Parameters
    ----------
    node_id
        This node.
    """

    def __init__(
        self,
        node_id: NodeId,
        tables: OwnerTables,
        queue: QueueDiscipline,
        concurrency: ConcurrencyLimit,
        link_plan: LinkPlan,
    ):
        self._link_plan = link_plan
        self._node_id = node_id
        self._tables = tables
        self._queue = queue
        self._concurrency = concurrency
        self._service_times = ServiceTimes()

    def has_free_slot(self, offer: AttemptOffer) -> bool:
        """Return whether an attempt can start now and be answered soon.

        Answers that wait to be sent hold no slot. They show that the link of
        this VM is full, and an answer to another node would wait behind them.
        They are not counted where the link's rate and the length of the answer
        are known: small answers pass them, and `LinkPlan` tells for how long a
        large one would wait.
        """
        tables = self._tables
        taken = tables.running + tables.waiting
        if offer.sender != self._node_id and not self._is_link_planned(offer):
            taken += len(tables.blocked_answers)
        return taken < self._concurrency.limit

    def expected_wait_us(self, offer: AttemptOffer, now_us: Micros) -> float:
        """Return the time in µs until a new attempt would start."""
        if self.has_free_slot(offer):
            return 0.0
        times, tables = self._service_times, self._tables
        # Work ahead may be longer than the attempt's own, or of its kind.
        service_us = max(times.mean_of_all_us(now_us), self.mean_us(offer, now_us))
        next_slot_us = service_us / max(1, self._concurrency.limit)
        if not tables.waiting:
            return next_slot_us
        due_us = None if offer.target_us is None else now_us + offer.target_us
        queue_wait_us = self._queue.expected_wait_us(
            offer.rank, due_us, service_us, tables.limit
        )
        oldest_wait_us = self._queue.oldest_wait_us(offer.rank, due_us, now_us)
        return max(queue_wait_us + next_slot_us, oldest_wait_us)

    def _is_link_planned(self, offer: AttemptOffer) -> bool:
        return self._link_plan.is_known_small(offer) or self._link_plan.plans(offer)

    def mean_us(self, offer: AttemptOffer, now_us: Micros) -> float:
        """Return the mean time in µs for which such attempts hold a slot."""
        return self._service_times.mean_us(work_class(offer), now_us)

    def shortest_us(self, offer: AttemptOffer, now_us: Micros) -> float:
        """Return the time in µs for which short attempts of the kind do."""
        return self._service_times.low_estimate_us(work_class(offer), now_us)

    def add_sample(self, offer: AttemptOffer, held_us: int, now_us: Micros) -> None:
        """Add the slot time in µs of one completely answered attempt."""
        self._service_times.add_sample(work_class(offer), held_us, now_us)
