"""What callers get in each load pattern, by kind of call, in virtual time."""

from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.load_patterns import (
    LOAD_PATTERNS,
    CallEnd,
    KindFigures,
    LoadSimulation,
    pattern,
    quantile,
    worst_tenth,
)

__all__ = ["run"]

_SHORT_NODES = (12, 64)
_LONG_NODES = (12, 64, 192)


def run(short: bool) -> list[BenchRow]:
    """Return the figures of all patterns at several sizes of the mesh.

    Parameters
    ----------
    short
        Leave out the largest mesh.
    """
    return [
        row
        for name in LOAD_PATTERNS
        for nodes in (_SHORT_NODES if short else _LONG_NODES)
        for row in _rows_of_pattern(name, nodes)
    ]


def _rows_of_pattern(name: str, nodes: int) -> list[BenchRow]:
    simulation = LoadSimulation(pattern(name, nodes))
    rows = [
        row
        for kind, figures in simulation.run().items()
        for row in _rows_of(f"{name}, {kind}", nodes, figures)
    ]
    served = list(simulation.served_by_account().values())
    if served:
        mean = 100 * sum(served) / len(served)
        rows.append(BenchRow(f"{name}, accounts: served, mean", nodes, mean, "%"))
        worst = 100 * worst_tenth(served)
        what = f"{name}, accounts: served, worst tenth"
        rows.append(BenchRow(what, nodes, worst, "%"))
    return rows


def _rows_of(name: str, nodes: int, figures: KindFigures) -> list[BenchRow]:
    values: list[tuple[str, float, str]] = [
        (end.value, 100 * figures.share(end), "%") for end in CallEnd
    ]
    refusals_ms = figures.refusals_ms
    if refusals_ms:
        values.append(("refused after, median", quantile(refusals_ms, 0.5), "ms"))
        values.append(("refused after, p99", quantile(refusals_ms, 0.99), "ms"))
        idle = 100 * figures.mean_idle_share
        values.append(("slots free when refused", idle, "%"))
    values.append(("wait p99", quantile(figures.waits_ms, 0.99), "ms"))
    offers, attempts = max(1, figures.offers), max(1, figures.attempts)
    values.append(("offers to other regions", 100 * figures.across / offers, "%"))
    values.append(("offers a call", figures.offers / attempts, "offers"))
    if figures.shed:
        values.append(("refused by the server", 100 * figures.shed / offers, "%"))
    return [
        BenchRow(f"{name}: {what}", nodes, value, unit) for what, value, unit in values
    ]
