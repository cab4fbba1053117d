"""The results of a seed: one line, the findings, and what led to them."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from papayapost_testing.soak.plans import Profile
from papayapost_testing.soak.rows import CallEnd, CallRow
from papayapost_testing.soak.tables import SoakTables

__all__ = ["SoakReport", "write_report"]


@dataclass(slots=True)
class SoakReport:
    """What the run of a seed has shown.

    Parameters
    ----------
    lag_s
        The longest time in s by which the soak itself woke up late.
    """

    seed: int
    profile: Profile
    tables: SoakTables
    lag_s: float

    @property
    def is_clean(self) -> bool:
        """Whether nothing was found."""
        return not self.tables.findings

    def line(self) -> str:
        """Return a summary in one line."""
        tables = self.tables
        ends = Counter(map(_end_of, tables.calls))
        waits = (row.waited_us for rows in tables.waits.values() for row in rows)
        waited_us = sum(waits)
        starts = sum(node.start for node in tables.nodes)
        counts = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()))
        return (
            f"seed {self.seed} ({self.profile.value}): {len(tables.nodes)} nodes, "
            f"{starts} starts, {len(tables.versions)} versions, "
            f"{len(tables.calls)} calls ({counts}), late by {self.lag_s:.2f} s "
            f"at most, nodes waited {waited_us / 1e6:.0f} s for a core, "
            f"{len(tables.findings)} findings"
        )

    def finding_lines(self) -> list[str]:
        """Return a line for each finding, in the order of time."""
        return [
            f"  {row.at_us / 1e6:.3f} s {row.check}: {row.text}"
            for row in sorted(self.tables.findings, key=lambda row: row.at_us)
        ]


def write_report(report: SoakReport, folder: Path) -> None:
    """Write the findings, the troubles and the versions to a folder."""
    lines = [report.line(), *report.finding_lines(), "", "troubles"]
    for row in report.tables.troubles:
        ended = "open" if row.ended_us is None else f"{row.ended_us / 1e6:.3f}"
        kind = "planned" if row.is_planned else "unplanned"
        where = row.node_id or "all"
        lines.append(f"  {row.began_us / 1e6:.3f}-{ended} {where} {kind} {row.what}")
    lines += ["", "processes: start, SIGTERM, SIGKILL, exit in s, exit code, wait"]
    for node in report.tables.ended_processes:
        times_us = node.started_us, node.term_us, node.kill_us, node.exited_us
        times = " ".join("-" if at < 0 else f"{at / 1e6:.3f}" for at in times_us)
        span = node.started_us, node.exited_us
        wait_s = report.tables.wait_us(node.node_id, *span) / 1e6
        lines.append(
            f"  {node.node_id} {node.start}: {times} {node.exit_code} {wait_s:.3f}"
        )
    lines += ["", "versions"]
    for version in report.tables.versions:
        routes = ", ".join(
            f"{route.prefix} {route.service}" for route in version.routes.values()
        )
        lines.append(f"  {version.acked_us / 1e6:.3f} {version.version}: {routes}")
    (folder / "report.txt").write_text("\n".join(lines) + "\n")


def _end_of(call: CallRow) -> str:
    if call.end is CallEnd.ANSWERED and call.answer is not None:
        own = "" if call.answer.signature else " of the node"
        return f"{call.answer.status}{own}"
    return call.end.value
