"""Systems that update the upstream tables when the mesh changes."""

from papayapost.ids import Micros, ServiceName
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow, Directory, DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.states import BackendServerState
from papayapost.traffic.entry.link_budget import LinkBudget
from papayapost.traffic.entry.offers import keep_answers
from papayapost.traffic.entry.tables import AttemptRow, AttemptState, EntryTables
from papayapost.traffic.entry.upstreams import ServiceRow, UpstreamRow, Upstreams
from papayapost.traffic.internal import (
    AttemptDoubted,
    AttemptLost,
    EjectionEnded,
    LastAnswersDue,
)
from papayapost.traffic.messages import LossCause, OwnerConnectionLost

__all__ = ["OutlierEjector", "TrackUpstreams"]

_FAILURES_TO_EJECT = 5
_MIN_ANSWER_TIME_US = 100_000
_MIN_ANSWER_TIME_LATENCIES = 3
_EJECTION_MIN_US = 5_000_000
_EJECTION_MAX_US = 60_000_000
_LAST_ANSWERS_WAIT_US = 5_000_000
"""Time for the last answers of a node that exited after its drain."""


class OutlierEjector:
    """Ejects upstreams after several failed attempts in a row.

    The systems that handle the ends of attempts share one instance.
    """

    def __init__(self, upstreams: Upstreams, tables: EntryTables):
        self._upstreams = upstreams
        self._counters = tables.counters

    def succeeded(self, tick: Tick, upstream: UpstreamRow) -> None:
        """Record a good answer, which resets the count of failures."""
        upstream.sample_outcome(True, tick.now_us)
        upstream.failures = 0
        upstream.ejections = 0

    def unanswered(self, tick: Tick, attempt: AttemptRow, service: ServiceRow) -> None:
        """Record an attempt that was given up before it was answered.

        It counts as a failure only if the backend server had enough time to
        answer. Otherwise callers with very short time budgets would eject
        healthy backend servers.
        """
        enough_time_us = max(
            _MIN_ANSWER_TIME_US, _MIN_ANSWER_TIME_LATENCIES * service.latency_us
        )
        if tick.now_us - attempt.offered_us >= enough_time_us:
            self.failed(tick, attempt.upstream, service)

    def failed(self, tick: Tick, upstream: UpstreamRow, service: ServiceRow) -> None:
        """Record a failure: a lost attempt, an expired one or a bad answer.

        The upstream is ejected after `_FAILURES_TO_EJECT` failures in a row.
        """
        upstream.sample_outcome(False, tick.now_us)
        upstream.failures += 1
        if upstream.failures < _FAILURES_TO_EJECT or upstream.is_ejected:
            return
        upstream.is_ejected = True
        upstream.failures = 0
        ejection_us = min(_EJECTION_MAX_US, _EJECTION_MIN_US << upstream.ejections)
        upstream.ejections = min(upstream.ejections + 1, 8)
        self._counters.ejections += 1
        service.refresh_tiers()
        tick.set_timer(
            ("ejected", upstream.node_id),
            Micros(tick.now_us + ejection_us),
            EjectionEnded(upstream.node_id),
        )
        detail = (
            "most upstreams are ejected; all are used" if service.uses_ejected else ""
        )
        tick.emit(Noted(Event.UPSTREAM_EJECTED, peer=upstream.node_id, detail=detail))


