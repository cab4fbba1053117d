"""Query for the status of the rules in the store and the data centres."""

from collections.abc import Sequence

from papayapost.define import define
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
from papayapost.record.batch_read import FetchedObject
from papayapost.record.model import RECORD_KEY, ChangeEntry, RecordPage
from papayapost.record.queries.query import Query
from papayapost.rules import compile_rules
from papayapost.storage import ObjectKey

__all__ = ["DataCentreStatus", "ReadStatus", "StatusOverview"]


@define(frozen=True)
class DataCentreStatus:
    """Status of the rules in one data centre.

    Parameters
    ----------
    data_centre
        Id of the data centre.
    report
        Report on the nodes of the data centre from the store; None if there
        is none or it could not be read.
    failure
        Reason why there is no report; empty if there is one.
    """

    data_centre: DataCentreId
    report: StatusReport | None
    failure: str


@define(frozen=True)
class StatusOverview:
    """Status of the rules in the store and in the data centres.

    Parameters
    ----------
    version
        Version of the rules object; 0 if there is no rules object.
    findings
        Faults for which that version is refused; empty if it compiles.
    accepted_version
        Last version that a link relay has stored as accepted; 0 if there is
        none.
    last_change
        Record entry of `version`; None if it is not on the newest page.
    data_centres
        Status of each data centre, in the order of the request.
    failure
        Reason why the rules, the accepted rules or the record could not be
        read; empty if no read failed.
    """

    version: RuleVersion
    findings: tuple[Finding, ...]
    accepted_version: RuleVersion
    last_change: ChangeEntry | None
    data_centres: tuple[DataCentreStatus, ...]
    failure: str


class ReadStatus(Query):
    """Reads the rules, the newest record page and the data centres' reports.

    Parameters
    ----------
    data_centres
        Data centres whose reports are read.
    """

    def __init__(self, data_centres: Sequence[DataCentreId]):
        self._data_centres = tuple(data_centres)
        self._objects: tuple[FetchedObject, ...] = ()

    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of all objects, which are read in one round."""
        if self._objects:
            return ()
        reports = tuple(status_key(name) for name in self._data_centres)
        return (RULES_KEY, ACCEPTED_KEY, RECORD_KEY, *reports)

    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Keep all objects for the report."""
        self._objects = objects

    def report(self) -> StatusOverview:
        """Return the status that follows from the objects."""
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
