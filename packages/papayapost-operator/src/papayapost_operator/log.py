"""The command ``papaya log``."""

from random import Random

from papayapost.errors import PapayapostError, StoreUnavailable, UsageRefused
from papayapost.record import Attribution, ChangeEntry
from papayapost.record.queries import (
    LogFilter,
    LogReport,
    QueryAnswered,
    QueryRequested,
    ReadLog,
    build_query,
)
from papayapost_operator.command import Command, Result
from papayapost_operator.numbers import parse_whole_number
from papayapost_operator.settings import StoreOptions
from papayapost_operator.store_session import run_world
from papayapost_operator.text import change_lines, entry_line

__all__ = ["LogCommand"]

_MAX_LIMIT = 10_000


class LogCommand(Command):
    """Shows who changed which rules, and when."""

    name = "log"

    def __init__(self, store: StoreOptions, rule: str, owner: str, limit: str):
        self._store = store
        self._rule = rule
        self._owner = owner
        self._limit = limit

    def run(self) -> Result:
        """Read the change record, newest first, until enough entries match."""
        limit = parse_whole_number("--limit", self._limit)
        if not 0 < limit <= _MAX_LIMIT:
            raise UsageRefused(f"--limit {limit} is not from 1 to {_MAX_LIMIT}")
        settings = self._store.load()
        query = ReadLog(LogFilter(self._rule, self._owner, limit))
        world = build_query(Random(0))
        request = QueryRequested(query)
        report = run_world(settings, world, request, QueryAnswered).report
        assert isinstance(report, LogReport)
        lines = [line for entry in report.entries for line in _entry_lines(entry)]
        if not lines:
            lines = ["no recorded change matches the filter"]
        return Result(report, tuple(lines), _error_of(report))


def _entry_lines(entry: ChangeEntry) -> list[str]:
    lines = [entry_line(entry)]
    if not entry.changes.is_known:
        lines.append("  its changes are not known")
    if entry.overtaken:
        names = ", ".join(proposal.operator for proposal in entry.overtaken)
        is_applied = entry.attribution is Attribution.APPLIED
        lines.append(
            f"  {names} proposed the same text"
            if is_applied
            else f"  may have replaced a version by {names} that was not recorded"
        )
    return lines + change_lines(entry.changes.changes)


def _error_of(report: LogReport) -> PapayapostError | None:
    if not report.failure:
        return None
    reason = report.failure.removeprefix("PP301: ")
    return StoreUnavailable(f"the log is incomplete: {reason}")
