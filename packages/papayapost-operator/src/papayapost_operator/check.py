"""The command ``papaya check``."""

from papayapost.define import define
from papayapost.errors import RulesRefused
from papayapost.findings import Finding
from papayapost.rules import compile_rules, rules_digest
from papayapost_operator.command import Command, Result
from papayapost_operator.files import read_rules_file

__all__ = ["CheckCommand", "CheckReport", "finding_lines"]


@define(frozen=True)
class CheckReport:
    """Result of checking a rules file.

    Parameters
    ----------
    routes, shares, services, accounts, keys
        Number of each in the file; 0 if the file is refused.
    """

    file: str
    digest: str
    routes: int
    shares: int
    services: int
    findings: tuple[Finding, ...]
    accounts: int = 0
    keys: int = 0


class CheckCommand(Command):
    """Reports all findings of a rules file."""

    name = "check"

    def __init__(self, file: str):
        self._file = file

    def run(self) -> Result:
        """Compile the file and report its findings; the store is not read."""
        text = read_rules_file(self._file)
        digest = rules_digest(text)
        try:
            rules = compile_rules(text)
        except RulesRefused as refused:
            report = CheckReport(self._file, digest, 0, 0, 0, refused.findings)
            lines = finding_lines(self._file, refused.findings)
            return Result(report, lines, refused)
        counts = len(rules.routes), len(rules.shares), len(rules.services)
        accounts, keys = len(rules.accounts), len(rules.keys)
        report = CheckReport(self._file, digest, *counts, (), accounts, keys)
        line = "{}: {} routes, {} shares, {} services".format(self._file, *counts)
        if accounts or keys:
            line += f", {accounts} accounts, {keys} keys"
        return Result(report, (line,))


def finding_lines(file: str, findings: tuple[Finding, ...]) -> tuple[str, ...]:
    """Return a line for each finding that starts with file, line and column.

    Editors can jump to a position that is written in this form.
    """
    return tuple(f"{file}:{finding}" for finding in findings)
