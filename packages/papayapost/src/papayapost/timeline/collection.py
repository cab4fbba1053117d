"""Collects the events of many sources and reports what is missing."""

from enum import Enum
from random import Random

from papayapost.define import define
from papayapost.ids import DataCentreId, Micros, NodeId
from papayapost.kernel import System, Table, Tick, World
from papayapost.timeline.query import merge_rows
from papayapost.timeline.rows import EventRow

__all__ = [
    "CollectEvents",
    "EventsCollected",
    "ReadSource",
    "SourceAnswered",
    "SourceFailed",
    "TimelineGap",
    "build_collection",
]


class SourceState(Enum):
    """Whether a source has answered the request for its events."""

    PENDING = "pending"
    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"


@define
class SourceRow:
    """A source of events: a node's admin page or a file.

    Parameters
    ----------
    name
        Admin address of the node, or path of the file.
    rows
        Events of the source, oldest first; empty until it has answered.
    """

    name: str
    state: SourceState = SourceState.PENDING
    rows: tuple[EventRow, ...] = ()


@define(frozen=True)
class TimelineGap:
    """A gap in the time line: some or all events of a source are missing.

    Parameters
    ----------
    source
        Admin address, file path or id of the node with missing events.
    reason
        Why events are missing, as text.
    """

    source: str
    reason: str


@define
class CollectEvents:
    """Input: collect the events of these sources.

    Parameters
    ----------
    sources
        Admin addresses of nodes and paths of files.
    timeout_us
        Time in µs after which a source without answer counts as missing.
    """

    sources: tuple[str, ...]
    timeout_us: Micros


@define
class ReadSource:
    """Effect: read the events of a source."""

    source: str


@define
class SourceAnswered:
    """Input: the answer of a source.

    Parameters
    ----------
    node_id, data_centre
        The node whose events the source has, and its data centre.
    dropped
        Number of older events that the node no longer keeps.
    rows
        Events of the node, oldest first.
    """

    source: str
    node_id: NodeId
    data_centre: DataCentreId
    dropped: int
    rows: tuple[EventRow, ...]


@define
class SourceFailed:
    """Input: a source could not be read, with the reason as text."""

    source: str
    reason: str


@define
class CollectionTimeout:
    """Timer: the sources that have not answered by now count as missing."""


@define
class EventsCollected:
    """Effect: the events of all sources in stamp order, and the gaps."""

    rows: tuple[EventRow, ...]
    gaps: tuple[TimelineGap, ...]


class CollectFromSources(System):
    """Reads all sources concurrently, until the last answer or the timeout."""

    consumes = (CollectEvents, SourceAnswered, SourceFailed, CollectionTimeout)

    def __init__(self):
        self._sources: Table[str, SourceRow] = Table(
            "sources", {"state": lambda row: row.state}
        )
        self._gaps: list[TimelineGap] = []
        self._is_done = False

    def run(self, tick: Tick) -> None:
        """Store answers; emit `EventsCollected` once no source is pending."""
        for request in tick.take(CollectEvents):
            self._request_events(tick, request)
        for answered in tick.take(SourceAnswered):
            self._store_answer(answered)
        for failed in tick.take(SourceFailed):
            self._mark_unavailable(failed.source, failed.reason)
        if tick.take(CollectionTimeout):
            for row in self._sources.find("state", SourceState.PENDING):
                self._mark_unavailable(row.name, "no answer in time")
        if not self._is_done and not self._sources.count("state", SourceState.PENDING):
            self._is_done = True
            tick.cancel_timer(CollectionTimeout)
            rows = merge_rows(row.rows for row in self._sources)
            tick.emit(EventsCollected(tuple(rows), tuple(self._gaps)))

    def _request_events(self, tick: Tick, request: CollectEvents) -> None:
        for source in request.sources:
            self._sources.put(source, SourceRow(source))
            tick.emit(ReadSource(source))
        due_us = Micros(tick.now_us + request.timeout_us)
        tick.set_timer(CollectionTimeout, due_us, CollectionTimeout())

    def _store_answer(self, answered: SourceAnswered) -> None:
        row = self._sources.get(answered.source)
        if row is None or row.state is not SourceState.PENDING:
            return
        row.rows = answered.rows
        self._set_state(row, SourceState.ANSWERED)
        if answered.dropped:
            reason = f"{answered.dropped} older events were dropped"
            self._gaps.append(TimelineGap(answered.node_id, reason))

    def _mark_unavailable(self, source: str, reason: str) -> None:
        row = self._sources.get(source)
        if row is not None and row.state is SourceState.PENDING:
            self._set_state(row, SourceState.UNAVAILABLE)
            self._gaps.append(TimelineGap(source, reason))

    def _set_state(self, row: SourceRow, state: SourceState) -> None:
        row.state = state
        self._sources.reindex(row.name)


def build_collection() -> World:
    """Return a world that collects the events of its sources once."""
    return World([CollectFromSources()], Random(0))
