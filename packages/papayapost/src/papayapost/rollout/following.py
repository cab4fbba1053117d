"""The system by which every node learns of orders and their stages."""

from collections.abc import Iterable

from papayapost.ids import Micros, ServiceName, SoftwareVersion
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rollout.internal import LeaseEnded, OrdersAskDue, RolloutStarted
from papayapost.rollout.messages import (
    OrdersKnown,
    OrdersWanted,
    RolloutStage,
    StagedOrder,
)
from papayapost.rollout.states import FINAL_PHASES, Phase
from papayapost.rollout.tables import OrderRow, RolloutTables
from papayapost.rollout.versions import OrderedVersions
from papayapost.states import BackendServerState
from papayapost.storage import OrderObject, OrdersRead, OrderState
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.owner_messages import RefuseQueuedAttempts

__all__ = ["FollowOrders", "supersedes"]

_ASK_INTERVAL_US = 250_000
_DOUBT_INTERVAL_US = 1_000_000
"""Time between two requests of a node that starts, and between two checks of
any other node whether it may have missed the end of an order."""

_ASKED_PEERS = 3
_GUESS_AFTER_US = 3_000_000
"""Time after the start from which a node that nobody has told the orders goes
by the version of most servers. A whole mesh that starts has read the orders by
then, unless the store is away."""


