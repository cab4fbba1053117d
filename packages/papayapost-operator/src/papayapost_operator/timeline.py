"""papaya timeline."""

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from papayapost.errors import UsageRefused
from papayapost.ids import Address, CallId, DataCentreId, Micros, NodeId, RuleVersion
from papayapost.timeline import (
    EventRow,
    GapRow,
    TimelineQuery,
    follow_call,
    select_rows,
)
from papayapost_operator.command import Command, Result
from papayapost_operator.gathering import gather
from papayapost_operator.numbers import whole_number
from papayapost_operator.picture import draw_page
from papayapost_operator.timeline_text import row_line

__all__ = ["TimelineCommand", "TimelineOptions", "TimelineOverview", "words_of"]


@dataclass(frozen=True, slots=True)
class TimelineOptions:
    """The options of ``papaya timeline`` as the command line has them."""

    nodes: str
    files: str
    call: str
    version: str
    only: str
    data_centre: str
    since: str
    until: str
    limit: str
    html: str
    timeout_ms: str


@dataclass(frozen=True, slots=True)
class TimelineOverview:
    """Report of ``papaya timeline --json``.

    Parameters
    ----------
    rows
        Oldest first.
    gaps
        Sources that did not answer, and events that were dropped.
    left_out
        Older rows that the limit left out.
    """

    rows: tuple[EventRow, ...]
    gaps: tuple[GapRow, ...]
    left_out: int


class TimelineCommand(Command):
    """Merges the events of many nodes into one time line."""

    name = "timeline"

    def __init__(self, options: TimelineOptions):
        self._options = options
        self._addresses = [Address(word) for word in words_of(options.nodes)]
        self._files = words_of(options.files)
        if not self._addresses and not self._files:
            raise UsageRefused(
                "no source is named; give --nodes ADDRESS,... or --files FILE,..."
            )
        self._query = _query_of(options)
        self._call = _call_of(options.call)
        self._limit = whole_number("--limit", options.limit)
        self._timeout_ms = whole_number("--timeout_ms", options.timeout_ms)

    def run(self) -> Result:
        """Gather, filter and print, and draw where that is asked for."""
        gathered = gather(self._addresses, self._files, self._timeout_ms)
        rows = list(gathered.rows)
        if self._call is not None:
            rows = follow_call(rows, *self._call)
        rows = select_rows(rows, self._query)
        kept = rows[-self._limit :] if self._limit else rows
        left_out = len(rows) - len(kept)
        report = TimelineOverview(tuple(kept), gathered.gaps, left_out)
        lines = [row_line(row) for row in kept]
        if left_out:
            lines.append(f"{left_out} older events left out; raise --limit")
        lines += [f"gap: {gap.source}: {gap.reason}" for gap in gathered.gaps]
        if self._options.html:
            lines.append(self._draw(report))
        return Result(report, tuple(lines))

    def _draw(self, report: TimelineOverview) -> str:
        path = Path(self._options.html)
        title = "Time line"
        if self._options.call:
            title = f"Call {self._options.call}"
        elif self._options.version:
            title = f"Rules version {self._options.version}"
        page = draw_page(title, report.rows, report.gaps)
        try:
            path.write_text(page, encoding="utf-8")
        except OSError as error:
            raise UsageRefused(
                f"--html {str(path)!r} cannot be written: {error}; name another path"
            ) from None
        return f"drawn to {path}"


def words_of(text: str) -> list[str]:
    """Return the words that commas part."""
    return [word for word in text.split(",") if word]


def _query_of(options: TimelineOptions) -> TimelineQuery:
    version = whole_number("--version", options.version) if options.version else None
    return TimelineQuery(
        version=RuleVersion(version) if version is not None else None,
        node_ids=frozenset(map(NodeId, words_of(options.only))),
        data_centres=frozenset(map(DataCentreId, words_of(options.data_centre))),
        since_us=_time_of("--since", options.since),
        until_us=_time_of("--until", options.until),
    )


def _call_of(text: str) -> tuple[NodeId, CallId] | None:
    if not text:
        return None
    node_id, slash, number = text.rpartition("/")
    if not slash or not number.isdigit():
        raise UsageRefused(
            f"--call {text!r} names no call; write NODE/NUMBER as in the answer's "
            "papayapost-call header"
        )
    return NodeId(node_id), CallId(int(number))


def _time_of(option: str, text: str) -> Micros | None:
    if not text:
        return None
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise UsageRefused(
            f"{option} {text!r} is no time; write it as in 2026-12-04T10:00:00"
        ) from None
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return Micros(int(time.timestamp() * 1_000_000))
