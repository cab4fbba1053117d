"""Applies the reports of this node's backend server."""

from dataclasses import replace

from papayapost.define import define
from papayapost.ids import (
    InstanceId,
    Micros,
    ReportId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, OwnRowChanged
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import BackendServerState
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.internal import DepartureApplied, DeparturesRead
from papayapost.traffic.owner.concurrency import ConcurrencyLimit
from papayapost.traffic.owner.departures import Departure
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.tables import OwnBackendRow, OwnerTables
from papayapost.traffic.owner_messages import (
    BackendServerDeregistered,
    BackendServerReported,
    RefuseQueuedAttempts,
    ReportDeferred,
    ReportTaken,
)

__all__ = ["ApplyBackendReports"]

_MIN_SILENCE_US = 3_500_000
"""Shortest silence that counts as a fault. A healthy backend server's reports
can arrive seconds late."""

_MAX_MISSED_REPORTS = 3


@define
class BackendServerSilent:
    """Timer: the backend server has missed several reports in a row."""

    instance: InstanceId


class ApplyBackendReports(System):
    """Updates this node's directory row from its backend server's reports.

    Requests reach the backend server only through this node. Before the node
    acknowledges that the backend server drains or leaves, it stops forwarding
    and refuses all waiting attempts as not run, so that entry nodes can retry
    them elsewhere. `RecordDepartures` acknowledges departures, all other
    reports are acknowledged at once.

    Reports are ordered by the start time of the reporting process and by the
    process's report counter. A delayed report, sent by an earlier process or
    before a drain, is ignored. The first report of a process is kept back
    until it is known whether it has left during an earlier process of this
    node.

    Parameters
    ----------
    interval_us
        Expected time between two reports, in µs.
    announces_version
        Whether the directory row tells the version of the backend server.
    """

    consumes = (
        BackendServerDeregistered,
        BackendServerReported,
        BackendServerSilent,
        DeparturesRead,
    )

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        upstreams: Upstreams,
        owner: OwnerTables,
        queue: QueueDiscipline,
        concurrency: ConcurrencyLimit,
        drain: DrainRow,
        interval_us: int,
        announces_version: bool = False,
    ):
        self._me = me
        self._directory = directory
        self._upstreams = upstreams
        self._owner = owner
        self._queue = queue
        self._concurrency = concurrency
        self._drain = drain
        self._announces_version = announces_version
        self._interval_us = interval_us
        self._silence_us = max(_MIN_SILENCE_US, _MAX_MISSED_REPORTS * interval_us)

    def run(self, tick: Tick) -> None:
        """Apply reports in order of arrival."""
        for reported in tick.take(BackendServerReported):
            if reported.state is BackendServerState.DRAINING:
                self._apply_drain(tick, reported)
            else:
                self._apply_ready(tick, reported)
                tick.emit(ReportTaken(reported.report_id))
        for left in tick.take(BackendServerDeregistered):
            self._apply_deregistration(tick, left)
        if tick.take(DeparturesRead):
            self._apply_unconfirmed(tick)
        for silent in tick.take(BackendServerSilent):
            self._apply_silence(tick, silent.instance)

    def _apply_ready(self, tick: Tick, reported: BackendServerReported) -> None:
        owner, known = self._owner, self._owner.backend
        if owner.departures.has_left(reported.born_ms):
            return
        if known is not None and not _is_outdated_by(known, reported):
            return
        if known is None and not owner.departures.is_trusted(tick.now_us):
            unconfirmed = owner.unconfirmed
            if unconfirmed is None or _order(unconfirmed) < _order(reported):
                owner.unconfirmed = reported
            return
        row = self._take_over(tick, reported)
        self._restart_silence_timer(tick, row)
        self._publish_state(tick, row.service, row.slots, row.state)

    def _apply_unconfirmed(self, tick: Tick) -> None:
        unconfirmed, self._owner.unconfirmed = self._owner.unconfirmed, None
        if unconfirmed is not None:
            self._apply_ready(tick, unconfirmed)

    def _apply_drain(self, tick: Tick, reported: BackendServerReported) -> None:
        owner, known = self._owner, self._owner.backend
        is_newer = known is None or _is_outdated_by(known, reported)
        if is_newer and not owner.departures.has_left(reported.born_ms):
            self._take_over(tick, reported)
        departure = Departure(reported.instance, reported.born_ms)
        self._apply_departure(tick, reported.report_id, departure)

    def _apply_deregistration(
        self, tick: Tick, left: BackendServerDeregistered
    ) -> None:
        known = self._owner.backend or self._owner.unconfirmed
        is_known = known is not None and known.instance == left.instance
        born_ms = left.born_ms
        if born_ms is None and known is not None and is_known:
            born_ms = known.born_ms
        if born_ms is None or (
            known is not None and not is_known and born_ms > known.born_ms
        ):
            # Nothing shows which process left, or that it has ever been here.
            tick.emit(ReportDeferred(left.report_id))
            return
        departure = Departure(left.instance, born_ms)
        self._apply_departure(tick, left.report_id, departure)

    def _apply_departure(
        self, tick: Tick, report_id: ReportId, departure: Departure
    ) -> None:
        """Take no more work for a process that drains or has deregistered.

        A process never comes back from that, whatever it still reports.
        """
        owner, known = self._owner, self._owner.backend
        if not owner.departures.has_left(departure.born_ms):
            owner.departures.latest = departure
            if known is not None and known.born_ms <= departure.born_ms:
                tick.cancel_timer("backend server silent")
                draining = BackendServerState.DRAINING
                self._publish_state(tick, known.service, known.slots, draining)
        tick.post(DepartureApplied(report_id, departure.born_ms))

    def _take_over(self, tick: Tick, reported: BackendServerReported) -> OwnBackendRow:
        """Replace the row of the backend server by that of a newer report."""
        owner, known = self._owner, self._owner.backend
        row = OwnBackendRow(
            reported.instance,
            reported.born_ms,
            reported.sequence,
            reported.service,
            reported.slots,
            reported.state,
            reported.version,
            _warm_us(known, reported, tick.now_us),
        )
        owner.backend = row
        if known is None or known.process != row.process:
            detail = f"instance {row.instance}, started at {row.born_ms} ms"
            tick.emit(Noted(Event.BACKEND_SERVER_SEEN, detail=detail))
            # Also a node that restarts sees a new process. The number of its
            # reports tells for how long it has been running.
            age_us = row.sequence * self._interval_us
            if self._concurrency.server_started(age_us, tick.now_us):
                tick.emit(Noted(Event.BACKEND_SERVER_STARTING))
        self._resize(row.slots)
        self._owner.limit = self._concurrency.limit
        return row

    def _apply_silence(self, tick: Tick, instance: InstanceId) -> None:
        known = self._owner.backend
        if known is None or known.instance != instance:
            return
        if known.state is BackendServerState.READY:
            detail = f"instance {instance}, last report {known.sequence}"
            tick.emit(Noted(Event.BACKEND_SERVER_SILENT, detail=detail))
            self._publish_state(
                tick, known.service, known.slots, BackendServerState.COLD
            )

    def _restart_silence_timer(self, tick: Tick, row: OwnBackendRow) -> None:
        due_us = Micros(tick.now_us + self._silence_us)
        silent = BackendServerSilent(row.instance)
        tick.set_timer("backend server silent", due_us, silent)

    def _resize(self, slots: int) -> None:
        if slots != self._owner.slots:
            self._owner.slots = slots
            self._queue.resize(slots)
            self._concurrency.resize(slots)
            self._owner.limit = self._concurrency.limit

    def _publish_state(
        self, tick: Tick, service: ServiceName, slots: int, state: BackendServerState
    ) -> None:
        """Publish the backend server's state; refuse attempts if it drains.

        The directory row of this node takes over service, slots and state,
        unless the node itself drains.
        """
        own_row = self._directory.require(self._me.node_id)
        is_draining = state is BackendServerState.DRAINING
        if is_draining and not self._owner.is_backend_draining:
            tick.post(RefuseQueuedAttempts())
        self._owner.is_backend_draining = is_draining
        if self._drain.is_announced:
            # The node itself drains; its row stays DRAINING until it exits.
            return
        changed = replace(
            own_row,
            service=service,
            slots=slots,
            state=state,
            software_version=self._announced_version(),
        )
        if changed == own_row:
            return
        changed.revision += 1
        self._directory.put(own_row.node_id, changed)
        self._upstreams.remove_node(service, own_row.node_id)
        if own_row.service is not None:
            self._upstreams.remove_node(own_row.service, own_row.node_id)
        tick.post(OwnRowChanged())
        detail = f"{state.value}, {slots} slots of {service}"
        tick.emit(Noted(Event.BACKEND_SERVER_CHANGED, detail=detail))

    def _announced_version(self) -> SoftwareVersion:
        backend = self._owner.backend
        if backend is None or not self._announces_version:
            return SoftwareVersion("")
        return backend.version


def _order(reported: BackendServerReported) -> tuple[int, int]:
    return (reported.born_ms, reported.sequence)


def _warm_us(
    known: OwnBackendRow | None, reported: BackendServerReported, now_us: Micros
) -> Micros:
    """Return the time in µs from which a backend server is warm.

    Once it is, the time stays, so that it tells cold attempts of the past.
    """
    if reported.warm_after_ms > 0:
        return Micros(now_us + int(reported.warm_after_ms * 1000))
    if known is not None and known.process == reported.process:
        return known.warm_us
    return Micros(0)


def _is_outdated_by(known: OwnBackendRow, reported: BackendServerReported) -> bool:
    """Return whether a report is newer than the last one that was applied."""
    if reported.process != known.process:
        return reported.born_ms > known.born_ms
    return reported.sequence > known.sequence