class FollowOrders(System):
    """Keeps the table of orders from the stages that a controller sends.

    A node that starts asks its peers. Until it knows the orders, its server
    gets no attempts, as its version may be one that no order allows.

    The load pattern that it answers: nodes start with servers of a new version
    beside the old ones, restart amid a roll-out, or lose their controller.
    """

    consumes = (
        DirectoryChanged,
        LeaseEnded,
        OrdersAskDue,
        OrdersKnown,
        OrdersRead,
        OrdersWanted,
        RolloutStage,
        RolloutStarted,
    )

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        tables: RolloutTables,
        versions: OrderedVersions,
        upstreams: Upstreams,
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._versions = versions
        self._upstreams = upstreams
        self._started_us = Micros(0)
        self._is_open: bool | None = None

    def run(self, tick: Tick) -> None:
        """Apply stages and answers, then what they mean for this node."""
        tables = self._tables
        self._versions.set_time(tick.now_us)
        for wanted in tick.take(OrdersWanted):
            tick.emit(PeerSend(wanted.reply_to, self._known()))
        for read in tick.take(OrdersRead):
            if read.is_whole and not tables.is_established:
                tables.unproven_versions = _unproven_versions(read.orders)
                self._establish(tick)
        for known in tick.take(OrdersKnown):
            self._apply_known(tick, known)
        for stage in tick.take(RolloutStage):
            self._apply_stage(tick, stage)
        for ended in tick.take(LeaseEnded):
            self._upstreams.rebuild(ended.service, tick.now_us)
        self._ask_if_due(tick)
        if tables.is_established:
            for changed in tick.take(DirectoryChanged):
                self._record_stable_versions(changed)
        self._check_own_version(tick)

    def _record_stable_versions(self, changed: DirectoryChanged) -> None:
        """Keep the version of a service that is new to this node."""
        tables = self._tables
        for row in changed.rows:
            if row.service and row.service not in tables.stable_versions:
                tables.stable_version(row.service)

    def _ask_if_due(self, tick: Tick) -> None:
        is_start, is_due = tick.take(RolloutStarted), tick.take(OrdersAskDue)
        if is_start:
            self._started_us = tick.now_us
        if not (is_start or is_due):
            return
        is_established = self._tables.is_established
        if not is_established or self._is_in_doubt(tick.now_us):
            self._ask(tick)
        interval_us = _DOUBT_INTERVAL_US if is_established else _ASK_INTERVAL_US
        due_us = Micros(tick.now_us + interval_us)
        tick.set_timer(OrdersAskDue, due_us, OrdersAskDue())

    def _is_in_doubt(self, now_us: Micros) -> bool:
        """Return whether this node may have missed the end of an order.

        A node that was cut off would otherwise go on with the old version,
        whose servers have stopped.
        """
        orders = self._tables.orders
        if any(not row.is_final and now_us >= row.lease_end_us() for row in orders):
            return True
        return any(
            self._lacks_servers(service, now_us)
            for service in self._tables.stable_versions
            if service not in orders or orders.require(service).is_final
        )

    def _lacks_servers(self, service: ServiceName, now_us: Micros) -> bool:
        """Return whether all servers of a service have other versions."""
        current = self._tables.current_version(service, now_us)
        ready = [
            row.software_version
            for row in self._directory.find("service", service)
            if row.state is BackendServerState.READY
        ]
        return bool(ready) and current not in ready

    def _ask(self, tick: Tick) -> None:
        me, tables = self._me, self._tables
        others = [row for row in self._directory if row.node_id != me.node_id]
        count = min(_ASKED_PEERS, len(others))
        for row in tick.random.sample(others, count):
            wanted = OrdersWanted(me.node_id, me.peer_address)
            tick.emit(PeerSend(row.peer_address, wanted))
        may_guess = tick.now_us - self._started_us >= _GUESS_AFTER_US
        if may_guess and not tables.may_guess:
            tables.may_guess = True
            self._reopen(tick)

    def _known(self) -> OrdersKnown:
        tables = self._tables
        return OrdersKnown(
            self._me.node_id,
            tables.is_established,
            tuple(row.order for row in tables.orders),
            tuple(tables.stable_versions.items()),
        )

    def _establish(self, tick: Tick) -> None:
        tables = self._tables
        if tables.is_established:
            return
        tables.is_established = True
        self._reopen(tick)

    def _reopen(self, tick: Tick) -> None:
        """Use the versions that this node knows now, or takes for stable."""
        tables = self._tables
        for service in {row.service for row in self._directory if row.service}:
            tables.stable_version(service)
            self._upstreams.rebuild(service, tick.now_us)
        if tables.own_row is not None:
            # Calls that are held for want of a server may go on.
            tick.post(DirectoryChanged((tables.own_row,)))

    def _apply_known(self, tick: Tick, known: OrdersKnown) -> None:
        if not known.is_established:
            return
        is_established = self._tables.is_established
        for order in known.orders:
            if order.phase in FINAL_PHASES:
                self._put(tick, OrderRow(order))
            elif not is_established:
                # A stage without its times gives no lease; the next one does.
                self._put(tick, OrderRow(_with_phase(order, Phase.HELD)))
        if is_established:
            return
        self._tables.stable_versions.update(known.stable_versions)
        self._establish(tick)

    def _apply_stage(self, tick: Tick, stage: RolloutStage) -> None:
        me = self._me
        grant = next(
            (
                grant.attempts
                for grant in stage.grants
                if grant.node_id == me.node_id and grant.incarnation == me.incarnation
            ),
            0,
        )
        row = OrderRow(
            stage.order,
            stage.share,
            frozenset(grant.node_id for grant in stage.grants),
            grant,
            tick.now_us,
            stage.sender,
            stage.reply_to,
            stage.exposed,
            stage.total,
            stage.elapsed_us,
            stage.elapsed_late_us,
        )
        if not self._put(tick, row):
            return
        if not row.is_final:
            ended = LeaseEnded(stage.order.service)
            key = ("rollout lease", stage.order.service)
            tick.set_timer(key, row.lease_end_us(), ended)

    def _put(self, tick: Tick, row: OrderRow) -> bool:
        """Store an order unless a later one is known."""
        tables, order = self._tables, row.order
        before = tables.orders.get(order.service)
        if before is not None and not supersedes(order, before.order):
            return False
        if order.stable_version:
            tables.stable_versions[order.service] = order.stable_version
        if order.phase is Phase.COMPLETED:
            tables.stable_versions[order.service] = order.target_version
        tables.orders.put(order.service, row)
        own = tables.own_row
        is_own = own is not None and own.service == order.service
        is_new = (
            before is None
            or before.order.target_version != order.target_version
            or (before.is_final and not row.is_final)
        )
        if is_own and is_new:
            # An order for another service must not give this node's trial
            # more attempts.
            tables.start_count()
        known = before.order if before is not None else None
        if known != order:
            self._upstreams.rebuild(order.service, tick.now_us)
        return True

    def _check_own_version(self, tick: Tick) -> None:
        """Refuse queued attempts once this node's version may not run."""
        own = self._tables.own_row
        if own is None or not own.software_version or own.service is None:
            return
        is_open = self._versions.is_open(tick.now_us)
        if is_open == self._is_open:
            return
        if not (self._tables.is_established or self._tables.may_guess):
            return
        self._is_open = is_open
        detail = f"{own.service} {own.software_version}"
        if is_open:
            tick.emit(Noted(Event.VERSION_OPENED, detail=detail))
        else:
            tick.emit(Noted(Event.VERSION_CLOSED, detail=detail))
            tick.post(RefuseQueuedAttempts())


def supersedes(order: StagedOrder, known: StagedOrder) -> bool:
    """Return whether an order replaces the one known for its service.

    A final phase ends an order for good. An order for the same version that
    is written again later has a higher revision.
    """
    if order.target_version != known.target_version:
        return order.revision > known.revision
    if known.phase in FINAL_PHASES:
        return order.revision > known.revision
    return True


def _unproven_versions(
    orders: Iterable[OrderObject],
) -> dict[ServiceName, SoftwareVersion]:
    """Return the target versions of orders that are not completed."""
    return {
        ServiceName(found.name): found.spec.target_version
        for found in orders
        if found.spec is not None and found.current_state is not OrderState.COMPLETED
    }


def _with_phase(order: StagedOrder, phase: Phase) -> StagedOrder:
    return StagedOrder(
        order.service,
        order.target_version,
        order.stable_version,
        order.revision,
        phase,
    )
