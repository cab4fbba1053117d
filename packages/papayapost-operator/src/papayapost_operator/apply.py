"""The command ``papaya apply``."""

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
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
    ApplyRequested,
    build_apply,
)
from papayapost_operator.check import finding_lines
from papayapost_operator.command import Command, Result
from papayapost_operator.files import read_rules_file
from papayapost_operator.numbers import parse_whole_number
from papayapost_operator.settings import OperatorSettings, StoreOptions
from papayapost_operator.store_session import run_world
from papayapost_operator.text import change_lines, entry_line

__all__ = ["ApplyCommand"]

_MAX_OPERATOR_LENGTH = 100
_MAX_MESSAGE_LENGTH = 500


class ApplyCommand(Command):
    """Writes a rules file to the store as the current version."""

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
        """Show the changes and write them, unless another write came first."""
        settings = self._store.load()
        base = parse_whole_number("--base", self._base) if self._base else None
        request = ApplyRequested(
            ProposalId(uuid.uuid4().hex),
            read_rules_file(self._file),
            _operator_of(self._operator, settings),
            _check_printable("--message", self._message, _MAX_MESSAGE_LENGTH),
            None if base is None else RuleVersion(base),
            self._is_preview,
            Micros(time.time_ns() // 1_000),
        )
        world = build_apply(Random(request.proposal_id))
        report = run_world(settings, world, request, ApplyFinished).report
        lines = (*self._change_lines(report), *self._outcome_lines(report))
        return Result(report, lines, _error_of(report))

    def _change_lines(self, report: ApplyReport) -> list[str]:
        if not report.changes:
            return []
        return [
            f"changes from version {report.base_version} to {self._file}:",
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
                lines.append("a link relay will write its entry in the change record")
        elif outcome is ApplyOutcome.UNCHANGED:
            lines.append(
                f"version {report.version} has the same text; nothing was written"
            )
        elif outcome is ApplyOutcome.PREVIEWED:
            lines.append("preview only; nothing was written")
        if earlier is not None:
            lines.append(entry_line(earlier))
        if report.differing:
            lines.append("changes from that version to the file:")
            lines += change_lines(report.differing)
        return lines


def _error_of(report: ApplyReport) -> PapayapostError | None:
    outcome, reason = report.outcome, report.reason
    if outcome is ApplyOutcome.REFUSED:
        return RulesRefused(report.findings)
    if outcome is ApplyOutcome.OVERTAKEN:
        return RulesOvertaken(_overtaken_text(report))
    if outcome is ApplyOutcome.UNAVAILABLE:
        return StoreUnavailable(f"nothing was changed: {_without_code(reason)}")
    if outcome is ApplyOutcome.UNKNOWN:
        return OutcomeUnknown(
            f"{_without_code(reason)}; the file may have been written: check 'papaya "
            "status' and 'papaya log' before applying it again"
        )
    return None


def _overtaken_text(report: ApplyReport) -> str:
    stored_version = entry_line(report.earlier) if report.earlier else "another version"
    return (
        f"nothing was written, because the store holds {stored_version}; merge its "
        f"changes into the file and apply it again with --base {report.version}"
    )


def _without_code(reason: str) -> str:
    """Return the text of a store error without its error code."""
    return reason.removeprefix("PP301: ")


def _operator_of(option_value: str, settings: OperatorSettings) -> Operator:
    name = option_value or settings.operator or _login_name()
    return Operator(_check_printable("--operator", name, _MAX_OPERATOR_LENGTH))


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise UsageRefused(
            "the login name for the change record is unknown; give --operator NAME"
        ) from None


def _check_printable(option: str, text: str, max_length: int) -> str:
    if len(text) > max_length or not text.isprintable():
        raise UsageRefused(
            f"{option} {text[:40]!r} is not one line of at most {max_length} "
            "printable characters; shorten it"
        )
    return text
