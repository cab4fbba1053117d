"""Gathers the rows of many sources; one that is silent is a named gap."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from papayapost.ids import DataCentreId, Micros, NodeId
from papayapost.kernel import System, Table, Tick, World
from papayapost.timeline.query import merge_rows
from papayapost.timeline.rows import EventRow

__all__ = [
    "AskSource",
    "GapRow",
    "GatherAsked",
    "GatherDone",
    "SourceAnswered",
    "SourceFailed",
    "build_gathering",
]


class SourceState(Enum):
    """Progress with one source."""

    ASKED = "asked"
    ANSWERED = "answered"
    SILENT = "silent"


@dataclass(slots=True)
class SourceRow:
    """A node's admin address or a file."""

    name: str
    state: SourceState = SourceState.ASKED
    rows: tuple[EventRow, ...] = ()


@dataclass(frozen=True, slots=True)
class GapRow:
    """What the time line does not show.

    Parameters
    ----------
    source
        Address, file or node that something is missing of.
    """

    source: str
    reason: str


@dataclass(slots=True)
class GatherAsked:
    """Input: gather from these sources.

    Parameters
    ----------
    timeout_us
        Time after which a source counts as silent.
    """

    sources: tuple[str, ...]
    timeout_us: Micros


@dataclass(slots=True)
class AskSource:
    """Effect: read a source."""

    source: str


@dataclass(slots=True)
class SourceAnswered:
    """Input: a source's rows, oldest first.

    Parameters
    ----------
    dropped
        Number of older events that the source no longer has.
    """

    source: str
    node_id: NodeId
    data_centre: DataCentreId
    dropped: int
    rows: tuple[EventRow, ...]


@dataclass(slots=True)
class SourceFailed:
    """Input: a source could not be read."""

    source: str
    reason: str


@dataclass(slots=True)
class SilenceDue:
    """Timer: whoever has not answered by now is silent."""


@dataclass(slots=True)
class GatherDone:
    """Effect: the rows of all sources in order, and what is missing."""

    rows: tuple[EventRow, ...]
    gaps: tuple[GapRow, ...]


class Gather(System):
    """Asks all sources at once and waits for the last or the timeout."""

    consumes = (GatherAsked, SourceAnswered, SourceFailed, SilenceDue)

    def __init__(self):
        self._sources: Table[str, SourceRow] = Table(
            "sources", {"state": lambda row: row.state}
        )
        self._gaps: list[GapRow] = []
        self._is_done = False

    def run(self, tick: Tick) -> None:
        """Take answers, and finish once none is waited for."""
        for asked in tick.take(GatherAsked):
            self._ask(tick, asked)
        for answered in tick.take(SourceAnswered):
            self._answer(answered)
        for failed in tick.take(SourceFailed):
            self._silence(failed.source, failed.reason)
        if tick.take(SilenceDue):
            for row in self._sources.find("state", SourceState.ASKED):
                self._silence(row.name, "no answer in time")
        if not self._is_done and not self._sources.count("state", SourceState.ASKED):
            self._is_done = True
            tick.cancel_timer(SilenceDue)
            rows = merge_rows(row.rows for row in self._sources)
            tick.emit(GatherDone(tuple(rows), tuple(self._gaps)))

    def _ask(self, tick: Tick, asked: GatherAsked) -> None:
        for source in asked.sources:
            self._sources.put(source, SourceRow(source))
            tick.emit(AskSource(source))
        due_us = Micros(tick.now_us + asked.timeout_us)
        tick.set_timer(SilenceDue, due_us, SilenceDue())

    def _answer(self, answered: SourceAnswered) -> None:
        row = self._sources.get(answered.source)
        if row is None or row.state is not SourceState.ASKED:
            return
        row.rows = answered.rows
        self._settle(row, SourceState.ANSWERED)
        if answered.dropped:
            reason = f"{answered.dropped} older events were dropped"
            self._gaps.append(GapRow(answered.node_id, reason))

    def _silence(self, source: str, reason: str) -> None:
        row = self._sources.get(source)
        if row is not None and row.state is SourceState.ASKED:
            self._settle(row, SourceState.SILENT)
            self._gaps.append(GapRow(source, reason))

    def _settle(self, row: SourceRow, state: SourceState) -> None:
        row.state = state
        self._sources.reindex(row.name)


def build_gathering() -> World:
    """Return a world that gathers once."""
    return World([Gather()], Random(0))
