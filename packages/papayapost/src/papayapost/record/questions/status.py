"""Which version is current, who holds it, and what was refused."""

from collections.abc import Sequence
from dataclasses import dataclass

from papayapost.distribution import (
    ACCEPTED_KEY,
    RULES_KEY,
    AcceptedRules,
    StatusReport,
    status_key,
)
from papayapost.errors import RulesRefused
from papayapost.findings import Finding
from papayapost.ids import NO_VERSION, DataCentreId, RuleVersion
from papayapost.record.gather import FetchedObject
from papayapost.record.model import RECORD_KEY, ChangeEntry, RecordPage
from papayapost.record.questions.question import Query
from papayapost.rules import compile_rules
from papayapost.storage import ObjectKey

__all__ = ["DataCentreStatus", "ReadStatus", "StatusOverview"]


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """One data centre's report, or why there is none."""

    data_centre: DataCentreId
    report: StatusReport | None
    failure: str


@dataclass(frozen=True, slots=True)
class StatusOverview:
    """The rules in the store and in the data centres.

    Parameters
    ----------
    version
        Of the rules object; 0 if there is none.
    findings
        Why that version is refused; empty if it compiles.
    accepted_version
        The last version that a link relay has recorded as accepted.
    last_change
        The record's entry of `version`, None while it has none.
    """

    version: RuleVersion
    findings: tuple[Finding, ...]
    accepted_version: RuleVersion
    last_change: ChangeEntry | None
    data_centres: tuple[DataCentreStatus, ...]
    failure: str


class ReadStatus(Query):
    """Reads the rules, the record and a report of each data centre."""

    def __init__(self, data_centres: Sequence[DataCentreId]):
        self._data_centres = tuple(data_centres)
        self._objects: tuple[FetchedObject, ...] = ()

    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return all objects at once."""
        if self._objects:
            return ()
        reports = tuple(status_key(name) for name in self._data_centres)
        return (RULES_KEY, ACCEPTED_KEY, RECORD_KEY, *reports)

    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Take all objects."""
        self._objects = objects

    def report(self) -> StatusOverview:
        """Return what the objects say."""
        rules, accepted, record, *reports = self._objects
        version = RuleVersion(rules.version)
        page = record.value if isinstance(record.value, RecordPage) else RecordPage()
        value = accepted.value
        return StatusOverview(
            version,
            _findings_of(rules.value),
            value.version if isinstance(value, AcceptedRules) else NO_VERSION,
            page.entry_of(version),
            tuple(
                _status_of(name, fetched)
                for name, fetched in zip(self._data_centres, reports, strict=True)
            ),
            rules.failure or accepted.failure or record.failure,
        )


def _findings_of(text: object) -> tuple[Finding, ...]:
    if not isinstance(text, str):
        return ()
    try:
        compile_rules(text)
    except RulesRefused as refused:
        return refused.findings
    return ()


def _status_of(data_centre: DataCentreId, fetched: FetchedObject) -> DataCentreStatus:
    if isinstance(fetched.value, StatusReport):
        return DataCentreStatus(data_centre, fetched.value, "")
    failure = fetched.failure or "no report in the store yet"
    return DataCentreStatus(data_centre, None, failure)
