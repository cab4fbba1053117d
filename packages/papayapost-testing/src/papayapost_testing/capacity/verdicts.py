"""Each budget with the figure reached."""

from dataclasses import dataclass

from papayapost_testing.capacity.design import Budgets, DesignSize
from papayapost_testing.capacity.results import BenchResults
from papayapost_testing.capacity.roles import RoleRow

__all__ = ["VerdictRow", "build_verdicts"]

_RULES = 1_000
_CLAIM_WRITES_PER_S = 200.0


@dataclass(frozen=True, slots=True)
class VerdictRow:
    """One budget.

    Parameters
    ----------
    reached
        The figure, in the unit of the limit.
    """

    budget: str
    limit: float
    reached: float
    unit: str
    source: str

    @property
    def verdict(self) -> str:
        """Whether the budget is kept, and by how much it is missed."""
        if self.reached <= self.limit:
            return "kept"
        return f"missed by {self.reached - self.limit:,.2f} {self.unit}"


def build_verdicts(
    results: BenchResults, design: DesignSize, budgets: Budgets, roles: list[RoleRow]
) -> list[VerdictRow]:
    """Return a row for each budget, the heaviest role's where roles differ."""
    value = results.value
    cpu = max(roles, key=lambda row: row.core_percent)
    memory = max(roles, key=lambda row: row.memory_mb)
    traffic = max(roles, key=lambda row: row.bytes_per_s)
    calls_per_change = value(
        "distribution", "store calls per change, all link relays", design.nodes
    )
    watchers = 2 * design.regions
    reads = watchers * design.watched_objects / 30 + calls_per_change
    limit, added = budgets.added_ms, "added for 99 in 100, "
    one = value("latency", "one node, added, p99, calls/s", 300) / 1e3
    two = value("latency", "two nodes, added, p99, calls/s", 300) / 1e3
    per_s = budgets.control_bytes_per_s
    herd = value("membership", "herd of 2,400, worst second", design.nodes)
    storm = value("membership", "data centre restarts, worst second", design.nodes)
    text = value("distribution", "herd: peak bytes in a second", 240)
    force = value("distribution", "change in force on the last leaf", _RULES)
    link_share = _link_bits(results, design)
    return [
        VerdictRow(f"{added}own backend server", limit, one, "ms", "latency"),
        VerdictRow(f"{added}over two nodes", limit, two, "ms", "latency"),
        VerdictRow(
            "in force on the last node", budgets.in_force_s, force, "s", "distribution"
        ),
        VerdictRow(
            f"processor for control, {cpu.role}",
            budgets.control_core_percent,
            cpu.core_percent,
            "% of a core",
            cpu.benches,
        ),
        VerdictRow(
            f"memory, {memory.role}",
            budgets.memory_mb,
            memory.memory_mb,
            "MB",
            memory.benches,
        ),
        VerdictRow(
            f"control bytes, {traffic.role}",
            per_s,
            traffic.bytes_per_s,
            "B/s",
            traffic.benches,
        ),
        VerdictRow(
            "control bytes, worst second of a herd of 2,400 on one relay",
            per_s,
            herd,
            "B/s",
            "membership",
        ),
        VerdictRow(
            "control bytes, worst second when a data centre restarts",
            per_s,
            storm,
            "B/s",
            "membership",
        ),
        VerdictRow(
            "bytes of rules text, worst second of a herd on one relay",
            per_s,
            text,
            "B/s",
            "distribution",
        ),
        VerdictRow(
            "store reads", budgets.store_reads_per_s, reads, "calls/s", "distribution"
        ),
        VerdictRow(
            "store writes, claims at their bound",
            budgets.store_writes_per_s,
            _CLAIM_WRITES_PER_S + design.changes_per_s * 4 + design.data_centres / 5,
            "calls/s",
            "distribution, traffic",
        ),
        VerdictRow(
            "link, control",
            budgets.link_bits_per_s,
            link_share,
            "bit/s",
            "membership, rules",
        ),
    ]


def _link_bits(results: BenchResults, design: DesignSize) -> float:
    """Return the control bits a second that cross the link on a plain day."""
    text = results.value("rules", "size of a text, lines", _RULES)
    stored = results.value(
        "membership", "stored directory of a data centre", design.nodes
    )
    # Two watchers of the far region take the rules whole at each change, and
    # the directories of the other region's data centres as they are written.
    texts = 2 * design.changes_per_s * text
    directories = 2 * 3 * design.restarts_per_day / 86_400 * 2 * stored
    return (texts + directories) * 8
