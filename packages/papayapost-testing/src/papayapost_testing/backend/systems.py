"""Systems of the backend server stand-in: slots, shedding and health."""

from papayapost.ids import IdempotencyKey, Micros
from papayapost.kernel import System, Tick
from papayapost_testing.backend.messages import (
    AnswerRequest,
    BehaviourSet,
    HealthUpdateDue,
    RefuseRequest,
    RequestCancelled,
    RequestReceived,
    ServiceTimeElapsed,
)
from papayapost_testing.backend.tables import BackendTables, HealthRow, RunRow

__all__ = ["ChangeBehaviour", "EndRuns", "ReportHealth", "StartRuns"]


class ChangeBehaviour(System):
    """Replaces the behaviour of the stand-in."""

    consumes = (BehaviourSet,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Store the latest behaviour."""
        for message in tick.take(BehaviourSet):
            self._tables.behaviour = message.behaviour


class EndRuns(System):
    """Frees the slots of requests that are finished or cancelled."""

    consumes = (ServiceTimeElapsed, RequestCancelled)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """End the requests whose service time is over and the cancelled ones.

        This system runs before `StartRuns`, so that a request of the same tick
        can use a slot that is freed here.
        """
        counts = self._tables.counts
        for done in tick.take(ServiceTimeElapsed):
            if self._tables.runs.pop(done.number):
                counts.served += 1
                size_bytes = self._tables.behaviour.answer_bytes
                tick.emit(AnswerRequest(done.number, size_bytes))
        for cancelled in tick.take(RequestCancelled):
            if self._tables.runs.pop(cancelled.number):
                counts.cancelled += 1
                tick.cancel_timer(cancelled.number)


class StartRuns(System):
    """Starts requests while slots are free, and sheds the others."""

    consumes = (RequestReceived,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Start or refuse each request."""
        for received in tick.take(RequestReceived):
            if self._is_shed():
                self._tables.counts.shed += 1
                tick.emit(RefuseRequest(received.number))
                continue
            self._start(tick, received)

    def _is_shed(self) -> bool:
        behaviour = self._tables.behaviour
        counts = self._tables.counts
        if behaviour.is_draining or len(self._tables.runs) >= behaviour.slots:
            return True
        return behaviour.is_shedding and (counts.started + counts.shed) % 2 == 1

    def _start(self, tick: Tick, received: RequestReceived) -> None:
        service_us = self._service_us(tick.now_us)
        if received.budget_us is not None and received.budget_us < service_us:
            self._tables.counts.expired += 1
            tick.emit(RefuseRequest(received.number))
            return
        self._tables.counts.started += 1
        if received.key is not None:
            self._record_key(received.key)
        row = RunRow(received.number, received.key, tick.now_us)
        self._tables.runs.put(received.number, row)
        due_us = Micros(tick.now_us + service_us)
        tick.set_timer(received.number, due_us, ServiceTimeElapsed(received.number))

    def _service_us(self, now_us: Micros) -> int:
        tables = self._tables
        if tables.started_us is None:
            tables.started_us = now_us
        behaviour = tables.behaviour
        service_us = behaviour.service_time_ms * 1_000
        if now_us - tables.started_us < behaviour.cold_ms * 1_000:
            service_us *= behaviour.cold_factor
        return int(service_us)

    def _record_key(self, key: IdempotencyKey) -> None:
        runs_by_key = self._tables.runs_by_key
        runs_by_key[key] = runs_by_key.get(key, 0) + 1
        if runs_by_key[key] > 1:
            self._tables.counts.repeated_keys += 1


class ReportHealth(System):
    """Updates the state that the health endpoint shows.

    The state is copied only every `health_lag_ms`, so that the endpoint shows
    an outdated state between the copies.
    """

    consumes = (HealthUpdateDue,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Copy the current state and set the timer for the next copy."""
        behaviour = self._tables.behaviour
        free_slots = max(0, behaviour.slots - len(self._tables.runs))
        self._tables.health = HealthRow(not behaviour.is_draining, free_slots)
        due_us = Micros(tick.now_us + behaviour.health_lag_ms * 1_000)
        tick.set_timer("health", due_us, HealthUpdateDue())
