"""Recomputes the tables of docs/CAPACITY.md."""

from pathlib import Path

import fire

from papayapost_testing.capacity.design import BUDGETS, DESIGN
from papayapost_testing.capacity.page import (
    replace_tables,
    roles_table,
    verdicts_table,
)
from papayapost_testing.capacity.results import BenchResults
from papayapost_testing.capacity.roles import build_roles
from papayapost_testing.capacity.verdicts import build_verdicts

__all__ = ["run"]


def run(
    results: str = "docs/capacity.json",
    page: str = "docs/CAPACITY.md",
) -> None:
    """Recompute the tables and print that of the budgets.

    Parameters
    ----------
    results
        Path of the JSON file with the rows of the benchmarks.
    page
        Path of the Markdown page whose tables are replaced.
    """
    rows = BenchResults.read(Path(results))
    roles = build_roles(rows, DESIGN)
    verdicts = build_verdicts(rows, DESIGN, BUDGETS, roles)
    tables = {"roles": roles_table(roles), "budgets": verdicts_table(verdicts)}
    replace_tables(Path(page), tables)
    print(verdicts_table(verdicts))


if __name__ == "__main__":
    fire.Fire(run, name="capacity")
