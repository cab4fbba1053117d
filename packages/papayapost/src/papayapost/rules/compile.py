"""Compiles a rules text, whole or not at all."""

import re
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from papayapost.errors import RulesRefused
from papayapost.findings import Finding
from papayapost.ids import Owner, ServiceName
from papayapost.rules.model import Route, RuleSet, Share
from papayapost.states import Rank

__all__ = ["compile_rules", "digest_of"]

_OWNER = re.compile(r"#\s*(?P<owner>[^:#]+?)\s*:\s*(?P<reason>\S.*?)\s*$")
_SERVICE = re.compile(r"[a-z][a-z0-9-]{0,62}$")
_METHODS = frozenset(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
_DEFAULT_TIMEOUT_MS = 1_000
_MAX_TIMEOUT_MS = 3_600_000
_MAX_RETRIES = 5


def digest_of(text: str) -> str:
    """Return the 64-bit digest of a rules text, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(text.encode())


@dataclass(slots=True)
class _Word:
    text: str
    column: int


class _Line:
    """One line being compiled, with the findings it has gathered."""

    def __init__(self, number: int, text: str, findings: list[Finding]):
        self.number = number
        self._findings = findings
        head, hash_sign, _ = text.partition("#")
        self.words = [
            _Word(m.group(), m.start() + 1) for m in re.finditer(r"\S+", head)
        ]
        self.owner, self.reason = self._read_owner(text, len(head), bool(hash_sign))

    def report(self, code: str, column: int, message: str, remedy: str) -> None:
        place = f"{self.number}:{column}"
        self._findings.append(Finding(code, place, message, remedy))

    def _read_owner(self, text: str, column: int, has_comment: bool):
        match = _OWNER.match(text, column) if has_comment else None
        if match is None:
            self.report(
                "R001",
                column + 1,
                "the rule does not say who asked for it",
                "end the line with '# name: why'",
            )
            return Owner(""), ""
        return Owner(match["owner"]), match["reason"]


def compile_rules(text: str) -> RuleSet:
    """Compile a rules text.

    A pure function of the text, so that every node reaches the same verdict.

    Raises
    ------
    RulesRefused
        With every finding of the text.

    Examples
    --------
    >>> rules = compile_rules("route GET /gusts -> gusts # Mei: wind desk")
    >>> rules.routes[0].service, rules.routes[0].owner
    ('gusts', 'Mei')
    """
    findings: list[Finding] = []
    routes: list[Route] = []
    shares: list[Share] = []
    for number, raw in enumerate(text.splitlines(), 1):
        if not raw.strip() or raw.lstrip().startswith("#"):
            continue
        line = _Line(number, raw, findings)
        keyword = line.words[0]
        if keyword.text == "route":
            _compile_route(line, routes)
        elif keyword.text == "share":
            _compile_share(line, shares)
        else:
            line.report(
                "R002",
                keyword.column,
                f"unknown rule {keyword.text!r}",
                "start the line with 'route' or 'share'",
            )
    if findings:
        raise RulesRefused(findings)
    services = frozenset(route.service for route in routes)
    return RuleSet(text, digest_of(text), tuple(routes), tuple(shares), services)


def _compile_route(line: _Line, routes: list[Route]) -> None:
    words = line.words
    if len(words) < 5 or words[3].text != "->":
        line.report(
            "R003",
            words[0].column,
            "the route is incomplete",
            "write 'route METHODS [HOST]/PATH -> SERVICE ...'",
        )
        return
    methods = _read_methods(line, words[1])
    host, path = _read_target(line, words[2])
    service = _read_service(line, words[4])
    options = _read_options(line, words[5:], _ROUTE_OPTIONS)
    routes.append(
        Route(
            line=line.number,
            methods=methods,
            host=host,
            path=path,
            service=service,
            rank=options.get("rank", Rank.NORMAL),
            idempotent=options.get("idempotent", False),
            timeout_ms=options.get("timeout_ms", _DEFAULT_TIMEOUT_MS),
            retries=options.get("retries", 0),
            hedge_ms=options.get("hedge_ms"),
            cross_link=options.get("link", False),
            owner=line.owner,
            reason=line.reason,
        )
    )


def _compile_share(line: _Line, shares: list[Share]) -> None:
    words = line.words
    rank = _read_rank(words[1].text) if len(words) > 1 else None
    if rank is None:
        line.report(
            "R004",
            words[0].column,
            "the share names no rank",
            f"write 'share RANK floor=N% ceiling=N%', RANK one of {_rank_names()}",
        )
        return
    options = _read_options(line, words[2:], _SHARE_OPTIONS)
    floor = options.get("floor", 0)
    ceiling = options.get("ceiling", 100)
    shares.append(Share(line.number, rank, floor, ceiling, line.owner, line.reason))


def _read_methods(line: _Line, word: _Word) -> frozenset[str]:
    if word.text == "*":
        return frozenset()
    methods = frozenset(word.text.split(","))
    for method in sorted(methods - _METHODS):
        line.report(
            "R005",
            word.column,
            f"unknown method {method!r}",
            f"use '*' or some of {','.join(sorted(_METHODS))}",
        )
    return methods


def _read_target(line: _Line, word: _Word) -> tuple[str, str]:
    host, slash, path = word.text.partition("/")
    if not slash or "*" in path[:-1]:
        line.report(
            "R006",
            word.column,
            f"bad target {word.text!r}",
            "write '/path', 'host/path', or a prefix that ends in '*'",
        )
    return host.lower() or "*", "/" + path


def _read_service(line: _Line, word: _Word) -> ServiceName:
    if not _SERVICE.match(word.text):
        line.report(
            "R007",
            word.column,
            f"bad service name {word.text!r}",
            "use lower-case letters, digits and '-', at most 63",
        )
    return ServiceName(word.text)


def _read_rank(text: str) -> Rank | None:
    return Rank.__members__.get(text.upper()) if text.islower() else None


def _rank_names() -> str:
    return ", ".join(rank.name.lower() for rank in Rank)


def _read_number(low: int, high: int) -> Callable[[str], int | None]:
    def read(text: str) -> int | None:
        digits = text.removesuffix("%") if high == 100 else text
        if not digits.isascii() or not digits.isdigit():
            return None
        value = int(digits)
        return value if low <= value <= high else None

    return read


def _read_flag(text: str) -> bool | None:
    return {"yes": True, "no": False}.get(text)


_ROUTE_OPTIONS: dict[str, tuple[Callable[[str], object], str]] = {
    "rank": (_read_rank, f"one of {_rank_names()}"),
    "idempotent": (_read_flag, "yes or no"),
    "link": (_read_flag, "yes or no"),
    "timeout_ms": (_read_number(1, _MAX_TIMEOUT_MS), f"1 to {_MAX_TIMEOUT_MS}"),
    "retries": (_read_number(0, _MAX_RETRIES), f"0 to {_MAX_RETRIES}"),
    "hedge_ms": (_read_number(1, _MAX_TIMEOUT_MS), f"1 to {_MAX_TIMEOUT_MS}"),
}
_SHARE_OPTIONS: dict[str, tuple[Callable[[str], object], str]] = {
    "floor": (_read_number(0, 100), "0% to 100%"),
    "ceiling": (_read_number(1, 100), "1% to 100%"),
}


def _read_options(line: _Line, words: list[_Word], known: dict) -> dict:
    options: dict = {}
    for word in words:
        name, _, value = word.text.partition("=")
        if name not in known:
            line.report(
                "R008",
                word.column,
                f"unknown option {name!r}",
                f"use some of {', '.join(known)}",
            )
            continue
        read, expected = known[name]
        parsed = read(value)
        if parsed is None:
            line.report(
                "R009",
                word.column,
                f"bad value {value!r} of {name!r}",
                f"give {expected}",
            )
        options[name] = parsed
    return options
