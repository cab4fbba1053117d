"""An owner node whose backend server reports itself, with its store object."""

from enum import Enum

from papayapost.ids import InstanceId, ReportId, ServiceName
from papayapost.states import BackendServerState
from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)
from papayapost.traffic import (
    BackendServerDeregistered,
    BackendServerReported,
    ReportDeferred,
    ReportTaken,
    TrafficOptions,
)
from papayapost_testing.traffic_worlds import backend_row, traffic_world

from .owners import RULES, Owner, refusals, started

READY, DRAINING = BackendServerState.READY, BackendServerState.DRAINING
INTERVAL_US = 1_000_000


class StoreAnswers(Enum):
    """How the store answers a node."""

    AT_ONCE = "at-once"
    REFUSED = "refused"
    SILENT = "silent"
    LOST = "lost"


class DepartureStore:
    """The departure object of one node; it outlives the node's process."""

    def __init__(self):
        self.answers = StoreAnswers.AT_ONCE
        self.version, self.value = 0, None
        self.writes = 0

    def answer(self, effect):
        """Return the answer to an effect, or None if there is none."""
        if not isinstance(effect, (ReadObject, UpdateObject)):
            return None
        if self.answers is StoreAnswers.SILENT:
            return None
        if isinstance(effect, ReadObject):
            if self.answers is not StoreAnswers.AT_ONCE:
                return StoreReadFailed(effect.key, "503", effect.request_id)
            return ObjectRead(effect.key, self.version, self.value, effect.request_id)
        return self._update(effect)

    def _update(self, effect):
        unknown = UpdateOutcomeUnknown(effect.key, effect.request_id, "503")
        if self.answers is StoreAnswers.REFUSED:
            return unknown
        if effect.expected_version != self.version:
            return UpdateConflicted(effect.key, effect.request_id, self.version)
        self.writes += 1
        self.version, self.value = self.version + 1, effect.value
        if self.answers is StoreAnswers.LOST:
            return unknown
        return ObjectUpdated(effect.key, effect.request_id, self.version)


class ReportedOwner(Owner):
    """An owner node that starts with its first messages.

    A process that is given the store of an earlier one is its successor.
    """

    def __init__(self, store=None, announces_version=False):
        own = backend_row("owner", "gusts", slots=0, state=BackendServerState.COLD)
        options = TrafficOptions(
            report_interval_us=INTERVAL_US,
            has_exact_slots=True,
            has_targets=True,
            announces_version=announces_version,
        )
        super().__init__(node=traffic_world(own, [], RULES, options=options))
        self.store = store or DepartureStore()
        self.reports = 0
        self.tick(*self.node.traffic.first_messages)

    def tick(self, *messages, after_us=10):
        """Run a tick, and another one for the store's answers."""
        effects = super().tick(*messages, after_us=after_us)
        answers = [self.store.answer(effect) for effect in effects]
        answers = [answer for answer in answers if answer is not None]
        return effects + (self.tick(*answers) if answers else [])

    def run_for(self, seconds, step_us=50_000):
        """Run the timers that fall due, and return all effects."""
        effects = []
        for _ in range(int(seconds * 1_000_000 / step_us)):
            effects += self.tick(after_us=step_us)
        return effects

    def report(
        self,
        state=READY,
        name="i-1",
        born_ms=100,
        sequence=None,
        slots=2,
        version="",
        warm_after_ms=0,
    ):
        self.reports += 1
        number = self.reports if sequence is None else sequence
        return self.tick(
            BackendServerReported(
                ReportId(self.reports),
                InstanceId(name),
                born_ms,
                number,
                ServiceName("gusts"),
                slots,
                state,
                version,
                warm_after_ms,
            )
        )

    def leave(self, name="i-1", born_ms=None):
        self.reports += 1
        left = BackendServerDeregistered(
            ReportId(self.reports), InstanceId(name), born_ms
        )
        return self.tick(left)

    @property
    def state(self):
        return self.node.directory.require("owner").state

    def run_attempt(self):
        offer = self.offer()
        effects = self.tick(offer)
        if started(effects) != [offer.attempt_id]:
            return refusals(effects)[offer.attempt_id]
        self.end(offer.attempt_id)
        return True


def is_taken(effects):
    return any(isinstance(effect, ReportTaken) for effect in effects)


def is_deferred(effects):
    return any(isinstance(effect, ReportDeferred) for effect in effects)
