"""Formats the tables of docs/CAPACITY.md and writes them into the page."""

from collections.abc import Sequence
from pathlib import Path

from papayapost_testing.capacity.roles import RoleRow
from papayapost_testing.capacity.verdicts import VerdictRow

__all__ = ["replace_tables", "roles_table", "verdicts_table"]


def roles_table(rows: Sequence[RoleRow]) -> str:
    """Return a Markdown table of the roles and their costs."""
    lines = [
        "| role | state | messages/s | bytes/s | % of a core | MB "
        "| mechanism | bench |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.role} | {row.state} | {row.messages_per_s:.1f} | "
            f"{row.bytes_per_s:,.0f} | {row.core_percent:.2f} | "
            f"{row.memory_mb:.1f} | {row.mechanism} | {row.benchmarks} |"
        )
    return "\n".join(lines)


def verdicts_table(rows: Sequence[VerdictRow]) -> str:
    """Return a Markdown table of the budgets and whether they are kept."""
    lines = [
        "| budget | limit | reached | verdict | bench |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.budget} | {row.limit:,.2f} {row.unit} | {row.cost:,.2f} | "
            f"{row.verdict} | {row.benchmarks} |"
        )
    return "\n".join(lines)


def replace_tables(path: Path, tables: dict[str, str]) -> None:
    """Replace each table of a page between its markers.

    Parameters
    ----------
    tables
        New tables by name. A table stands between the markers
        ``<!-- table NAME -->`` and ``<!-- end NAME -->``.

    Raises
    ------
    ValueError
        If the page does not have each of the two markers exactly once.
    """
    text = path.read_text()
    for name, table in tables.items():
        begin, end = f"<!-- table {name} -->", f"<!-- end {name} -->"
        count = text.count(begin) * text.count(end)
        if count != 1:
            raise ValueError(
                f"{path} has {count} pairs of markers for table {name!r}; "
                f"it needs {begin!r} and {end!r} exactly once"
            )
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f"{before}{begin}\n{table}\n{end}{after}"
    path.write_text(text)
