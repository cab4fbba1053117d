"""Compiles ``route METHODS [HOST]/PATH -> SERVICE ...`` lines."""

import re

from papayapost.define import define
from papayapost.ids import ServiceName
from papayapost.rules.faults import RuleFault
from papayapost.rules.line_compiler import LineCompiler, RulesDraft
from papayapost.rules.model import Route, WeightedService
from papayapost.rules.options import (
    FlagReader,
    LinkReader,
    NumberReader,
    OptionReader,
    RankReader,
    read_options,
)
from papayapost.rules.patterns import read_host, read_methods, read_path
from papayapost.rules.tokens import RuleLine, Word
from papayapost.states import LinkUse, Rank

__all__ = ["MAX_WEIGHT", "RouteCompiler", "is_service_name"]

_SERVICE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DEFAULT_TIMEOUT_MS = 1_000
_MAX_TIMEOUT_MS = 3_600_000
_MAX_RETRIES = 5
MAX_WEIGHT = 1_000_000
"""Largest weight of a service in a route."""
_WEIGHT_READER = NumberReader(1, MAX_WEIGHT)
_OPTIONS: dict[str, OptionReader] = {
    "rank": RankReader(),
    "idempotent": FlagReader(),
    "timeout_ms": NumberReader(1, _MAX_TIMEOUT_MS),
    "target_ms": NumberReader(1, _MAX_TIMEOUT_MS),
    "retries": NumberReader(0, _MAX_RETRIES),
    "hedge_ms": NumberReader(1, _MAX_TIMEOUT_MS),
    "link": LinkReader(),
    "anonymous": FlagReader(),
}


@define
class _RouteOptions:
    rank: Rank = Rank.NORMAL
    idempotent: bool = False
    timeout_ms: int = _DEFAULT_TIMEOUT_MS
    target_ms: int | None = None
    retries: int = 0
    hedge_ms: int | None = None
    link: LinkUse = LinkUse.NO
    anonymous: bool = False


def is_service_name(text: str) -> bool:
    """Return whether a text can be the name of a service in a route.

    Examples
    --------
    >>> is_service_name("wind-vault"), is_service_name("Wind vault")
    (True, False)
    """
    return _SERVICE_NAME.fullmatch(text) is not None


class RouteCompiler(LineCompiler):
    """Compiles ``route`` lines, which assign calls to services."""

    keyword = "route"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's route to the draft, and report the line's faults."""
        words = line.words
        if len(words) < 5 or words[3].text != "->":
            line.report(
                RuleFault.INCOMPLETE_ROUTE,
                words[0].column,
                "the route is incomplete",
                "write 'route METHODS [HOST]/PATH -> SERVICE ...'",
            )
            return
        methods = read_methods(line, words[1])
        host = read_host(line, words[2])
        path = read_path(line, words[2])
        parts = _read_services(line, words[4])
        options = _RouteOptions()
        read_options(line, words[5:], _OPTIONS, options)
        _check_hedge(line, options)
        if methods is None or host is None or path is None:
            return
        route = Route(
            line=line.number,
            methods=methods,
            host=host,
            path=path,
            service=parts[0].service,
            rank=options.rank,
            idempotent=options.idempotent,
            timeout_ms=options.timeout_ms,
            retries=options.retries,
            hedge_ms=options.hedge_ms,
            cross_link=options.link is not LinkUse.NO,
            owner=line.owner,
            reason=line.reason,
            target_ms=options.target_ms,
            parts=parts if len(parts) > 1 else (),
            link_last=options.link is LinkUse.LAST,
            anonymous=options.anonymous,
        )
        draft.add(route)


def _read_services(line: RuleLine, word: Word) -> tuple[WeightedService, ...]:
    """Read one service, or several with their weights: ``old:90,new:10``."""
    texts = word.text.split(",")
    parts = tuple(
        _read_weighted_service(line, word, text, len(texts) > 1) for text in texts
    )
    if len({part.service for part in parts}) < len(parts):
        line.report(
            RuleFault.BAD_WEIGHT,
            word.column,
            f"a service is listed twice in {word.text!r}",
            "name each service once, with its whole weight",
        )
    return parts


def _read_weighted_service(
    line: RuleLine, word: Word, text: str, needs_weight: bool
) -> WeightedService:
    name, colon, weight = text.partition(":")
    if not is_service_name(name):
        line.report(
            RuleFault.BAD_SERVICE,
            word.column,
            f"invalid service name {name!r}",
            "start with a lower-case letter or a digit and use at most 63 "
            "lower-case letters, digits and '-'",
        )
    is_weighted = bool(colon)
    value = _WEIGHT_READER.read(weight) if is_weighted else None
    if is_weighted != needs_weight or (is_weighted and value is None):
        line.report(
            RuleFault.BAD_WEIGHT,
            word.column,
            f"invalid weight in {text!r}",
            f"write 'name:weight' for each of several services, with "
            f"{_WEIGHT_READER.expected} as weight, or the name alone for one service",
        )
    return WeightedService(ServiceName(name), value or 1)


def _check_hedge(line: RuleLine, options: _RouteOptions) -> None:
    """Report a hedge delay that the route's other options rule out."""
    if options.hedge_ms is None:
        return
    column = next(w.column for w in line.words if w.text.startswith("hedge_ms="))
    if not options.idempotent:
        line.report(
            RuleFault.HEDGE_NOT_IDEMPOTENT,
            column,
            "hedge_ms on a route that is not idempotent could run calls twice",
            "remove hedge_ms, or write idempotent=yes if a call may run again",
        )
    if options.hedge_ms >= options.timeout_ms:
        line.report(
            RuleFault.HEDGE_AFTER_TIMEOUT,
            column,
            f"hedge_ms={options.hedge_ms} is not below the timeout of "
            f"{options.timeout_ms} ms, so no hedge would start",
            "give a hedge_ms below timeout_ms",
        )
