"""Systems of the backend server stand-in."""

from papayapost.ids import IdempotencyKey, Micros
from papayapost.kernel import System, Tick
from papayapost_testing.backend.messages import (
    BehaviourSet,
    HealthDue,
    Refusal,
    RequestCancelled,
    RequestTaken,
    RunDone,
    RunFinished,
)
from papayapost_testing.backend.tables import BackendTables, HealthRow, RunRow

__all__ = ["ChangeBehaviour", "EndRuns", "ReportHealth", "StartRuns"]


class ChangeBehaviour(System):
    """Takes a new behaviour."""

    consumes = (BehaviourSet,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Take the last one."""
        for message in tick.take(BehaviourSet):
            self._tables.behaviour = message.behaviour


class EndRuns(System):
    """Frees the slots of requests that are served or cancelled."""

    consumes = (RunDone, RequestCancelled)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Free slots before new requests are taken."""
        counts = self._tables.counts
        for done in tick.take(RunDone):
            if self._tables.runs.pop(done.number):
                counts.served += 1
                size_bytes = self._tables.behaviour.answer_bytes
                tick.emit(RunFinished(done.number, size_bytes))
        for cancelled in tick.take(RequestCancelled):
            if self._tables.runs.pop(cancelled.number):
                counts.cancelled += 1
                tick.cancel_timer(cancelled.number)


class StartRuns(System):
    """Runs requests while there are slots, and sheds the others."""

    consumes = (RequestTaken,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Start or refuse each request."""
        for taken in tick.take(RequestTaken):
            if self._is_shed():
                self._tables.counts.shed += 1
                tick.emit(Refusal(taken.number))
                continue
            self._start(tick, taken)

    def _is_shed(self) -> bool:
        behaviour = self._tables.behaviour
        counts = self._tables.counts
        if behaviour.is_draining or len(self._tables.runs) >= behaviour.slots:
            return True
        return behaviour.is_shedding and (counts.started + counts.shed) % 2 == 1

    def _start(self, tick: Tick, taken: RequestTaken) -> None:
        service_us = self._service_us(tick.now_us)
        if taken.budget_us is not None and taken.budget_us < service_us:
            self._tables.counts.expired += 1
            tick.emit(Refusal(taken.number))
            return
        self._tables.counts.started += 1
        if taken.key is not None:
            self._count_key(taken.key)
        row = RunRow(taken.number, taken.key, tick.now_us)
        self._tables.runs.put(taken.number, row)
        due_us = Micros(tick.now_us + service_us)
        tick.set_timer(taken.number, due_us, RunDone(taken.number))

    def _service_us(self, now_us: Micros) -> int:
        tables = self._tables
        if tables.started_us is None:
            tables.started_us = now_us
        behaviour = tables.behaviour
        service_us = behaviour.service_time_ms * 1_000
        if now_us - tables.started_us < behaviour.cold_ms * 1_000:
            service_us *= behaviour.cold_factor
        return int(service_us)

    def _count_key(self, key: IdempotencyKey) -> None:
        keys = self._tables.keys
        keys[key] = keys.get(key, 0) + 1
        if keys[key] > 1:
            self._tables.counts.doubled_keys += 1


class ReportHealth(System):
    """Lets the health endpoint tell what was true a while ago."""

    consumes = (HealthDue,)

    def __init__(self, tables: BackendTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Copy the present state, to be told until the next copy."""
        behaviour = self._tables.behaviour
        free_slots = max(0, behaviour.slots - len(self._tables.runs))
        self._tables.health = HealthRow(not behaviour.is_draining, free_slots)
        due_us = Micros(tick.now_us + behaviour.health_lag_ms * 1_000)
        tick.set_timer("health", due_us, HealthDue())
