"""The system that counts the answers of this node's backend server."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import field

from papayapost.define import define
from papayapost.ids import (
    AttemptId,
    Micros,
    RouteId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rollout.counts import RouteCounts, TimeCounts, time_class
from papayapost.rollout.internal import CountsDue
from papayapost.rollout.messages import AnswerCounts, RolloutStage
from papayapost.rollout.states import Phase
from papayapost.rollout.tables import OrderRow, RolloutTables
from papayapost.rollout.versions import OrderedVersions
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import OwnedRow, OwnedState, OwnerTables
from papayapost.traffic.owner_messages import BackendCallBegun, BackendCallEnded

__all__ = ["CountAnswers"]

_INTERVAL_US = 250_000
_OLD_INTERVAL_US = 500_000
"""Time between two reports, and that of an old server before the move. There
are many of those, and the controller's VM may have half a core."""

_SILENCE_US = 3_000_000
"""Time without a stage after which a node reports no more counts."""

_FIRST_FAILED_STATUS = 500
_MAX_ROUTES = 64
_UNKNOWN_ROUTE = RouteId(0)


@define
class RouteTally:
    """Answers on one route since the order."""

    answers: int = 0
    failures: int = 0
    times: Counter[int] = field(default_factory=Counter)
    cancelled: Counter[int] = field(default_factory=Counter)


@define(frozen=True)
class _Subject:
    """What a node counts: the answers of one version under one order."""

    service: ServiceName
    target_version: SoftwareVersion
    counted_orders: int
    version: SoftwareVersion


class CountAnswers(System):
    """Counts answers by route while the service is rolled out, and reports.

    All numbers are totals since the order, so that a lost report or a new
    controller changes no result. Answers of a server that is cold after its
    start count without their time.

    The load pattern that it answers: a version that is bad on one route, or
    only under the load that one server gets.
    """

    consumes = (BackendCallBegun, BackendCallEnded, CountsDue, RolloutStage)

    def __init__(
        self,
        me: SelfRow,
        tables: RolloutTables,
        versions: OrderedVersions,
        owner: OwnerTables,
    ):
        self._me = me
        self._tables = tables
        self._versions = versions
        self._owner = owner
        self._subject: _Subject | None = None
        self._routes: dict[RouteId, RouteTally] = {}
        self._failed: set[AttemptId] = set()
        self._started_before = 0
        self._is_reporting = False
        self._phase: Phase | None = None

    def run(self, tick: Tick) -> None:
        """Count what has ended, and report what is due."""
        own = self._tables.own_row
        if own is None or own.service is None:
            return
        row = self._tables.orders.get(own.service)
        if row is None or row.is_final:
            self._subject, self._is_reporting = None, False
            return
        self._follow(own, row)
        for begun in tick.take(BackendCallBegun):
            if begun.status >= _FIRST_FAILED_STATUS:
                self._failed.add(begun.attempt_id)
        for ended in tick.take(BackendCallEnded):
            self._count(tick, ended)
        is_due, is_told = bool(tick.take(CountsDue)), bool(tick.take(RolloutStage))
        has_moved = row.order.phase is not self._phase
        self._phase = row.order.phase
        if is_due or (is_told and (has_moved or not self._is_reporting)):
            self._report(tick, row, own)

    def _follow(self, own: BackendServerRow, row: OrderRow) -> None:
        order = row.order
        subject = _Subject(
            order.service,
            order.target_version,
            self._tables.counted_orders,
            own.software_version,
        )
        if subject != self._subject:
            self._subject = subject
            self._routes.clear()
            self._failed.clear()
            self._started_before = sum(self._owner.counters.started)

    def _count(self, tick: Tick, ended: BackendCallEnded) -> None:
        is_failed = ended.attempt_id in self._failed
        self._failed.discard(ended.attempt_id)
        row = self._owner.attempts.get(ended.attempt_id)
        if row is None or row.state is not OwnedState.RUNNING:
            return
        if ended.is_refused or not ended.is_sent:
            return
        tally = self._tally(row.offer)
        held = time_class(Micros(tick.now_us - row.started_us))
        if row.is_cancelled:
            tally.cancelled[held] += 1
            return
        tally.answers += 1
        if is_failed or not ended.is_whole:
            tally.failures += 1
        elif not self._is_cold(row.started_us):
            tally.times[held] += 1

    def _tally(self, offer: AttemptOffer) -> RouteTally:
        route_id = _UNKNOWN_ROUTE if offer.route_id is None else offer.route_id
        if route_id not in self._routes and len(self._routes) >= _MAX_ROUTES:
            route_id = _UNKNOWN_ROUTE
        return self._routes.setdefault(route_id, RouteTally())

    def _is_cold(self, at_us: Micros) -> bool:
        backend = self._owner.backend
        return backend is not None and at_us < backend.warm_us

    def _report(self, tick: Tick, row: OrderRow, own: BackendServerRow) -> None:
        self._is_reporting = tick.now_us - row.received_us < _SILENCE_US
        if not self._is_reporting:
            return
        is_new = own.software_version == row.order.target_version
        is_hurried = is_new or row.order.phase is Phase.SHIFT
        interval_us = _INTERVAL_US if is_hurried else _OLD_INTERVAL_US
        due_us = Micros(tick.now_us + interval_us)
        tick.set_timer(CountsDue, due_us, CountsDue())
        counts = self._counts(tick, row, own)
        if row.controller == self._me.node_id:
            tick.post(counts)
        elif row.controller_address:
            tick.emit(PeerSend(row.controller_address, counts))

    def _counts(self, tick: Tick, row: OrderRow, own: BackendServerRow) -> AnswerCounts:
        running = [r for r in self._owner.attempts if r.state is OwnedState.RUNNING]
        times: dict[RouteId, Counter[int]] = {}
        for attempt in running:
            route_id = attempt.offer.route_id or _UNKNOWN_ROUTE
            held = time_class(Micros(tick.now_us - attempt.started_us))
            times.setdefault(route_id, Counter())[held] += 1
            self._routes.setdefault(route_id, RouteTally())
        return AnswerCounts(
            self._me.node_id,
            self._me.incarnation,
            row.order.service,
            row.order.target_version,
            own.software_version,
            sum(self._owner.counters.started) - self._started_before,
            self._tables.admitted,
            len(self._owner.attempts),
            _count_once(self._owner.attempts),
            self._versions.is_open(tick.now_us),
            self._is_cold(tick.now_us),
            tuple(
                RouteCounts(
                    route_id,
                    tally.answers,
                    tally.failures,
                    _sorted(tally.times),
                    _sorted(times.get(route_id, Counter())),
                    _sorted(tally.cancelled),
                )
                for route_id, tally in self._routes.items()
            ),
        )


def _count_once(rows: Iterable[OwnedRow]) -> int:
    return sum(not row.offer.idempotent for row in rows)


def _sorted(times: Counter[int]) -> TimeCounts:
    return tuple(sorted(times.items()))