class TrackUpstreams(System):
    """Applies directory changes, lost connections and ends of ejections."""

    consumes = (DirectoryChanged, OwnerConnectionLost, EjectionEnded, LastAnswersDue)

    def __init__(
        self,
        directory: Directory,
        upstreams: Upstreams,
        tables: EntryTables,
        link: LinkBudget,
    ):
        self._directory = directory
        self._upstreams = upstreams
        self._tables = tables
        self._link = link

    def run(self, tick: Tick) -> None:
        """Update the upstreams and report the attempts that were lost."""
        for changed in tick.take(DirectoryChanged):
            self._link.divide_among_nodes(self._directory, changed.rows)
            for row in changed.rows:
                self._apply_row(tick, row)
        for lost in tick.take(OwnerConnectionLost):
            for upstream in self._upstreams.rows.find("address", lost.address):
                if upstream.is_draining and lost.cause is LossCause.CONNECTION:
                    self._await_last_answers(tick, upstream)
                else:
                    self._report_lost_attempts(tick, upstream, lost.cause)
        for due in tick.take(LastAnswersDue):
            for attempt_id in due.attempt_ids:
                if attempt_id in self._tables.attempts:
                    tick.post(AttemptLost(attempt_id))
        for ended in tick.take(EjectionEnded):
            self._readmit(tick, ended)

    def _apply_row(self, tick: Tick, row: BackendServerRow) -> None:
        upstream = self._upstreams.rows.get(row.node_id)
        if row.service is not None:
            self._update_service(row, row.service, upstream)
        if upstream is None:
            return
        known = self._directory.get(row.node_id)
        if known is None or known.state is BackendServerState.GONE:
            if not self._report_lost_attempts(tick, upstream, LossCause.DIRECTORY):
                self._upstreams.rows.pop(row.node_id)
        elif known.incarnation != upstream.incarnation:
            self._report_lost_attempts(tick, upstream, LossCause.CONNECTION)
        elif known.state is BackendServerState.READY:
            upstream.is_draining = False
            if upstream.is_cold:
                upstream.is_cold = False
                upstream.ramp_start_us = tick.now_us
        elif known.state is BackendServerState.COLD:
            upstream.is_cold = True
        elif known.state is BackendServerState.DRAINING:
            upstream.is_draining = True
            attempts = map(self._tables.attempts.require, upstream.attempts)
            keep_answers(tick, attempts)

    def _update_service(
        self, row: BackendServerRow, service: ServiceName, upstream: UpstreamRow | None
    ) -> None:
        is_same_process = upstream is None or upstream.incarnation == row.incarnation
        if row.state is BackendServerState.READY and is_same_process:
            self._upstreams.mark_stale(service)
        else:
            self._upstreams.remove_node(service, row.node_id)

    def _report_lost_attempts(
        self, tick: Tick, upstream: UpstreamRow, cause: LossCause
    ) -> bool:
        """Report the attempts at an upstream as lost.

        If the directory lists the node as gone, no attempt is lost yet. The
        node may merely be partitioned from the nodes that monitor it, or its
        messages may be late on a slow link, and it may still answer. Attempts
        whose answers have not begun are reported as doubted.

        Returns
        -------
        bool
            Whether the upstream may still answer an attempt.
        """
        upstream.epoch = self._upstreams.next_epoch()
        is_silent = cause is LossCause.DIRECTORY
        for attempt_id in upstream.attempts:
            attempt = self._tables.attempts.require(attempt_id)
            if not is_silent:
                tick.post(AttemptLost(attempt_id))
            elif attempt.state is not AttemptState.ANSWERING and (
                not upstream.is_draining
            ):
                tick.post(AttemptDoubted(attempt_id))
        return is_silent and bool(upstream.attempts)

    def _await_last_answers(self, tick: Tick, upstream: UpstreamRow) -> None:
        """Report the attempts at a draining node as lost after some time.

        Offers and answers travel on different connections. A node that exits
        after its drain has sent all answers, but the last ones may arrive
        after the connection that carried their offers has closed.
        """
        upstream.epoch = self._upstreams.next_epoch()
        if upstream.attempts:
            due_us = Micros(tick.now_us + _LAST_ANSWERS_WAIT_US)
            due = LastAnswersDue(tuple(upstream.attempts))
            tick.set_timer(("last answers", upstream.node_id), due_us, due)

    def _readmit(self, tick: Tick, ended: EjectionEnded) -> None:
        upstream = self._upstreams.rows.get(ended.node_id)
        if upstream is None or not upstream.is_ejected:
            return
        upstream.is_ejected = False
        upstream.ramp_start_us = tick.now_us
        row = self._directory.get(ended.node_id)
        if row is not None and row.service is not None:
            self._upstreams.service(row.service, tick.now_us).refresh_tiers()
        tick.emit(Noted(Event.UPSTREAM_READMITTED, peer=ended.node_id))
