"""Formats the results of the load generator as a table."""

from papayapost_testing.load.tables import LoadTables, TallyRow, Verdict

__all__ = ["format_tallies"]

_PERCENTILES = (50, 99, 99.9)


def format_tallies(tables: LoadTables) -> str:
    """Return a text table with a line for each rank that had calls."""
    verdicts = "".join(f"{verdict.value:>12}" for verdict in Verdict)
    percentiles = "".join(f"{f'p{p:g} ms':>11}" for p in _PERCENTILES)
    lines = [f"{'rank':<8}{'calls':>8}{'repeats':>8}{verdicts}{percentiles}"]
    for tally in tables.tallies.values():
        if tally.arrived:
            lines.append(_format_row(tally))
    return "\n".join(lines)


def _format_row(tally: TallyRow) -> str:
    verdicts = "".join(f"{tally.verdicts[verdict]:>12,}" for verdict in Verdict)
    latencies_ms = (
        tally.latency_us.get_value_at_percentile(p) / 1_000 for p in _PERCENTILES
    )
    percentiles = "".join(f"{value:>11.2f}" for value in latencies_ms)
    rank = tally.rank.name.lower()
    return f"{rank:<8}{tally.arrived:>8,}{tally.repeated:>8,}{verdicts}{percentiles}"
