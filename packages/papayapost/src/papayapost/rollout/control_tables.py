"""Tables of the nodes that watch orders and may control them."""

from dataclasses import field

from papayapost.define import define
from papayapost.ids import Incarnation, Micros, NodeId, RouteId
from papayapost.rollout.counts import RouteCounts, TimeCounts
from papayapost.rollout.messages import AnswerCounts, Grant, StagedOrder
from papayapost.rollout.plan import RolloutTimes
from papayapost.rollout.states import Phase
from papayapost.rollout.verdict import Evidence
from papayapost.storage import OrderObject, OrderState, OrderStatus

__all__ = ["ControlRow", "CountedNode"]

_RATE_WEIGHT = 0.2
_RATE_INTERVAL_US = 200_000


@define
class CountedNode:
    """The newest counts of one owner node's process."""

    counts: AnswerCounts
    heard_us: Micros


@define
class ControlRow:
    """An order that this node watches, and controls if it leads.

    Parameters
    ----------
    found
        The object as the store last showed it.
    order
        The order as this node announces it.
    times
        When the order was written; None if that is not known.
    seen_us
        Time in µs at which this node has first seen the order.
    writing
        Status whose write has not been answered.
    wanted
        Final status that this node wants to write.
    reason
        Why it wants that.
    is_leading, led_since_us
        Whether this node controls the order, and since when.
    announced_us
        Time in µs of the last announcement; 0 before one.
    final_announcements
        Number of announcements of a final phase.
    nodes
        Counts of the owner nodes by process.
    base_exposed
        Attempts on the target version that no living process has counted.
    is_based
        Whether `base_exposed` is known.
    rate_per_s, rate_total, rated_us
        Decayed rate of requests, and the total and time it was last taken.
    peak_running
        Largest number of attempts at the old servers at once.
    most_old_nodes
        Largest number of nodes with an old server.
    is_bursting
        Whether the trial sends calls now rather than saves room.
    shift_us, shift_answers
        Time in µs at which the move began, and answers of the target version
        until then; None and 0 before.
    may_be_completed
        Whether a status `COMPLETED` may have been sent, here or by a former
        controller.
    is_removed
        Whether the operator has removed the order.
    lost_state, lost_us
        Final status that the store has lost, to be written again, and the
        tick time in µs at which that was seen; None and 0 if there is none.
    has_news
        Whether grants have changed since the last announcement.
    share, grants
        Share of the calls for the trial, and the grants of its servers.
    """

    found: OrderObject
    order: StagedOrder
    times: RolloutTimes | None
    seen_us: Micros
    evidence: Evidence = field(default_factory=Evidence)
    writing: OrderState | None = None
    write_due_us: Micros = Micros(0)
    wanted: OrderState | None = None
    reason: str = ""
    is_leading: bool = False
    led_since_us: Micros = Micros(0)
    announced_us: Micros = Micros(0)
    final_announcements: int = 0
    nodes: dict[tuple[NodeId, Incarnation], CountedNode] = field(default_factory=dict)
    base_exposed: int = 0
    is_based: bool = False
    rate_per_s: float = 0.0
    rate_total: int = 0
    rated_us: Micros = Micros(0)
    peak_running: int = 0
    most_old_nodes: int = 0
    is_bursting: bool = False
    share: float = 0.0
    grants: tuple[Grant, ...] = ()
    shift_us: Micros | None = None
    shift_answers: int = 0
    may_be_completed: bool = False
    is_removed: bool = False
    lost_state: OrderState | None = None
    lost_us: Micros = Micros(0)
    has_news: bool = False

    def status_of(self, state: OrderState) -> OrderStatus:
        """Return the status that tells a state of this order."""
        return OrderStatus(state, self.order.target_version)

    @property
    def phase(self) -> Phase:
        """Phase that this node announces."""
        return self.order.phase

    @property
    def total(self) -> int:
        """Attempts that all servers have run since the order."""
        return sum(node.counts.started for node in self.nodes.values())

    @property
    def exposed(self) -> int:
        """Attempts that servers of the target version have admitted."""
        return self.base_exposed + self.counted_exposed()

    def counted_exposed(self) -> int:
        """Return the attempts that the processes themselves have counted."""
        target = self.order.target_version
        return sum(
            node.counts.admitted
            for node in self.nodes.values()
            if node.counts.version == target
        )

    def add(self, counts: AnswerCounts, now_us: Micros) -> None:
        """Store the counts of a process, and add what is new as evidence."""
        key = (counts.sender, counts.incarnation)
        known = self.nodes.get(key)
        if known is not None and known.counts.version == counts.version:
            before = {route.route_id: route for route in known.counts.routes}
            known.counts, known.heard_us = counts, now_us
        else:
            before = {}
            self.nodes[key] = CountedNode(counts, now_us)
        if counts.version not in (
            self.order.target_version,
            self.order.stable_version,
        ):
            return
        is_new = counts.version == self.order.target_version
        for route in counts.routes:
            step = _difference(route, before.get(route.route_id))
            if step is None:
                continue
            if is_new:
                self.evidence.add_new(step)
            else:
                self.evidence.add_old(step)

    def refresh_running(self, now_us: Micros, limit_us: int) -> None:
        """Tell the evidence which attempts are running now."""
        running: list[tuple[RouteId, TimeCounts]] = []
        for node in self.nodes.values():
            if node.counts.version != self.order.target_version:
                continue
            if now_us - node.heard_us <= limit_us:
                running += [(r.route_id, r.running) for r in node.counts.routes]
        self.evidence.set_running(running)

    def refresh_rate(self, now_us: Micros) -> None:
        """Update the decayed rate of requests."""
        if now_us - self.rated_us < _RATE_INTERVAL_US:
            return
        total = self.total
        if self.rated_us:
            span_s = (now_us - self.rated_us) / 1e6
            rate = max(0, total - self.rate_total) / span_s
            weight = _RATE_WEIGHT if self.rate_per_s else 1.0
            self.rate_per_s += weight * (rate - self.rate_per_s)
        self.rate_total, self.rated_us = total, now_us


def _difference(route: RouteCounts, before: RouteCounts | None) -> RouteCounts | None:
    """Return the answers since an earlier report, or None without any."""
    if before is None:
        return route if route.answers or route.cancelled else None
    if route.answers == before.answers and route.cancelled == before.cancelled:
        return None
    return RouteCounts(
        route.route_id,
        max(0, route.answers - before.answers),
        max(0, route.failures - before.failures),
        _times_since(route.times, before.times),
        (),
        _times_since(route.cancelled, before.cancelled),
    )


def _times_since(times: TimeCounts, before: TimeCounts) -> TimeCounts:
    known = dict(before)
    return tuple(
        (time, count - known.get(time, 0))
        for time, count in times
        if count > known.get(time, 0)
    )
