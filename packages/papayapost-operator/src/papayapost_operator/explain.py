"""The command ``papaya explain``."""

from random import Random
from urllib.parse import urlsplit

from papayapost.define import define
from papayapost.errors import StoreUnavailable, UsageRefused
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.record.queries import (
    CurrentRules,
    QueryAnswered,
    QueryRequested,
    ReadRules,
    build_query,
)
from papayapost.rules import Explanation, Route, compile_rules, explain
from papayapost_operator.command import Command, Result
from papayapost_operator.files import read_rules_file
from papayapost_operator.settings import StoreOptions
from papayapost_operator.store_session import run_world

__all__ = ["ExplainCommand", "ExplainReport"]

_MAX_NEAR_MISSES = 10


@define(frozen=True)
class ExplainReport:
    """The rule that decides a call, and the rules that nearly match it.

    Parameters
    ----------
    version
        Version of the rules in the store; 0 for the rules of a file.
    """

    version: RuleVersion
    explanation: Explanation


class ExplainCommand(Command):
    """Shows which rule decides a call, and why other rules do not match."""

    name = "explain"

    def __init__(self, method: str, url: str, store: StoreOptions, file: str):
        self._method = method
        self._url = url
        self._store = store
        self._file = file

    def run(self) -> Result:
        """Explain the call by the rules of the file, or of the store."""
        host, path = _split_url(self._url)
        version, text = NO_VERSION, ""
        if self._file:
            text = read_rules_file(self._file)
        else:
            current = self._read_current_rules()
            version, text = current.version, current.text
        rules = compile_rules(text)
        explanation = explain(rules, self._method.upper(), host, path)
        lines = [*_decision_lines(explanation, version), *_near_miss_lines(explanation)]
        return Result(ExplainReport(version, explanation), tuple(lines))

    def _read_current_rules(self) -> CurrentRules:
        settings = self._store.load()
        request = QueryRequested(ReadRules())
        world = build_query(Random(0))
        report = run_world(settings, world, request, QueryAnswered).report
        assert isinstance(report, CurrentRules)
        if report.failure and not report.text:
            raise StoreUnavailable(report.failure.removeprefix("PP301: "))
        return report


def _split_url(url: str) -> tuple[str, str]:
    """Return the host and path of a URL, ``host/path`` or ``/path``.

    The host is empty if the text names none.
    """
    try:
        parts = urlsplit(url if "://" in url else f"//{url}")
        host = parts.hostname or ""
    except ValueError:
        host, parts = "", None
    if parts is None or not url.isprintable() or " " in url:
        raise UsageRefused(
            f"{url!r} is not a URL; write http://host/path, host/path or /path"
        )
    return host, parts.path or "/"


def _decision_lines(explanation: Explanation, version: RuleVersion) -> list[str]:
    version_text = f" of version {version}" if version else ""
    route = explanation.route
    if route is None:
        return [
            f"no rule{version_text} matches {explanation.method} "
            f"{explanation.host}{explanation.path}"
        ]
    lines = [
        f"line {route.line}{version_text} by {route.owner}: {route.reason}",
        f"  sent to {_services_text(route)}, rank {route.rank.name.lower()}, "
        f"deadline {route.timeout_ms} ms{_target_text(route)}",
        f"  {_retry_text(route)}",
        f"  {_link_text(route)}",
    ]
    if explanation.needs_key:
        lines.append("  needs a key of a client account, whose rank goes first")
    share = explanation.share
    if share is not None:
        lines.append(
            f"  its rank gets at least {share.floor_percent}% of the slots, and at "
            f"most {share.ceiling_percent}% while others wait "
            f"(line {share.line} by {share.owner})"
        )
    return lines


def _target_text(route: Route) -> str:
    return f", target {route.target_ms} ms" if route.target_ms else ""


def _services_text(route: Route) -> str:
    if not route.parts:
        return route.service
    return " and ".join(f"{part.service}:{part.weight}" for part in route.parts)


def _link_text(route: Route) -> str:
    if not route.cross_link:
        return "never sent over the link between regions"
    condition = " while no backend server is nearer" if route.link_last else ""
    return f"may be sent over the link between regions{condition}"


def _retry_text(route: Route) -> str:
    if not route.idempotent:
        return f"runs at most once; up to {route.retries} retries after refusals"
    hedge = f", hedged after {route.hedge_ms} ms" if route.hedge_ms else ""
    return f"may run more than once; up to {route.retries} retries{hedge}"


def _near_miss_lines(explanation: Explanation) -> list[str]:
    misses = explanation.near_misses
    lines = [
        f"line {miss.route.line} by {miss.route.owner} does not match: {miss.message}"
        for miss in misses[:_MAX_NEAR_MISSES]
    ]
    if len(misses) > _MAX_NEAR_MISSES:
        lines.append(f"and {len(misses) - _MAX_NEAR_MISSES} more; see --json")
    return lines
