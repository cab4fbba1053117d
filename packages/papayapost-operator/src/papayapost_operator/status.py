"""The command ``papaya status``."""

from random import Random

from papayapost.distribution import StatusReport
from papayapost.errors import PapayapostError, StoreUnavailable
from papayapost.ids import DataCentreId
from papayapost.record.queries import (
    DataCentreStatus,
    QueryAnswered,
    QueryRequested,
    ReadStatus,
    StatusOverview,
    build_query,
)
from papayapost_operator.command import Command, Result
from papayapost_operator.settings import StoreOptions
from papayapost_operator.store_session import run_world
from papayapost_operator.text import entry_line

__all__ = ["StatusCommand"]


class StatusCommand(Command):
    """Shows the current rules version and its rollout in the data centres."""

    name = "status"

    def __init__(self, store: StoreOptions, data_centres: str):
        self._store = store
        self._data_centres = data_centres

    def run(self) -> Result:
        """Read the rules, the change record and the data centres' reports."""
        settings = self._store.load()
        given_names = [name for name in self._data_centres.split(",") if name]
        names = [DataCentreId(name) for name in given_names or settings.data_centres]
        request = QueryRequested(ReadStatus(names))
        world = build_query(Random(0))
        report = run_world(settings, world, request, QueryAnswered).report
        assert isinstance(report, StatusOverview)
        lines = [*_rules_lines(report)]
        for status in report.data_centres:
            lines += _data_centre_lines(status)
        if not names:
            lines.append(
                "no data centre is named; give --data_centres NAME,... or list them "
                "in the settings"
            )
        return Result(report, tuple(lines), _error_of(report))


def _rules_lines(report: StatusOverview) -> list[str]:
    if not report.version:
        if report.failure:
            return []
        return ["the store holds no rules"]
    lines = [f"version {report.version} is current"]
    if report.last_change is not None:
        lines = [f"{entry_line(report.last_change)}, is current"]
    if report.findings:
        lines.append(f"  refused: {len(report.findings)} findings")
        lines += [f"    {finding}" for finding in report.findings]
    accepted = report.accepted_version
    if not accepted:
        lines.append("  no version has been accepted yet")
    elif accepted != report.version:
        lines.append(f"  the last accepted version is {accepted}")
    return lines


def _data_centre_lines(status: DataCentreStatus) -> list[str]:
    report = status.report
    if report is None:
        return [f"{status.data_centre}: {status.failure}"]
    lines = [
        f"{status.data_centre}: version {report.version} on "
        f"{report.nodes_in_force} of {report.nodes_total} nodes "
        f"(told by {report.written_by})"
    ]
    return lines + _problem_lines(report)


def _problem_lines(report: StatusReport) -> list[str]:
    lines = [
        f"  {laggard.node_id} holds {laggard.version}: {laggard.reason}"
        for laggard in report.laggards
    ]
    if report.refused is not None:
        refused = report.refused
        lines.append(f"  refused version {refused.version}:")
        lines += [f"    {finding}" for finding in refused.findings]
    return lines


def _error_of(report: StatusOverview) -> PapayapostError | None:
    if not report.failure:
        return None
    reason = report.failure.removeprefix("PP301: ")
    return StoreUnavailable(f"the status is incomplete: {reason}")
