"""Costs of each role at the design size, computed from benchmark results."""

from dataclasses import dataclass

from papayapost_testing.capacity.design import DesignSize
from papayapost_testing.capacity.results import BenchResults

__all__ = ["RoleRow", "build_roles"]

_SECOND_US = 1_000_000.0
_RULES = 1_000
_BYTES_PER_MB = 1e6
_SEEN_ATTEMPTS_MB = 3.9
_UPSTREAMS_MB = 2.8


@dataclass(frozen=True, slots=True)
class RoleRow:
    """The cost of one role of a node on an ordinary day.

    Parameters
    ----------
    state
        Description of the data that a node of this role keeps.
    messages_per_s, bytes_per_s
        Control traffic that a node of this role sends and receives.
    core_percent
        CPU time for control, in percent of a core.
    memory_mb
        Resident memory of the node.
    mechanism
        Description of how a node of this role works.
    benchmarks
        Names of the benchmarks that the figures come from.
    """

    role: str
    state: str
    messages_per_s: float
    bytes_per_s: float
    core_percent: float
    memory_mb: float
    mechanism: str
    benchmarks: str


@dataclass(frozen=True, slots=True)
class _BaseFigures:
    """Benchmark results that the costs of several roles are computed from."""

    base_mb: float
    directory_mb: float
    rules_mb: float
    idle_percent: float
    heartbeat_bytes: float
    change_bytes: float
    restart_bytes: float
    change_us: float
    leaf_change_us: float
    text_bytes: float

    @classmethod
    def of(cls, results: BenchResults, design: DesignSize) -> "_BaseFigures":
        """Look up the figures in the results of the benchmarks."""
        value = results.value
        per_thousand_mb = value("membership", "memory of 1,000 rows", design.nodes)
        change_us = value("distribution", "CPU of a change, 50 children", _RULES)
        per_child_us = value("distribution", "CPU of a change per child", _RULES)
        return cls(
            base_mb=value("process", "resident memory of a node", 2),
            directory_mb=per_thousand_mb * design.nodes / 1_000,
            rules_mb=value("distribution", "memory of the rules in a relay", _RULES)
            / _BYTES_PER_MB,
            idle_percent=value("process", "idle node", 2),
            heartbeat_bytes=value(
                "membership", "idle leaf, sent and received", design.nodes
            ),
            change_bytes=value("distribution", "bytes of a change per child", _RULES),
            restart_bytes=value(
                "membership", "620 restarts a day, parent of 50", design.nodes
            ),
            change_us=change_us,
            leaf_change_us=change_us - per_child_us * design.children,
            text_bytes=value("rules", "size of a text, lines", _RULES),
        )


def build_roles(results: BenchResults, design: DesignSize) -> list[RoleRow]:
    """Return the cost of each role in messages, bytes, CPU and memory."""
    figures = _BaseFigures.of(results, design)
    leaf = _leaf(figures, design)
    parent = _parent(figures, design, leaf)
    return [
        leaf,
        parent,
        _relay(parent),
        _link_relay(figures, design, parent),
        _owner(results, design, leaf),
        _entry(results, design, leaf),
    ]


def _leaf(figures: _BaseFigures, design: DesignSize) -> RoleRow:
    changes = design.changes_per_s
    node_bytes = figures.heartbeat_bytes + changes * figures.change_bytes
    restart_share = figures.restart_bytes / design.children
    return RoleRow(
        "plain node",
        f"directory of {design.nodes:,} rows, rules in force and staged",
        2 + changes * 2,
        node_bytes + restart_share,
        figures.idle_percent + changes * figures.leaf_change_us / _SECOND_US * 100,
        figures.base_mb + figures.directory_mb + figures.rules_mb,
        "heartbeat to one parent; rules and rows come down as deltas",
        "process, membership, distribution",
    )


def _parent(figures: _BaseFigures, design: DesignSize, leaf: RoleRow) -> RoleRow:
    changes = design.changes_per_s
    children = design.children
    down_bytes = children * (figures.heartbeat_bytes + changes * figures.change_bytes)
    extra_us = changes * (figures.change_us - figures.leaf_change_us)
    return RoleRow(
        f"parent of {children}",
        "the same, a row for each child, the last deltas",
        leaf.messages_per_s * (children + 1),
        leaf.bytes_per_s + down_bytes + figures.restart_bytes,
        leaf.core_percent + extra_us / _SECOND_US * 100 + 0.03,
        leaf.memory_mb + figures.rules_mb,
        "one delta encoded for all children that hold the same version",
        "membership, distribution",
    )


def _relay(parent: RoleRow) -> RoleRow:
    return RoleRow(
        "relay",
        "as a parent; its children are the parents of the data centre",
        parent.messages_per_s,
        parent.bytes_per_s,
        parent.core_percent,
        parent.memory_mb,
        "highest by hash among live members; three of a data centre",
        "membership, distribution",
    )


def _link_relay(figures: _BaseFigures, design: DesignSize, parent: RoleRow) -> RoleRow:
    return RoleRow(
        "link relay, stand-by",
        "as a relay; watches of the rules and of the other directories",
        parent.messages_per_s + design.watched_objects / 30,
        parent.bytes_per_s + design.changes_per_s * figures.text_bytes,
        parent.core_percent,
        parent.memory_mb,
        "one watch per region and a stand-by elsewhere; the store gives whole texts",
        "distribution, rules",
    )


def _owner(results: BenchResults, design: DesignSize, leaf: RoleRow) -> RoleRow:
    calls = design.calls_per_node_s
    call_us = results.value(
        "latency", "two nodes, processor time a call, owner node", 600
    )
    return RoleRow(
        "owner of a backend server",
        f"queue of its slots, attempts seen, {calls:.0f} calls/s",
        leaf.messages_per_s,
        leaf.bytes_per_s,
        leaf.core_percent,
        leaf.memory_mb + _SEEN_ATTEMPTS_MB,
        f"ranked queue at the VM; {calls * call_us / 1e4:.1f}% of a core for calls",
        "latency, traffic",
    )


def _entry(results: BenchResults, design: DesignSize, leaf: RoleRow) -> RoleRow:
    calls = design.calls_per_node_s
    call_us = results.value(
        "latency", "two nodes, processor time a call, entry node", 600
    )
    return RoleRow(
        "entry node of callers",
        f"upstreams of the services called, {calls:.0f} calls/s",
        leaf.messages_per_s,
        leaf.bytes_per_s,
        leaf.core_percent,
        leaf.memory_mb + _UPSTREAMS_MB,
        f"cached lists by service; {calls * call_us / 1e4:.1f}% of a core for calls",
        "latency, traffic",
    )
