"""Time to compile a rules text, and to match a call against its routes."""

import time
from collections.abc import Callable
from random import Random

from papayapost.rules import Route, RuleSet, compile_rules, match_route
from papayapost_testing.bench.rows import BenchRow

__all__ = ["run"]

_SERVICES = 810
_CALLS = 200

Call = tuple[str, str, str]
Match = Callable[[RuleSet, str, str, str], Route | None]


def run(short: bool) -> list[BenchRow]:
    """Return the time per match in µs and per compilation in ms, by size.

    Parameters
    ----------
    short
        Run fewer repetitions.
    """
    repetitions = 3 if short else 30
    rows = []
    for size in (10, 810, 5_000):
        rules = compile_rules(_text_of(size))
        calls = _calls_of(size)
        linear_rounds = max(1, repetitions * 10 // size)
        rows.append(
            BenchRow(
                "match of one call, routes",
                size,
                _match_us(match_route, rules, calls, repetitions * 10),
                "us",
                _match_us(_match_linear, rules, calls, linear_rounds),
            )
        )
    for size in (1_000, 5_000):
        text = _text_of(size)
        full_ms = _compile_ms(text, None, repetitions)
        rows.append(BenchRow("compilation of a text, lines", size, full_ms, "ms"))
        rows.append(BenchRow("size of a text, lines", size, len(text.encode()), "B"))
        rest = text.partition("\n")[2]
        line = "route GET /new -> gusts # Mei: wind desk\n"
        for name, edited in (("changed", line + rest), ("added", line + text)):
            value = _compile_ms(edited, compile_rules(text), repetitions)
            rows.append(
                BenchRow(f"first line {name}, lines", size, value, "ms", full_ms)
            )
    return rows


def _text_of(size: int) -> str:
    lines = []
    for number in range(size):
        service = number % _SERVICES
        version, is_prefix = divmod(number // _SERVICES, 2)
        path = f"/v{version}/service-{service}/" + ("*" if is_prefix else "status")
        lines.append(
            f"route GET,POST mesh-{service % 30}.example{path} -> service-{service} "
            f"rank=high idempotent=yes timeout_ms=900 retries=1 # Ana: line {number}"
        )
    return "\n".join(lines)


def _calls_of(size: int) -> list[Call]:
    random = Random(1)
    calls = []
    for _ in range(_CALLS):
        number = random.randrange(size)
        service = number % _SERVICES
        version, is_prefix = divmod(number // _SERVICES, 2)
        path = f"/v{version}/service-{service}/" + ("item/7" if is_prefix else "status")
        calls.append(("GET", f"mesh-{service % 30}.example", path))
    return calls


def _match_us(match: Match, rules: RuleSet, calls: list[Call], rounds: int) -> float:
    start_ns = time.perf_counter_ns()
    for _ in range(rounds):
        for method, host, path in calls:
            match(rules, method, host, path)
    return (time.perf_counter_ns() - start_ns) / rounds / len(calls) / 1_000


def _match_linear(rules: RuleSet, method: str, host: str, path: str) -> Route | None:
    """Return the first route that matches, by a scan of all (the baseline)."""
    for route in rules.routes:
        if route.methods and method not in route.methods:
            continue
        if route.host not in ("*", host):
            continue
        stem = route.stem
        if path == route.path if stem is None else path.startswith(stem):
            return route
    return None


def _compile_ms(text: str, previous: RuleSet | None, repetitions: int) -> float:
    start_ns = time.perf_counter_ns()
    for _ in range(repetitions):
        compile_rules(text, previous)
    return (time.perf_counter_ns() - start_ns) / repetitions / 1_000_000
