"""Compares each budget with the cost computed at the design size."""

from dataclasses import dataclass

from papayapost_testing.capacity.design import Budgets, DesignSize
from papayapost_testing.capacity.results import BenchResults
from papayapost_testing.capacity.roles import RoleRow

__all__ = ["VerdictRow", "build_verdicts"]

_RULES = 1_000
_MAX_CLAIM_WRITES_PER_S = 200.0


@dataclass(frozen=True, slots=True)
class VerdictRow:
    """One budget, with the cost that is compared with it.

    Parameters
    ----------
    cost
        Cost at the design size, in the unit of the limit.
    benchmarks
        Names of the benchmarks that the cost comes from.
    """

    budget: str
    limit: float
    cost: float
    unit: str
    benchmarks: str

    @property
    def verdict(self) -> str:
        """The text ``kept``, or by how much the cost exceeds the limit."""
        if self.cost <= self.limit:
            return "kept"
        return f"missed by {self.cost - self.limit:,.2f} {self.unit}"


def build_verdicts(
    results: BenchResults, design: DesignSize, budgets: Budgets, roles: list[RoleRow]
) -> list[VerdictRow]:
    """Return a row for each budget.

    The rows of CPU time, memory and control bytes have the figure of
    the role with the highest cost.
    """
    value = results.value
    cpu = max(roles, key=lambda row: row.core_percent)
    memory = max(roles, key=lambda row: row.memory_mb)
    traffic = max(roles, key=lambda row: row.bytes_per_s)
    calls_per_change = value(
        "distribution", "store calls per change, all link relays", design.nodes
    )
    watchers = 2 * design.regions
    reads_per_s = watchers * design.watched_objects / 30 + calls_per_change
    limit, added = budgets.added_ms, "added for 99 in 100, "
    one_node_ms = value("latency", "one node, added, p99, calls/s", 300) / 1e3
    two_nodes_ms = value("latency", "two nodes, added, p99, calls/s", 300) / 1e3
    control_limit = budgets.control_bytes_per_s
    herd_bytes_per_s = value("membership", "herd of 2,400, worst second", design.nodes)
    restart_bytes_per_s = value(
        "membership", "data centre restarts, worst second", design.nodes
    )
    text_bytes_per_s = value("distribution", "herd: peak bytes in a second", 240)
    active_s = value("distribution", "change in force on the last leaf", _RULES)
    link_bits_per_s = _link_bits(results, design)
    return [
        VerdictRow(f"{added}own backend server", limit, one_node_ms, "ms", "latency"),
        VerdictRow(f"{added}over two nodes", limit, two_nodes_ms, "ms", "latency"),
        VerdictRow(
            "in force on the last node",
            budgets.in_force_s,
            active_s,
            "s",
            "distribution",
        ),
        VerdictRow(
            f"processor for control, {cpu.role}",
            budgets.control_core_percent,
            cpu.core_percent,
            "% of a core",
            cpu.benchmarks,
        ),
        VerdictRow(
            f"memory, {memory.role}",
            budgets.memory_mb,
            memory.memory_mb,
            "MB",
            memory.benchmarks,
        ),
        VerdictRow(
            f"control bytes, {traffic.role}",
            control_limit,
            traffic.bytes_per_s,
            "B/s",
            traffic.benchmarks,
        ),
        VerdictRow(
            "control bytes, worst second of a herd of 2,400 on one relay",
            control_limit,
            herd_bytes_per_s,
            "B/s",
            "membership",
        ),
        VerdictRow(
            "control bytes, worst second when a data centre restarts",
            control_limit,
            restart_bytes_per_s,
            "B/s",
            "membership",
        ),
        VerdictRow(
            "bytes of rules text, worst second of a herd on one relay",
            control_limit,
            text_bytes_per_s,
            "B/s",
            "distribution",
        ),
        VerdictRow(
            "store reads",
            budgets.store_reads_per_s,
            reads_per_s,
            "calls/s",
            "distribution",
        ),
        VerdictRow(
            "store writes, claims at their bound",
            budgets.store_writes_per_s,
            _MAX_CLAIM_WRITES_PER_S
            + design.changes_per_s * 4
            + design.data_centres / 5,
            "calls/s",
            "distribution, traffic",
        ),
        VerdictRow(
            "link, control",
            budgets.link_bits_per_s,
            link_bits_per_s,
            "bit/s",
            "membership, rules",
        ),
    ]


def _link_bits(results: BenchResults, design: DesignSize) -> float:
    """Return the control traffic over the link between the regions, in bit/s.

    The figure is that of an ordinary day.
    """
    text_bytes = results.value("rules", "size of a text, lines", _RULES)
    directory_bytes = results.value(
        "membership", "stored directory of a data centre", design.nodes
    )
    # Two relays of the remote region read the whole rules text after each
    # change. They also read the whole directory of a data centre of the other
    # region after each write of it.
    texts = 2 * design.changes_per_s * text_bytes
    directories = 2 * 3 * design.restarts_per_day / 86_400 * 2 * directory_bytes
    return (texts + directories) * 8
