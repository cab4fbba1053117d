"""Formats changes and entries of the change record as lines of text."""

from collections.abc import Sequence
from datetime import UTC, datetime

from papayapost.ids import Micros
from papayapost.record import Attribution, ChangeEntry
from papayapost.rules import ChangeKind, RuleChange

__all__ = ["change_lines", "entry_line", "time_text"]

_MAX_CHANGES_SHOWN = 200


def time_text(at_us: Micros) -> str:
    """Return a wall-clock time as text in UTC.

    Parameters
    ----------
    at_us
        Time since the Unix epoch in µs.

    Examples
    --------
    >>> time_text(Micros(1_700_000_000_000_000))
    '2023-11-14 22:13:20Z'
    """
    return f"{datetime.fromtimestamp(at_us // 1_000_000, UTC):%Y-%m-%d %H:%M:%SZ}"


def change_lines(changes: Sequence[RuleChange]) -> list[str]:
    """Return the first 200 changes as lines marked ``+``, ``-`` or ``~``.

    If there are more changes, a last line gives the number left out.
    """
    lines = []
    for change in changes[:_MAX_CHANGES_SHOWN]:
        if change.kind is ChangeKind.MOVED:
            lines.append(f"  ~ {change.after} (moved)")
            continue
        if change.before:
            lines.append(f"  - {change.before}")
        if change.after:
            lines.append(f"  + {change.after}")
    omitted = len(changes) - _MAX_CHANGES_SHOWN
    if omitted > 0:
        lines.append(f"  and {omitted} more changes; see --json")
    return lines


def entry_line(entry: ChangeEntry) -> str:
    """Return a line on who wrote a version, when and why."""
    origin = {
        Attribution.APPLIED: f"applied by {entry.operator}",
        Attribution.EDITED: "edited in the store",
        Attribution.REFUSED: "edited in the store, does not compile",
    }[entry.attribution]
    message = f": {entry.message}" if entry.message else ""
    return f"version {entry.version} {time_text(entry.at_us)} {origin}{message}"
