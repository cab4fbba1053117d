"""Builds the world of a node from its settings."""

from random import Random

from papayapost.distribution import EvidenceRow
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
    ServiceName,
)
from papayapost.membership import BackendServerRow
from papayapost.node import NodeWorld, build_node_world, build_roster_world
from papayapost.place import Place, SelfRow
from papayapost.rollout import RolloutLimits
from papayapost.states import BackendServerState
from papayapost.traffic import SharedBudget, TrafficOptions
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost_node.clock import Clock
from papayapost_node.drain import StopTimes
from papayapost_node.settings import Discovery, QueueOrder, Settings, SlowStart

__all__ = ["build_world", "self_row"]

_EVIDENCE_SHARE = 0.8
"""Largest age of the evidence that the rules are the newest, as a fraction of
the bound on the removal of a key. The rest covers a store whose watches miss
changes for a second before it cuts them."""


def self_row(settings: Settings, clock: Clock) -> SelfRow:
    """Return a row that describes this node.

    Its incarnation is the current wall-clock time in µs, which is higher than
    that of the node's previous process.
    """
    place = Place(DataCentreId(settings.data_centre), RegionId(settings.region))
    return SelfRow(
        NodeId(settings.node_id),
        Incarnation(clock.wall_us()),
        place,
        Address(settings.peer_address),
    )


def build_world(
    settings: Settings, me: SelfRow, queue: QueueDiscipline | None
) -> NodeWorld:
    """Return the world of a node with the systems that its settings select.

    Parameters
    ----------
    queue
        Queue discipline to use in place of the one that the settings select.
    """
    own_row, random = _own_row(settings, me), Random(me.incarnation)
    options = _traffic_options(settings)
    if settings.discovery is Discovery.ROSTER:
        return build_roster_world(
            me,
            own_row,
            random,
            queue,
            options,
            settings.max_rules_bytes,
            EvidenceRow(_evidence_limit_us(settings)),
            _data_centres(settings),
            _rollout_limits(settings),
        )
    seeds = [Address(seed) for seed in settings.seeds]
    return build_node_world(me, seeds, own_row, random, queue, options)


def _evidence_limit_us(settings: Settings) -> Micros | None:
    if settings.revocation_ms is None:
        return None
    return Micros(int(settings.revocation_ms * 1000 * _EVIDENCE_SHARE))


def _data_centres(settings: Settings) -> dict[DataCentreId, RegionId]:
    return {
        DataCentreId(name): RegionId(region)
        for name, region in (settings.data_centres or {}).items()
    }


def _rollout_limits(settings: Settings) -> RolloutLimits | None:
    rollout = settings.rollout
    if rollout is None:
        return None
    return RolloutLimits(
        rollout.exposure_share,
        rollout.exposure_slack,
        Micros(rollout.rollback_ms * 1000),
    )


def _traffic_options(settings: Settings) -> TrafficOptions:
    budget, shared = settings.retry_budget, None
    if budget is not None:
        shared = SharedBudget(budget.ratio, budget.slack, budget.window_ms * 1000)
    backend = settings.backend_server
    default = TrafficOptions()
    return TrafficOptions(
        shared,
        settings.hold_ms * 1000,
        backend.report_interval_ms * 1000 if backend else default.report_interval_us,
        settings.drain_grace_ms * 1000,
        settings.drain_announce_ms * 1000,
        Micros(StopTimes.within(settings.stop_limit_s).work_ms * 1000),
        settings.queue is QueueOrder.TARGETS,
        settings.report_address is not None,
        settings.rollout is not None,
        settings.slow_start is SlowStart.ADAPTIVE,
    )


def _own_row(settings: Settings, me: SelfRow) -> BackendServerRow:
    backend = settings.backend_server
    # A backend server that reports itself stays cold until its first report.
    is_reported = backend is not None and backend.slots is None
    state = BackendServerState.COLD if is_reported else BackendServerState.READY
    return BackendServerRow(
        node_id=me.node_id,
        incarnation=me.incarnation,
        revision=1,
        service=ServiceName(backend.service) if backend else None,
        data_centre=me.place.data_centre,
        region=me.place.region,
        peer_address=me.peer_address,
        slots=(backend.slots or 0) if backend else 0,
        state=state,
        link_mbps=settings.link_mbps,
    )
