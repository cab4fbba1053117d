"""Systems that follow what the own backend server says of itself."""

from dataclasses import dataclass, replace

from papayapost.ids import InstanceId, Micros, ServiceName
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, OwnRowChanged
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.states import BackendServerState
from papayapost.traffic.drain_row import DrainRow
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.owner.concurrency import ConcurrencyLimit
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost.traffic.owner.tables import OwnBackendRow, OwnerTables
from papayapost.traffic.owner_messages import (
    BackendServerLeft,
    BackendServerReported,
    ReportTaken,
    WaitingRefused,
)

__all__ = ["FollowBackendServer"]

_MIN_SILENCE_US = 3_500_000
"""Reports may come seconds late without anything being wrong."""

_SILENT_INTERVALS = 3


@dataclass(slots=True)
class BackendServerSilent:
    """Timer: several reports in a row are missing."""

    instance: InstanceId


class FollowBackendServer(System):
    """Keeps the own row true to the backend server's reports.

    This node is the only way to its backend server. So when it acknowledges
    that the backend server leaves, it has stopped to pass anything on: what
    waits is refused as not run, and goes elsewhere.

    Reports are ordered by the start of the process that sends them and by its
    own count. A report that was under way for long, of a former process or
    from before a drain, changes nothing.

    Parameters
    ----------
    interval_us
        Time between two reports in µs.
    """

    consumes = (BackendServerReported, BackendServerLeft, BackendServerSilent)

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
    ):
        self._me = me
        self._directory = directory
        self._upstreams = upstreams
        self._owner = owner
        self._queue = queue
        self._concurrency = concurrency
        self._drain = drain
        self._silence_us = max(_MIN_SILENCE_US, _SILENT_INTERVALS * interval_us)

    def run(self, tick: Tick) -> None:
        """Take reports in the order in which they came."""
        for reported in tick.take(BackendServerReported):
            self._report(tick, reported)
            tick.emit(ReportTaken(reported.report_id))
        for left in tick.take(BackendServerLeft):
            self._leave(tick, left)
            tick.emit(ReportTaken(left.report_id))
        for silent in tick.take(BackendServerSilent):
            self._miss(tick, silent.instance)

    def _report(self, tick: Tick, reported: BackendServerReported) -> None:
        known = self._owner.backend
        if known is not None and not _is_news(known, reported):
            return
        is_same = known is not None and known.process == reported.process
        row = OwnBackendRow(
            reported.instance,
            reported.born_ms,
            reported.sequence,
            reported.service,
            reported.slots,
            reported.state,
        )
        self._owner.backend = row
        if not is_same:
            detail = f"instance {row.instance} born {row.born_ms}"
            tick.emit(Noted(Event.BACKEND_SERVER_SEEN, detail=detail))
        self._watch_silence(tick, row)
        self._resize(row.slots)
        self._enter(tick, row.service, row.slots, row.state)

    def _leave(self, tick: Tick, left: BackendServerLeft) -> None:
        known = self._owner.backend
        if known is None or known.instance != left.instance:
            return
        if left.born_ms is not None and left.born_ms != known.born_ms:
            return
        known.state = BackendServerState.GONE
        tick.cancel_timer("backend server silent")
        self._enter(tick, known.service, known.slots, BackendServerState.DRAINING)

    def _miss(self, tick: Tick, instance: InstanceId) -> None:
        known = self._owner.backend
        if known is None or known.instance != instance:
            return
        if known.state is BackendServerState.READY:
            detail = f"instance {instance} after report {known.sequence}"
            tick.emit(Noted(Event.BACKEND_SERVER_SILENT, detail=detail))
            self._enter(tick, known.service, known.slots, BackendServerState.COLD)

    def _watch_silence(self, tick: Tick, row: OwnBackendRow) -> None:
        due_us = Micros(tick.now_us + self._silence_us)
        silent = BackendServerSilent(row.instance)
        tick.set_timer("backend server silent", due_us, silent)

    def _resize(self, slots: int) -> None:
        if slots != self._owner.slots:
            self._owner.slots = slots
            self._queue.resize(slots)
            self._concurrency.resize(slots)
            self._owner.limit = self._concurrency.limit

    def _enter(
        self, tick: Tick, service: ServiceName, slots: int, state: BackendServerState
    ) -> None:
        """Bring the own row and the door up to date."""
        own = self._directory.require(self._me.node_id)
        is_leaving = state is BackendServerState.DRAINING
        if is_leaving and not self._owner.is_closed:
            tick.post(WaitingRefused())
        self._owner.is_closed = is_leaving
        if self._drain.is_announced:
            # The node leaves, whatever its backend server does.
            return
        if (own.service, own.slots, own.state) == (service, slots, state):
            return
        changed = replace(
            own, service=service, slots=slots, state=state, revision=own.revision + 1
        )
        self._directory.put(own.node_id, changed)
        self._upstreams.withdraw(service, own.node_id)
        if own.service is not None:
            self._upstreams.withdraw(own.service, own.node_id)
        tick.post(OwnRowChanged())
        detail = f"{state.value}, {slots} slots of {service}"
        tick.emit(Noted(Event.BACKEND_SERVER_CHANGED, detail=detail))


def _is_news(known: OwnBackendRow, reported: BackendServerReported) -> bool:
    if reported.process != known.process:
        return reported.born_ms > known.born_ms
    if known.state is BackendServerState.GONE:
        return False
    return reported.sequence > known.sequence
