"""The command ``papaya timeline``."""

from datetime import UTC, datetime
from pathlib import Path

from papayapost.define import define
from papayapost.errors import UsageRefused
from papayapost.ids import Address, CallId, DataCentreId, Micros, NodeId, RuleVersion
from papayapost.timeline import (
    EventRow,
    TimelineGap,
    TimelineQuery,
    select_call,
    select_rows,
)
from papayapost_operator.command import Command, Result
from papayapost_operator.event_collection import collect_events
from papayapost_operator.numbers import parse_whole_number
from papayapost_operator.timeline_page import draw_page
from papayapost_operator.timeline_text import row_line

__all__ = ["TimelineCommand", "TimelineOptions", "TimelineOverview", "split_list"]


@define(frozen=True)
class TimelineOptions:
    """The options of ``papaya timeline`` as given on the command line.

    `Papaya.timeline` describes them.
    """

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


@define(frozen=True)
class TimelineOverview:
    """Report of ``papaya timeline --json``.

    Parameters
    ----------
    rows
        Events, oldest first.
    gaps
        Sources that could not be read, and nodes that dropped events.
    left_out
        Number of older events that the limit left out.
    """

    rows: tuple[EventRow, ...]
    gaps: tuple[TimelineGap, ...]
    left_out: int


class TimelineCommand(Command):
    """Merges the events of many nodes into one time line."""

    name = "timeline"

    def __init__(self, options: TimelineOptions):
        self._options = options
        self._addresses = [Address(word) for word in split_list(options.nodes)]
        self._files = split_list(options.files)
        if not self._addresses and not self._files:
            raise UsageRefused(
                "no source is named; give --nodes ADDRESS,... or --files FILE,..."
            )
        self._query = _build_query(options)
        self._call = _parse_call(options.call)
        self._limit = parse_whole_number("--limit", options.limit)
        self._timeout_ms = parse_whole_number("--timeout_ms", options.timeout_ms)

    def run(self) -> Result:
        """Collect and filter the events, and write the HTML page if named."""
        collected = collect_events(self._addresses, self._files, self._timeout_ms)
        rows = list(collected.rows)
        if self._call is not None:
            rows = select_call(rows, *self._call)
        rows = select_rows(rows, self._query)
        shown = rows[-self._limit :] if self._limit else rows
        left_out = len(rows) - len(shown)
        report = TimelineOverview(tuple(shown), collected.gaps, left_out)
        lines = [row_line(row) for row in shown]
        if left_out:
            lines.append(f"{left_out} older events left out; raise --limit")
        lines += [f"gap: {gap.source}: {gap.reason}" for gap in collected.gaps]
        if self._options.html:
            lines.append(self._write_page(report))
        return Result(report, tuple(lines))

    def _write_page(self, report: TimelineOverview) -> str:
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
        return f"drawing written to {path}"


def split_list(text: str) -> list[str]:
    """Return the non-empty words of a comma-separated list."""
    return [word for word in text.split(",") if word]


def _build_query(options: TimelineOptions) -> TimelineQuery:
    version = (
        parse_whole_number("--version", options.version) if options.version else None
    )
    return TimelineQuery(
        version=RuleVersion(version) if version is not None else None,
        node_ids=frozenset(map(NodeId, split_list(options.only))),
        data_centres=frozenset(map(DataCentreId, split_list(options.data_centre))),
        since_us=_parse_time("--since", options.since),
        until_us=_parse_time("--until", options.until),
    )


def _parse_call(text: str) -> tuple[NodeId, CallId] | None:
    if not text:
        return None
    node_id, slash, number = text.rpartition("/")
    if not slash or not number.isdigit():
        raise UsageRefused(
            f"--call {text!r} is not a call; write NODE/NUMBER as in the "
            "papayapost-call header of the answer"
        )
    return NodeId(node_id), CallId(int(number))


def _parse_time(option: str, text: str) -> Micros | None:
    if not text:
        return None
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise UsageRefused(
            f"{option} {text!r} is not a time; write it as in 2026-12-04T10:00:00"
        ) from None
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return Micros(int(time.timestamp() * 1_000_000))
