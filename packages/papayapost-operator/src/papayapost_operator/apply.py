"""papaya apply."""

import getpass
import time
import uuid
from random import Random

from papayapost.errors import (
    OutcomeUnknown,
    PapayapostError,
    RulesOvertaken,
    RulesRefused,
    StoreUnavailable,
    UsageRefused,
)
from papayapost.ids import Micros, RuleVersion
from papayapost.record import Operator, ProposalId
from papayapost.record.apply import (
    ApplyAsked,
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
    build_apply,
)
from papayapost_operator.check import finding_lines
from papayapost_operator.command import Command, Result
from papayapost_operator.files import read_rules_file
from papayapost_operator.numbers import whole_number
from papayapost_operator.session import run_world
from papayapost_operator.settings import OperatorSettings, StoreOptions
from papayapost_operator.text import change_lines, entry_line

__all__ = ["ApplyCommand"]

_MAX_OPERATOR_LENGTH = 100
_MAX_MESSAGE_LENGTH = 500


class ApplyCommand(Command):
    """Makes a rules file the store's current version."""

    name = "apply"

    def __init__(
        self,
        file: str,
        store: StoreOptions,
        operator: str,
        message: str,
        base: str,
        is_preview: bool,
    ):
        self._file = file
        self._store = store
        self._operator = operator
        self._message = message
        self._base = base
        self._is_preview = is_preview

    def run(self) -> Result:
        """Show what changes, and change it unless somebody came first."""
        settings = self._store.load()
        base = whole_number("--base", self._base) if self._base else None
        asked = ApplyAsked(
            ProposalId(uuid.uuid4().hex),
            read_rules_file(self._file),
            _operator_of(self._operator, settings),
            _printable("--message", self._message, _MAX_MESSAGE_LENGTH),
            None if base is None else RuleVersion(base),
            self._is_preview,
            Micros(time.time_ns() // 1_000),
        )
        world = build_apply(Random(asked.proposal_id))
        report = run_world(settings, world, asked, ApplyFinished).report
        lines = (*self._change_lines(report), *self._outcome_lines(report))
        return Result(report, lines, _error_of(report))

    def _change_lines(self, report: ApplyReport) -> list[str]:
        if not report.changes:
            return []
        return [
            f"{self._file} against version {report.base_version}:",
            *change_lines(report.changes),
        ]

    def _outcome_lines(self, report: ApplyReport) -> list[str]:
        outcome, earlier = report.outcome, report.earlier
        lines: list[str] = []
        if outcome is ApplyOutcome.REFUSED:
            lines += finding_lines(self._file, report.findings)
        elif outcome is ApplyOutcome.ACCEPTED:
            lines.append(f"version {report.version} is accepted")
            if not report.is_recorded:
                lines.append("its entry in the record is left to a link relay")
        elif outcome is ApplyOutcome.UNCHANGED:
            lines.append(f"version {report.version} has the same text already")
        elif outcome is ApplyOutcome.PREVIEWED:
            lines.append("nothing was written")
        if earlier is not None:
            lines.append(entry_line(earlier))
        if report.differing:
            lines.append("that version against the file:")
            lines += change_lines(report.differing)
        return lines


def _error_of(report: ApplyReport) -> PapayapostError | None:
    outcome, reason = report.outcome, report.reason
    if outcome is ApplyOutcome.REFUSED:
        return RulesRefused(report.findings)
    if outcome is ApplyOutcome.OVERTAKEN:
        return RulesOvertaken(_overtaken_text(report))
    if outcome is ApplyOutcome.UNAVAILABLE:
        return StoreUnavailable(f"nothing was changed: {_plain(reason)}")
    if outcome is ApplyOutcome.UNKNOWN:
        return OutcomeUnknown(
            f"{_plain(reason)}; the file may be in force: look at 'papaya status' "
            "and 'papaya log' before applying again"
        )
    return None


def _overtaken_text(report: ApplyReport) -> str:
    who = entry_line(report.earlier) if report.earlier else "another version"
    return (
        f"{who} came first, nothing was written; take its changes into the file "
        f"and apply again with --base {report.version}"
    )


def _plain(reason: str) -> str:
    """Return a store's reason without the code of its own error."""
    return reason.removeprefix("PP301: ")


def _operator_of(given: str, settings: OperatorSettings) -> Operator:
    name = given or settings.operator or _login_name()
    return Operator(_printable("--operator", name, _MAX_OPERATOR_LENGTH))


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise UsageRefused(
            "this login has no name to record; give --operator NAME"
        ) from None


def _printable(option: str, text: str, max_length: int) -> str:
    if len(text) > max_length or not text.isprintable():
        raise UsageRefused(
            f"{option} {text[:40]!r} is not one line of {max_length} printable "
            "characters at most; shorten it"
        )
    return text
