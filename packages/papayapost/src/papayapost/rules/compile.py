"""Compiles a rules text, or refuses the whole text if it has a finding."""

from contextlib import suppress

import xxhash

from papayapost.errors import RulesRefused
from papayapost.rules.access import AccessIndex
from papayapost.rules.account import (
    AccessCompiler,
    AccountCompiler,
    AccountKeyCompiler,
)
from papayapost.rules.caller_limits import CallerLimitsCompiler
from papayapost.rules.characters import MAX_TEXT_BYTES, check_characters, check_size
from papayapost.rules.checks import FILE_CHECKS
from papayapost.rules.faults import RuleFault
from papayapost.rules.finding_list import FindingList, TooManyFindings
from papayapost.rules.index import RouteIndex
from papayapost.rules.line_compiler import LineCompiler, RulesDraft
from papayapost.rules.model import RuleRow
from papayapost.rules.route import RouteCompiler
from papayapost.rules.ruleset import RuleSet
from papayapost.rules.share import ShareCompiler
from papayapost.rules.tokens import MAX_LINE_CHARACTERS, RuleLine, numbered_lines

__all__ = ["compile_rules", "rules_digest"]

_COMPILERS_BY_KEYWORD: dict[str, LineCompiler] = {
    compiler.keyword: compiler
    for compiler in (
        RouteCompiler(),
        ShareCompiler(),
        AccountCompiler(),
        AccountKeyCompiler(),
        AccessCompiler(),
        CallerLimitsCompiler(),
    )
}


def rules_digest(text: str) -> str:
    """Return the 64-bit digest of a rules text, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(text.encode("utf-8", "surrogatepass"))


def compile_rules(
    text: str, previous: RuleSet | None = None, max_bytes: int = MAX_TEXT_BYTES
) -> RuleSet:
    """Compile a rules text.

    The result depends on the text and the size limit of the mesh alone, so
    that all nodes accept the same texts and refuse the same texts.

    Parameters
    ----------
    text
        The rules text, decoded by `decode_text`.
    previous
        An earlier compiled text. Rows of lines that both texts have are
        reused, which saves time and never changes the result.
    max_bytes
        Size limit of the text in bytes of UTF-8.

    Raises
    ------
    RulesRefused
        With the findings of the text in file order. After 500 findings the
        checks stop, and a further finding says so. A text that is too large
        has only the finding about its size, and no line of it is compiled.

    Examples
    --------
    >>> rules = compile_rules("route GET /gusts -> gusts # Mei: wind desk")
    >>> rules.routes[0].service, rules.routes[0].owner
    ('gusts', 'Mei')
    """
    size_finding = check_size(text, max_bytes)
    if size_finding is not None:
        raise RulesRefused([size_finding])
    findings = FindingList()
    draft = RulesDraft(text.split("\n"), findings)
    index = RouteIndex(())
    with suppress(TooManyFindings):
        index = _read_and_check(draft, text, previous)
    if findings.items:
        raise RulesRefused(findings.sorted_items())
    services = frozenset(
        service for route in draft.routes for service in route.services
    )
    return RuleSet(
        text,
        rules_digest(text),
        tuple(draft.routes),
        tuple(draft.shares),
        services,
        index,
        tuple(draft.accounts),
        tuple(draft.keys),
        tuple(draft.access_rules),
        AccessIndex(draft.accounts, draft.keys, draft.access_rules),
        draft.limits[0] if draft.limits else None,
    )


def _read_and_check(
    draft: RulesDraft, text: str, previous: RuleSet | None
) -> RouteIndex:
    """Read the lines into the draft, check them, and return the index."""
    draft.findings.extend(check_characters(text))
    _read_lines(text, draft, previous.rows_by_line_text() if previous else {})
    index = RouteIndex(draft.routes, previous.index if previous else None)
    for check in FILE_CHECKS:
        check.run(draft, index)
    return index


def _read_lines(
    text: str, draft: RulesDraft, previous_rows: dict[str, RuleRow]
) -> None:
    """Add the row of each line, reusing the previous row of an equal line.

    A reused row counts as new if it now follows a row that it preceded in
    the previous text.
    """
    last_reused_line = 0
    for number, raw in numbered_lines(text):
        row = previous_rows.get(raw)
        if row is None:
            _read_line(RuleLine(number, raw, draft.findings), draft)
            continue
        is_new = row.line <= last_reused_line
        if not is_new:
            last_reused_line = row.line
        draft.add(row if row.line == number else row.at_line(number), is_new)


def _read_line(line: RuleLine, draft: RulesDraft) -> None:
    if len(line.text) > MAX_LINE_CHARACTERS:
        line.report(
            RuleFault.LINE_TOO_LONG,
            MAX_LINE_CHARACTERS + 1,
            f"the line has {len(line.text)} characters",
            f"keep it within {MAX_LINE_CHARACTERS}; write a long reason on "
            "comment lines above",
        )
    line.require_owner()
    compiler = _COMPILERS_BY_KEYWORD.get(line.words[0].text)
    if compiler is None:
        _report_unknown_keyword(line)
    else:
        compiler.compile(line, draft)


def _report_unknown_keyword(line: RuleLine) -> None:
    keyword = line.words[0]
    line.report(
        RuleFault.UNKNOWN_RULE,
        keyword.column,
        f"unknown rule {keyword.text!r}",
        f"start the line with one of {', '.join(map(repr, _COMPILERS_BY_KEYWORD))}",
    )
