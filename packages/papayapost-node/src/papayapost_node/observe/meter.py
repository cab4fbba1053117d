"""Counts and times calls from the inputs and effects of the world."""

from collections import Counter
from collections.abc import Hashable, Mapping
from enum import Enum

from hdrh.histogram import HdrHistogram

from papayapost.define import define
from papayapost.ids import AttemptId, CallId, Micros, ServiceName
from papayapost.states import Rank
from papayapost.traffic import (
    AnswerEnded,
    AttemptOffer,
    AttemptRefused,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallerGone,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
)
from papayapost_node.clock import Clock
from papayapost_node.observe.observer import RunnerObserver, Watcher

__all__ = ["CallCounter", "CallMeter", "Hop", "ServiceRow"]

_MAX_RECORDED_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_MAX_ROWS = 4_096


class Hop(Enum):
    """The timed stages of a call; the value is the label in the metrics.

    ENTRY is the whole call at its entry node, OWNER_QUEUE the wait of an
    attempt at the owner node, and BACKEND the call to the backend server.
    """

    ENTRY = "entry"
    OWNER_QUEUE = "owner-queue"
    BACKEND = "backend-server"


class CallCounter(Enum):
    """Counters of calls; ``papayapost_`` and the value name the metric."""

    CALLS = "calls"
    CALL_REFUSALS = "call_refusals"
    CALLERS_GONE = "callers_gone"
    ATTEMPTS_OFFERED = "attempts_offered"
    ATTEMPTS_TAKEN = "attempts_taken"
    ATTEMPT_REFUSALS = "attempt_refusals"
    ANSWERS_CUT = "answers_cut"
    BACKEND_CALLS = "backend_calls"


@define
class _EntryCallRow:
    arrived_us: Micros
    offers: int = 0
    rank: Rank = Rank.NORMAL
    service: ServiceName | None = None


@define
class _OwnerAttemptRow:
    taken_us: Micros
    rank: Rank
    started_us: Micros | None = None


@define
class ServiceRow:
    """Number of answered calls of one service and their total time in µs.

    It holds no histogram: one for each of many hundred services would take
    more memory than all other data of a node.
    """

    calls: int = 0
    total_us: int = 0


class CallMeter(RunnerObserver):
    """Histograms and counters of the calls of one node.

    Attributes
    ----------
    by_hop
        Latency in µs by hop and rank.
    by_service
        Calls answered with this node as the entry node and their total time
        in µs, by service.
    counts
        Values by counter and label. The label is a refusal code, a rank,
        ``first`` or ``further`` for offers, or empty.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.by_hop: dict[tuple[Hop, Rank], HdrHistogram] = {}
        self.by_service: dict[ServiceName, ServiceRow] = {}
        self.counts: Counter[tuple[CallCounter, str]] = Counter()
        self._entry_calls: dict[CallId, _EntryCallRow] = {}
        self._owner_attempts: dict[AttemptId, _OwnerAttemptRow] = {}

    def input_watchers(self) -> Mapping[type, Watcher]:
        """Return the methods that time and count inputs, by input type."""
        return {
            CallArrived: self._call_arrived,
            CallerGone: self._caller_gone,
            AttemptOffer: self._offer_taken,
            AttemptRefused: self._attempt_refused,
            BackendCallEnded: self._backend_call_ended,
            AnswerEnded: self._answer_ended,
        }

    def effect_watchers(self) -> Mapping[type, Watcher]:
        """Return the methods that time and count effects, by effect type."""
        return {
            OfferSend: self._offer_sent,
            BackendCallStart: self._backend_call_started,
            ForwardAnswer: self._answer_forwarded,
            CallRefusal: self._call_refused,
        }

    def _call_arrived(self, message: CallArrived) -> None:
        self.counts[CallCounter.CALLS, ""] += 1
        _put_and_evict(
            self._entry_calls, message.call_id, _EntryCallRow(self._clock.now_us())
        )

    def _caller_gone(self, message: CallerGone) -> None:
        self.counts[CallCounter.CALLERS_GONE, ""] += 1
        self._entry_calls.pop(message.call_id, None)

    def _offer_sent(self, effect: OfferSend) -> None:
        row = self._entry_calls.get(effect.call_id)
        kind = "first" if row is None or row.offers == 0 else "further"
        self.counts[CallCounter.ATTEMPTS_OFFERED, kind] += 1
        if row is not None:
            row.offers += 1
            row.rank = effect.offer.rank
            row.service = effect.offer.service
        if effect.is_local:
            self._offer_taken(effect.offer)

    def _offer_taken(self, offer: AttemptOffer) -> None:
        self.counts[CallCounter.ATTEMPTS_TAKEN, offer.rank.name.lower()] += 1
        row = _OwnerAttemptRow(self._clock.now_us(), offer.rank)
        _put_and_evict(self._owner_attempts, offer.attempt_id, row)

    def _backend_call_started(self, effect: BackendCallStart) -> None:
        row = self._owner_attempts.get(effect.attempt_id)
        if row is not None:
            now_us = self._clock.now_us()
            row.started_us = now_us
            self.record(Hop.OWNER_QUEUE, row.rank, now_us - row.taken_us)

    def _backend_call_ended(self, message: BackendCallEnded) -> None:
        row = self._owner_attempts.pop(message.attempt_id, None)
        if row is not None and row.started_us is not None:
            self.counts[CallCounter.BACKEND_CALLS, row.rank.name.lower()] += 1
            duration_us = self._clock.now_us() - row.started_us
            self.record(Hop.BACKEND, row.rank, duration_us)

    def _attempt_refused(self, message: AttemptRefused) -> None:
        self.counts[CallCounter.ATTEMPT_REFUSALS, message.code.value] += 1

    def _answer_ended(self, message: AnswerEnded) -> None:
        if not message.is_whole:
            self.counts[CallCounter.ANSWERS_CUT, ""] += 1

    def _answer_forwarded(self, effect: ForwardAnswer) -> None:
        row = self._entry_calls.pop(effect.call_id, None)
        if row is None or row.service is None:
            return
        duration_us = self._clock.now_us() - row.arrived_us
        self.record(Hop.ENTRY, row.rank, duration_us)
        self.record_service(row.service, duration_us)

    def _call_refused(self, effect: CallRefusal) -> None:
        self.counts[CallCounter.CALL_REFUSALS, effect.code.value] += 1
        self._entry_calls.pop(effect.call_id, None)

    def record(self, hop: Hop, rank: Rank, duration_us: int) -> None:
        """Add the time in µs of one stage of a call."""
        histogram = self.by_hop.get((hop, rank))
        if histogram is None:
            histogram = self.by_hop[hop, rank] = _new_histogram()
        histogram.record_value(_clamped(duration_us))

    def record_service(self, service: ServiceName, duration_us: int) -> None:
        """Add the time in µs of one answered call."""
        row = self.by_service.get(service)
        if row is None:
            row = self.by_service[service] = ServiceRow()
        row.calls += 1
        row.total_us += duration_us


def _put_and_evict(rows: dict, key: Hashable, row: object) -> None:
    # No message reports the end of an attempt that is refused or cancelled in
    # the queue, so rows left over from such attempts are evicted by age.
    if len(rows) >= _MAX_ROWS:
        del rows[next(iter(rows))]
    rows[key] = row


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS)


def _clamped(duration_us: int) -> int:
    return min(max(duration_us, 1), _MAX_RECORDED_US)
